//! A replicated log without I/O: election, replication, snapshots and member changes.
//!
//! [`Raft`] is a state machine in the strict sense. It is told the time, it is handed messages,
//! and it says in [`Ready`] what must be written and sent. Whoever drives it keeps one rule:
//! everything in a `Ready` is on disk before its messages leave and before anybody hears of its
//! committed entries.
//!
//! Election asks first (pre-vote), so that a host that was cut off does not unseat a working
//! leader when it returns. A leader that has not heard from a quorum within an election timeout
//! steps down (check-quorum), and so does one that finds that it was paused. Members change one
//! at a time. A witness votes and stores the log, but hands leadership on as soon as it can.
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
//! assert_eq!(ready.committed.len(), 2, "the entry that opens the term, and ours");
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
pub use join_requests::JoinRequests;
pub use log::Restored;
pub use message::{Entry, Envelope, HardState, Index, Message, Payload, Ready, Snapshot, Term};
pub use raft::{ProposeError, Raft};
pub use tuning::{InjectedBug, Tuning};
