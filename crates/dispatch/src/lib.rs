//! Driving workers by orders: leases, fences, lists of ends, lost and late answers.
//!
//! A [`Session`] is the leader's side of one life of a worker. It is told the time, the runs that
//! the replicated state gives the life, and the answers to its orders; it says which orders to
//! send next and which facts to write into the log. An [`AdviceTracker`] keeps what an advice service
//! said about which workers may run a step, and spreads calls over the hosts that make them.
//!
//! ```
//! use dispatch::{Session, SessionConfig, InjectedBug};
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(100);
//! let mut session = Session::new(1, SessionConfig::default(), 7, now);
//! let orders = session.poll(now);
//! assert_eq!(orders.len(), 1, "a look at what the worker runs comes first");
//! ```

mod advice;
mod order;
mod session;

pub use advice::{AdviceCall, AdviceTracker, StepAdvice, Ticket, MAX_WORKERS_PER_CALL};
pub use order::{ListedRun, Order, OrderAnswer, OrderId, RefusalReason, RunListing};
pub use session::{InjectedBug, RunStatus, RunTraits, Session, SessionConfig, SessionEvent};
