//! Starts that the next life of a worker with the same name may still carry out.

use super::lease::{max_elapsed, LEASE_MARGIN};
use super::run::Doubt;
use super::{InjectedBug, Session};
use crate::order::{OrderAnswer, OrderId};
use jobs::{RunNumber, TaskRef};
use std::time::Duration;
use types::Timestamp;

/// An answer may arrive this much later than one that the worker sent after it.
pub(super) const MAX_ANSWER_DELAY: Duration = Duration::from_secs(2);

/// An order with a lease that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseOrder {
    pub(super) order: OrderId,
    /// The run that it starts; `None` for a poll.
    pub(super) start: Option<(TaskRef, RunNumber)>,
}

/// Tasks that the worker's next life may have started or may still start, though every lease of the
/// life before has expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutlastingStarts {
    /// The tasks.
    pub tasks: Vec<TaskRef>,
    /// How many of them had a start without an answer. The answers for the others do not show
    /// which life has sent them.
    pub unanswered: usize,
    /// Time until which that life may be running them.
    pub until: Timestamp,
}

/// Numbers of start orders that got no answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartCounts {
    /// Those that may have arrived.
    pub unanswered: u64,
    /// Those of them that may have arrived at the worker's next life.
    pub in_doubt: u64,
}

impl Session {
    /// Numbers of start orders of this session that got no answer.
    pub fn start_counts(&self) -> StartCounts {
        self.start_counts
    }

    /// Sets the name of the worker.
    pub fn set_worker(&mut self, worker: &str) {
        self.worker = worker.to_string();
    }

    /// Name of the worker; empty if not set.
    pub fn worker(&self) -> &str {
        &self.worker
    }

    /// Whether the worker has answered a poll of this leader, and so has said what it runs.
    pub fn has_listed(&self) -> bool {
        self.leader_accepted
    }

    /// Whether the worker obeys this leader and answers, has no runs that are not assigned to it, and
    /// all ends that it has reported are recorded.
    pub fn is_reconciled(&self) -> bool {
        self.leader_accepted
            && self.same_life
            && self.unknown_runs.is_empty()
            && self.uncommitted_end.is_none()
    }

    /// Records that another worker has taken the address. Orders name their worker, so it carries
    /// out none of those that were sent to this one.
    pub fn record_replacement(&mut self) {
        self.replaced = true;
    }

    /// Whether another worker has taken the address.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Tasks that the worker's next life with the same name may have started or may still start.
    /// The start order waits for its answer, or got one that does not identify the life, or none and
    /// may have reached that life; or it was sent by an earlier leader.
    pub fn in_doubt_starts(&self, now: Timestamp) -> Vec<TaskRef> {
        if self.replaced || self.cfg.injected_bug == InjectedBug::ForgetInDoubtStarts {
            return Vec::new();
        }
        let recent = self.unanswered.iter().filter(|(_, at)| now < *at + self.cfg.max_order_delay);
        let open = self.runs.iter().filter(|entry| {
            let doubtful = entry.in_doubt.is_some() || self.awaits_start(entry.task, entry.run);
            !self.leader_accepted || doubtful
        });
        let mut tasks: Vec<TaskRef> =
            recent.map(|(task, _)| *task).chain(open.map(|entry| entry.task)).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks
    }

    /// Which of the runs the worker's next life may have started or may still start, though every
    /// lease of this life has expired. `None` if there are none, or the worker answers.
    pub fn outlasting_starts(
        &self,
        runs: &[(TaskRef, RunNumber)],
        now: Timestamp,
    ) -> Option<OutlastingStarts> {
        let certain = self.same_life || self.replaced;
        if certain || self.cfg.injected_bug == InjectedBug::ForgetInDoubtStarts {
            return None;
        }
        let lost = self.runs.iter().filter(|entry| runs.contains(&(entry.task, entry.run)));
        let in_doubt = lost.filter_map(|entry| Some((entry.task, entry.in_doubt?)));
        let (tasks, doubts): (Vec<TaskRef>, Vec<Doubt>) = in_doubt.unzip();
        let unanswered = doubts.iter().filter(|doubt| **doubt == Doubt::Unanswered).count();
        let unanswered_end = (!self.lease_orders.is_empty()).then(|| self.last_lease_end(now));
        let until = unanswered_end.into_iter().fold(self.next_life_lease_end, Timestamp::max);
        let outlasting = OutlastingStarts { tasks, unanswered, until };
        (!outlasting.tasks.is_empty() && now < until).then_some(outlasting)
    }

    /// Longest time that the worker's next life may run a task by an order to an earlier life, from
    /// when the order was sent.
    ///
    /// ```
    /// use dispatch::{Session, SessionConfig};
    /// use std::time::Duration;
    ///
    /// let longest = Session::longest_doubt(&SessionConfig::default());
    /// assert!(longest > Duration::from_secs(13 + 6), "a delayed order, and then a lease");
    /// ```
    pub fn longest_doubt(cfg: &super::SessionConfig) -> Duration {
        cfg.max_order_delay + max_elapsed(cfg.lease) + LEASE_MARGIN
    }

    /// When a lease ends that was taken from an order sent at `sent`, however late.
    fn last_lease_end(&self, sent: Timestamp) -> Timestamp {
        sent + Session::longest_doubt(&self.cfg)
    }

    /// Uses the answer to an order with a lease to find out which life may have taken the lease.
    pub(super) fn settle_lease_order(
        &mut self,
        order: OrderId,
        sent: Timestamp,
        answer: &OrderAnswer,
        now: Timestamp,
    ) {
        let Some(i) = self.lease_orders.iter().position(|open| open.order == order) else { return };
        let LeaseOrder { start, .. } = self.lease_orders.swap_remove(i);
        if !matches!(answer, OrderAnswer::Absent | OrderAnswer::NotSent) {
            for entry in self.runs.iter_mut().filter(|e| Some((e.task, e.run)) == start) {
                entry.received = true;
            }
        }
        let starts = u64::from(start.is_some());
        let (doubt, end) = match answer {
            OrderAnswer::Absent | OrderAnswer::NotSent => return,
            OrderAnswer::Silence | OrderAnswer::Unanswered { .. } => {
                self.start_counts.unanswered += starts;
                if self.reached_only_this_life(answer, now) {
                    return;
                }
                self.start_counts.in_doubt += starts;
                self.unanswered.retain(|(_, at)| now < *at + self.cfg.max_order_delay);
                self.unanswered.extend(start.map(|(task, _)| (task, now)));
                (Doubt::Unanswered, self.last_lease_end(sent))
            }
            answer if self.names_life(answer, now) => return,
            _ => (Doubt::Unnamed, now + max_elapsed(self.cfg.lease) + LEASE_MARGIN),
        };
        self.next_life_lease_end = self.next_life_lease_end.max(end);
        for entry in self.runs.iter_mut().filter(|e| Some((e.task, e.run)) == start) {
            entry.in_doubt = Some(doubt);
        }
    }

    /// Handles that an order could not be sent: what it was about is gone.
    pub fn withdraw(&mut self, order: OrderId, now: Timestamp) {
        self.lease_orders.retain(|open| open.order != order);
        for entry in self.runs.iter_mut().filter(|entry| entry.pending == Some(order)) {
            (entry.pending, entry.retry_at) = (None, now + self.cfg.retry);
        }
        self.set_wakeup();
    }

    /// Whether a start of the run waits for its answer.
    pub(super) fn awaits_start(&self, task: TaskRef, run: RunNumber) -> bool {
        self.lease_orders.iter().any(|open| open.start == Some((task, run)))
    }

    /// Whether an order without an answer went over a connection that does not lead to the next
    /// life: this life has listed its runs over it, or has answered an order later than it was
    /// opened.
    fn reached_only_this_life(&self, answer: &OrderAnswer, now: Timestamp) -> bool {
        let OrderAnswer::Unanswered { connected_for } = answer else { return false };
        let opened = now.saturating_sub(*connected_for);
        let answered_later =
            self.identified.is_some_and(|last| opened + MAX_ANSWER_DELAY <= last.at);
        *connected_for == OrderAnswer::ONLY_THIS_LIFE || answered_later
    }

    /// Whether an answer can only come from this life of the worker. The clock of its next life
    /// began after the last answer that named this one.
    fn names_life(&self, answer: &OrderAnswer, now: Timestamp) -> bool {
        if matches!(answer, OrderAnswer::Done { listing: Some(_), .. }) {
            return true;
        }
        let (Some(clock), Some(last)) = (answer.clock(), self.identified) else { return false };
        Duration::from_millis(clock) > now.saturating_sub(last.at) + MAX_ANSWER_DELAY
    }
}
