//! Durable storage of an entry host: its identity, and each group's log and snapshots.
//!
//! A [`DataDir`] is locked by one process at a time and has a random identity, so a host with a
//! wiped data directory is a new member. A [`GroupStore`] holds one group. Every call of
//! [`GroupStore::sync`] writes at most one frame with one checksum, so a crash can only tear the last
//! frame, whose contents were never acknowledged. A torn last frame is dropped; any other
//! mismatch is reported as an error.
//!
//! What an open returns is on the disk, whatever the process before it had synced: the caller acts on
//! it.
//!
//! ```
//! # use consensus::{Config, Member, Role};
//! # let tmp = tempfile::tempdir().unwrap();
//! let dir = storage::DataDir::open(tmp.path(), "a-1", "zone-a", 42).unwrap();
//! let me = Member { id: dir.identity().member, host: "a-1".into(), role: Role::Voter };
//! let (mut store, found) = dir.open_group("cell").unwrap();
//! assert!(found.is_none(), "a new data directory contains no group");
//! store.form_group(&Config::new(vec![me])).unwrap();
//! ```

mod data_dir;
mod error;
mod files;
mod frame;
mod group;
mod replay;
mod snapshot;

pub use data_dir::{DataDir, Identity};
pub use error::{Error, ErrorKind};
pub use files::{Files, OpenFile};
pub use group::{GroupStore, Opened, SyncFn};
pub use replay::Found;
