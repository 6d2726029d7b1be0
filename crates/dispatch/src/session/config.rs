//! Configuration of a session.

use std::time::Duration;

/// Disables one safety mechanism, to show that tests detect the resulting bug. Only tests set
/// anything but `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    /// All mechanisms are enabled.
    #[default]
    None,
    /// A new leader does not wait for leases granted by an earlier one to expire.
    ForgetEarlierLeases,
    /// A run that the worker does not list is given up although its start may still be carried out.
    TrustAbsence,
    /// Ends are acknowledged to the worker before they are recorded, so that it may discard them.
    AcknowledgeEndsEarly,
    /// The next life of a worker is assumed to carry out no orders to the previous life.
    ForgetInDoubtStarts,
    /// Leases are renewed by orders that a silent worker does not answer, so that its runs are
    /// never given up.
    RenewUnanswered,
}

/// Timing parameters of a session.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// Length of a lease, on the worker's clock.
    pub lease: Duration,
    /// How long a worker may delay the answer to a poll while waiting for a run to end.
    pub long_poll_wait: Duration,
    /// Interval between polls of a worker that runs nothing.
    pub idle_poll_interval: Duration,
    /// Delay before an order that failed or got no answer is sent again.
    pub retry: Duration,
    /// A worker that has not answered for this long is sent no new work.
    pub suspect_after: Duration,
    /// Maximum time for which an earlier leader may have continued to renew leases.
    pub predecessor_overlap: Duration,
    /// A worker is sent starts only for this long after it has reported its capacity, by its own
    /// clock.
    pub max_report_age: Duration,
    /// An unanswered order is carried out within this time or not at all.
    pub max_order_delay: Duration,
    /// Safety mechanism that is disabled, for tests.
    pub injected_bug: InjectedBug,
}

impl Default for SessionConfig {
    fn default() -> SessionConfig {
        SessionConfig {
            lease: Duration::from_secs(6),
            long_poll_wait: Duration::from_secs(1),
            idle_poll_interval: Duration::from_millis(500),
            retry: Duration::from_millis(150),
            suspect_after: Duration::from_millis(1_800),
            predecessor_overlap: Duration::from_millis(1_500),
            max_report_age: Duration::from_secs(4),
            max_order_delay: Duration::from_secs(13),
            injected_bug: InjectedBug::None,
        }
    }
}
