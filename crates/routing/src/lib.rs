//! Routes callers' requests to upstreams.
//!
//! Each entry host has a [`Router`]. It queues requests per service and class, sends them within
//! the host's share of each upstream's slots, retries where that is safe, and ends each request
//! with one of three outcomes: ran, not run or unknown. Each zone's leader has a [`SlotAllocator`],
//! which leases every upstream's slots to entry hosts so that all hosts together never use more
//! slots than the upstream has.
//!
//! The crate does no I/O and reads no clock: callers pass the time in and carry out the returned
//! [`Action`]s.
//!
//! ```
//! use routing::{Action, Class, Request, Router, RouterBuilder, UpstreamInfo};
//! use std::time::Duration;
//!
//! let mut router = RouterBuilder::new("zone-a", 1).build();
//! router.set_upstream(Duration::ZERO, UpstreamInfo {
//!     id: "127.0.0.1:9000".into(), service: "lead-desk".into(), zone: "zone-a".into(),
//!     slots: 8, incarnation: 1, base_share: 2,
//! });
//! let now = Duration::from_secs(60);
//! let actions = router.submit(now, Request {
//!     exchange: 1, service: "lead-desk".into(), class: Class::Interactive,
//!     idempotent: true, deadline: now + Duration::from_secs(5),
//! });
//! assert!(matches!(&actions[..], [Action::Send { exchange: 1, .. }]));
//! ```

mod budget;
mod health;
mod queue;
mod request;
mod router;
mod shares;
mod upstream;

pub use budget::RetryBudget;
pub use request::{Action, AttemptResult, Class, Outcome, Request};
pub use router::{InjectedBug, Router, RouterBuilder, ServiceStats};
pub use shares::{base_share, SlotAllocator, SlotGrant, SlotRequest};
pub use upstream::{UpstreamInfo, UpstreamStats};
