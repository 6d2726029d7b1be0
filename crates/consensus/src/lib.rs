//! The Raft consensus algorithm without I/O: elections, replication, snapshots and membership
//! changes.
//!
//! [`Raft`] is a pure state machine. Its inputs are the current time, messages and proposals; its
//! output is [`Ready`], which lists what must be written, sent and applied. The driver must write
//! and sync everything in a `Ready` to disk before it sends the messages and before it reports
//! any committed entry.
//!
//! A pre-vote precedes each election, so that a host that returns from a partition does not
//! depose a working leader. A leader that has not heard from a quorum within an election timeout
//! steps down (check-quorum), and so does a leader that detects that its process was paused.
//! Membership changes add or remove one vote at a time. A witness votes and stores the log, but
//! transfers leadership away as soon as it can.
//!
//! ```
//! use consensus::{Config, Member, Raft, Restored, Role, Tuning};
//! use std::time::Duration;
//!
//! let alone = Config::new(vec![Member { id: 7, host: "a-1".into(), role: Role::Voter }]);
//! let mut raft = Raft::new(7, Tuning::default(), Restored::new_group(alone), Duration::ZERO, 1);
//! raft.tick(Duration::from_secs(60));
//! assert!(raft.is_leader());
//! raft.propose(Duration::from_secs(60), b"hello".to_vec()).unwrap();
//! let ready = raft.take_ready();
//! assert_eq!(ready.committed.len(), 2, "the first entry of the term and the proposed one");
//! ```

mod config;
mod group_formation;
mod join_requests;
mod log;
mod message;
mod progress;
mod raft;
mod replication;
mod tuning;

pub use config::{Config, Member, Role};
pub use group_formation::{GroupFormation, InitialMember, ANNOUNCE_INTERVAL};
pub use join_requests::{JoinRequests, CAUGHT_UP_ENTRIES};
pub use log::Restored;
pub use message::{Entry, Envelope, HardState, Index, Message, Payload, Ready, Snapshot, Term};
pub use raft::{ProposeError, Raft};
pub use tuning::{InjectedBug, Tuning};
