//! Which upstream gets a request, when, and what the caller is told.
//!
//! A [`Router`] belongs to one entry host. It holds requests in two queues for each service, sends
//! them within this host's part of each upstream's slots, tries again what may be tried again, and
//! ends each request with one of three outcomes: ran, not run, unknown. A [`SlotAllocator`] belongs
//! to a zone's leader and divides each upstream's slots between entry hosts, by leases, so that
//! all hosts together never use more than there are.
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
mod lanes;
mod request;
mod router;
mod shares;
mod upstream;

pub use budget::RetryBudget;
pub use request::{Action, AttemptResult, Class, Outcome, Request};
pub use router::{InjectedBug, Router, RouterBuilder, ServiceStats};
pub use shares::{base_share, SlotAllocator, SlotGrant, SlotRequest};
pub use upstream::{UpstreamInfo, UpstreamStats};
