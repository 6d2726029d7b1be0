//! Leases: what is granted to a worker, and when its runs count as gone.

use super::{InjectedBug, Session, SessionEvent};
use jobs::{RunNumber, TaskRef};
use std::time::Duration;
use types::Timestamp;

/// Lower bound of the rate of a worker's clock relative to the local one, in thousandths.
const MIN_CLOCK_RATE_PERMILLE: u32 = 975;
/// Extra time after a lease has expired before its runs count as gone.
pub(super) const LEASE_MARGIN: Duration = Duration::from_millis(150);

impl Session {
    /// Reports all runs as lost once every lease for them has certainly expired. A run whose start
    /// waits for an answer follows when that has come, since it may show who runs the task.
    pub(super) fn expire(&mut self, now: Timestamp) {
        if self.leases_expire_at().is_none_or(|at| now < at) {
            return;
        }
        let lost: Vec<(TaskRef, RunNumber)> = self.unreported_runs().collect();
        if lost.is_empty() {
            return;
        }
        for entry in &mut self.runs {
            entry.reported |= lost.contains(&(entry.task, entry.run));
        }
        self.events.push(SessionEvent::Lost(lost));
    }

    /// Runs that are not reported as lost, except those whose starts wait for their answers.
    pub(super) fn unreported_runs(&self) -> impl Iterator<Item = (TaskRef, RunNumber)> + '_ {
        let open = self.runs.iter().filter(|entry| !entry.reported);
        let open = open.map(|entry| (entry.task, entry.run));
        open.filter(|(task, run)| !self.awaits_start(*task, *run))
    }

    /// When every lease granted by this leader or an earlier one has expired, if the worker does
    /// not answer until then.
    pub(super) fn leases_expire_at(&self) -> Option<Timestamp> {
        let own = match self.clock {
            Some(clock) if self.leased_until > 0 => {
                let left = Duration::from_millis(self.leased_until.saturating_sub(clock.millis));
                clock.at + max_elapsed(left) + LEASE_MARGIN
            }
            _ => Timestamp::ZERO,
        };
        let earlier = if self.leader_accepted {
            Timestamp::ZERO
        } else {
            self.started + self.cfg.predecessor_overlap + max_elapsed(self.cfg.lease) + LEASE_MARGIN
        };
        Some(own.max(earlier))
    }

    /// The lease that a poll grants; `None` if it leaves the lease as it is. A worker that did not
    /// answer the last order is granted nothing more: its runs could otherwise never be given up.
    pub(super) fn renewed_lease(&self, now: Timestamp) -> Option<u64> {
        let renews = self.timeouts == 0 || self.cfg.injected_bug == InjectedBug::RenewUnanswered;
        self.lease_end(now).filter(|_| renews)
    }

    /// The lease that a start needs: that of a poll or, while polls grant nothing, the one granted
    /// before. `None` if there is none that can still hold.
    pub(super) fn lease_for_start(&self, now: Timestamp) -> Option<u64> {
        let estimated_clock = self.lease_end(now)?.saturating_sub(millis(self.cfg.lease));
        let granted = Some(self.leased_until).filter(|until| *until > estimated_clock);
        self.renewed_lease(now).or(granted)
    }

    /// The end of a lease granted now, in milliseconds on the worker's clock; `None` if its clock
    /// is not known.
    fn lease_end(&self, now: Timestamp) -> Option<u64> {
        Some(self.clock_at(now)? + millis(self.cfg.lease))
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Upper bound of the local time that elapses during `span` on the worker's clock.
pub(super) fn max_elapsed(span: Duration) -> Duration {
    span * 1_000 / MIN_CLOCK_RATE_PERMILLE
}

/// Lower bound of the time that elapses on the worker's clock during `span` of local time.
pub(super) fn min_elapsed(span: Duration) -> Duration {
    span * MIN_CLOCK_RATE_PERMILLE / 1_000
}
