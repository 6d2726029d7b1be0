//! Times that a session keeps.

use std::time::Duration;

/// One mechanism switched off. Only tests set anything but `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    /// All mechanisms work.
    #[default]
    None,
    /// A new leader does not wait for the leases of an earlier one.
    ForgetEarlierLeases,
    /// A run that a worker does not list is given up, though its start may still be carried out.
    TrustAbsence,
    /// Ends are forgotten by the worker before the log has them.
    AcknowledgeEndsEarly,
    /// The next life of a worker is taken to know nothing of orders to the last one.
    ForgetInDoubtStarts,
}

/// Times that a session keeps.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// Length of a lease, on the worker's clock.
    pub lease: Duration,
    /// How long a look may wait for an end.
    pub long_poll_wait: Duration,
    /// Time from one look to the next where nothing runs.
    pub idle_poll_interval: Duration,
    /// Wait after an order that got no answer.
    pub retry: Duration,
    /// A worker that was silent for this long gets no new work.
    pub suspect_after: Duration,
    /// Longest time for which an earlier leader may have gone on renewing leases.
    pub predecessor_overlap: Duration,
    /// An order without an answer is carried out within this time, if ever.
    pub max_order_delay: Duration,
    /// Mechanism switched off, to show that a check notices.
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
            max_order_delay: Duration::from_secs(13),
            injected_bug: InjectedBug::None,
        }
    }
}
