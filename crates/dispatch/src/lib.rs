//! Control of workers by orders, with leases and fencing, over a network that loses and delays
//! messages.
//!
//! A [`Session`] is the leader's side of one life (incarnation) of a worker. Its inputs are the
//! time, the runs that the replicated state assigns to the life, and the answers to its orders. Its
//! outputs are the orders to send next and events for the leader, such as ended and lost runs. An
//! [`AdviceTracker`] keeps the answers of an advice service about which workers may run a step, and
//! distributes calls among the hosts that make them. Neither reads a clock or does I/O.
//!
//! ```
//! use dispatch::{Session, SessionConfig, InjectedBug};
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(100);
//! let mut session = Session::new(1, SessionConfig::default(), 7, now);
//! let orders = session.poll(now);
//! assert_eq!(orders.len(), 1, "the session first polls the worker for its runs");
//! ```

mod advice;
mod advice_usage;
mod order;
mod session;

pub use advice::{
    AdviceCall, AdviceTracker, CallPriority, StepAdvice, Ticket, MAX_WORKERS_PER_CALL,
};
pub use advice_usage::{AdviceUsage, CallReason, CallUsage};
pub use order::{ListedRun, Order, OrderAnswer, OrderId, RefusalReason, RunListing};
pub use session::{
    InjectedBug, OutlastingStarts, RunEvidence, RunStatus, RunTraits, Session, SessionConfig,
    SessionEvent, StartCounts,
};
