//! What an entry host keeps on disk: its identity, and each group's log and snapshots.
//!
//! A [`DataDir`] belongs to one process at a time and has a random identity; a wiped folder is
//! a new member. A [`GroupStore`] holds one group. Every call of [`GroupStore::append`] makes one
//! frame with one checksum, so that a crash can only tear the last frame, and a torn frame is one
//! that nobody was told of. Anything else that does not read back is an error, never a guess.
//!
//! ```
//! # use consensus::{Config, Member, Role};
//! # let tmp = tempfile::tempdir().unwrap();
//! let folder = storage::DataDir::open(tmp.path(), "a-1", "zone-a", 42).unwrap();
//! let me = Member { id: folder.identity().member, host: "a-1".into(), role: Role::Voter };
//! let (mut store, found) = folder.open_group("cell").unwrap();
//! assert!(found.is_none(), "a new folder knows of no group");
//! store.form_group(&Config::new(vec![me])).unwrap();
//! ```

mod data_dir;
mod error;
mod frame;
mod group;
mod snapshot;

pub use data_dir::{DataDir, Identity};
pub use error::{Error, ErrorKind};
pub use group::{GroupStore, Opened, SyncFn};
