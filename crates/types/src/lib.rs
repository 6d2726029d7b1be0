//! Plain data types shared by all ebonywalk crates: ids, resources, job specs and release notes.
//!
//! The crate holds data and its validation, no scheduling or routing decisions. Types that cross a
//! process boundary implement serde: human-readable formats (YAML, JSON) write quantities with a
//! unit (`1500m`, `2GiB`, `500ms`), binary formats write plain integers.
//!
//! ```
//! use types::Resources;
//! let need = Resources { cpu: 1_500, memory: 2 << 30, accelerators: 0 };
//! assert!(need.fits_in(&Resources { cpu: 2_000, memory: 4 << 30, accelerators: 1 }));
//! ```

mod ids;
mod job;
pub mod quantity;
mod refusal;
mod release;
mod resource_vector;
mod resources;
mod sorted;

pub use ids::*;
pub use job::{JobClass, JobKey, JobSpec, TaskOutcome};
pub use refusal::{Refusal, RefusalKind};
pub use release::{DeclaredJob, Objective, Release, ReleaseNote, Service, TeamQuota};
pub use resource_vector::ResourceVector;
pub use resources::Resources;
pub use sorted::SortedMap;
