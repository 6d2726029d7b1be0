//! What the calls to an advice service were made for, and what came of their answers.

use std::time::Duration;

/// Why a step's workers are asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReason {
    /// No call about the step was made before.
    First,
    /// The workers known so far are too few.
    MoreWorkers,
    /// The tickets are too old to be used.
    Renewal,
}

impl CallReason {
    /// All reasons, in the order of [`AdviceUsage::calls`].
    pub const ALL: [CallReason; 3] =
        [CallReason::First, CallReason::MoreWorkers, CallReason::Renewal];

    /// Name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CallReason::First => "first",
            CallReason::MoreWorkers => "more",
            CallReason::Renewal => "renewal",
        }
    }
}

/// Calls made for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallUsage {
    /// Number of calls.
    pub calls: u64,
    /// Workers that the calls named.
    pub workers: u64,
    /// Time of the service that the calls need.
    pub time: Duration,
    /// Time in line behind other calls of the same host.
    pub in_line: Duration,
}

/// Use of an advice service by the steps of one queue, or of several.
///
/// ```
/// use dispatch::{AdviceUsage, CallReason};
/// use std::time::Duration;
/// let mut usage = AdviceUsage::default();
/// usage.record_call(CallReason::First, 8, Duration::from_millis(20), Duration::ZERO);
/// assert_eq!(usage.total().calls, 1);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdviceUsage {
    /// Calls by reason, in the order of [`CallReason::ALL`].
    pub calls: [CallUsage; 3],
    /// Calls without an answer in time.
    pub failed: u64,
    /// Answers about steps that no longer waited for one.
    pub too_late: u64,
    /// Tickets received.
    pub tickets: u64,
    /// Tickets with which a start was ordered.
    pub used: u64,
}

impl AdviceUsage {
    /// Counts a call that names this many workers, needs `time` of the service and waits
    /// `in_line` before.
    pub fn record_call(
        &mut self,
        reason: CallReason,
        workers: usize,
        time: Duration,
        in_line: Duration,
    ) {
        let entry = &mut self.calls[reason as usize];
        entry.calls += 1;
        entry.workers += workers as u64;
        entry.time += time;
        entry.in_line += in_line;
    }

    /// Calls for all reasons together.
    pub fn total(&self) -> CallUsage {
        self.calls.iter().fold(CallUsage::default(), |sum, entry| CallUsage {
            calls: sum.calls + entry.calls,
            workers: sum.workers + entry.workers,
            time: sum.time + entry.time,
            in_line: sum.in_line + entry.in_line,
        })
    }

    /// Adds the use by another queue.
    pub fn add(&mut self, other: &AdviceUsage) {
        for (entry, more) in self.calls.iter_mut().zip(&other.calls) {
            entry.calls += more.calls;
            entry.workers += more.workers;
            entry.time += more.time;
            entry.in_line += more.in_line;
        }
        self.failed += other.failed;
        self.too_late += other.too_late;
        self.tickets += other.tickets;
        self.used += other.used;
    }
}
