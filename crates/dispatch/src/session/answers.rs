//! Handling of a worker's answers to orders.

use super::evidence::MAX_UNWATCHED;
use super::in_doubt::MAX_ANSWER_DELAY;
use super::lease::min_elapsed;
use super::run::{Doubt, Stage};
use super::{ClockReading, InjectedBug, Session, SessionEvent, BACKOFF, GOODBYE_RETRY};
use crate::order::{OrderAnswer, OrderId, RefusalReason, RunListing};
use jobs::{End, RunNumber, TaskRef};
use std::time::Duration;
use types::Timestamp;

impl Session {
    /// Handles the answer to an order that was sent at time `sent`.
    pub fn answered(
        &mut self,
        order: OrderId,
        sent: Timestamp,
        answer: OrderAnswer,
        now: Timestamp,
    ) {
        if answer == OrderAnswer::Absent {
            self.absent_since.get_or_insert(now);
            // A leader that has not heard the worker can't tell what an earlier one has sent it.
            if self.draining && self.leader_accepted {
                self.events.push(SessionEvent::Left);
            }
        }
        if !answer.is_answered() {
            self.same_life = false;
        }
        self.settle_lease_order(order, sent, &answer, now);
        let this_life = self.is_of_this_life(&answer, now);
        if this_life {
            self.last_answer = Some(now);
            (self.absent_since, self.watched) = (None, false);
            self.timeouts = 0;
            let reading = answer.clock().map(|millis| ClockReading { millis, at: now });
            self.clock = reading.or(self.clock);
        }
        if let Some((_, upto)) = self.pending_poll.take_if(|(poll, _)| *poll == order) {
            self.poll_answered(sent, upto, answer, now);
        } else if let Some(i) = self.runs.iter().position(|e| e.pending == Some(order)) {
            self.run_answered(i, answer, this_life, now);
        }
        self.set_wakeup();
    }

    /// Whether an answer came from this life of the worker. An answer to a poll says so. Any other
    /// shows a clock, and that of the worker's next life begins anew.
    fn is_of_this_life(&self, answer: &OrderAnswer, now: Timestamp) -> bool {
        use RefusalReason::{OtherLife, OtherWorker};
        match answer {
            answer if !answer.is_answered() => return false,
            OrderAnswer::Refused { why: OtherLife | OtherWorker, .. } => return false,
            OrderAnswer::Done { listing: Some(_), .. } => return true,
            _ => {}
        }
        let (Some(clock), Some(last)) = (answer.clock(), self.clock) else { return true };
        let elapsed = min_elapsed(now.saturating_sub(last.at));
        Duration::from_millis(clock) + MAX_ANSWER_DELAY
            >= Duration::from_millis(last.millis) + elapsed
    }

    /// Handles the answer to a poll that acknowledged ends up to number `upto`.
    fn poll_answered(&mut self, sent: Timestamp, upto: u64, answer: OrderAnswer, now: Timestamp) {
        match answer {
            OrderAnswer::Done { listing: Some(listing), .. } => {
                self.accept_leader();
                self.same_life = true;
                self.identified = self.clock;
                self.acknowledged = self.acknowledged.max(upto);
                self.reconcile(sent, &listing, now);
                let pause =
                    if self.runs.is_empty() { self.cfg.idle_poll_interval } else { Duration::ZERO };
                self.next_poll = now + pause;
                let new_ends: Vec<End> =
                    listing.ended.into_iter().filter(|end| end.number > self.last_seen).collect();
                if let Some(last) = new_ends.last() {
                    if self.cfg.injected_bug == InjectedBug::AcknowledgeEndsEarly {
                        self.last_seen = last.number;
                    } else {
                        self.uncommitted_end = Some(last.number);
                    }
                    self.events.push(SessionEvent::Ended(new_ends));
                }
            }
            OrderAnswer::Done { listing: None, .. } => self.next_poll = now + self.cfg.retry,
            OrderAnswer::Refused { why: RefusalReason::Fence, .. } => {
                self.events.push(SessionEvent::Deposed);
                self.next_poll = now + self.cfg.retry;
            }
            OrderAnswer::Refused { why: RefusalReason::OtherLife, .. } => {
                self.events.push(SessionEvent::LifeOver);
                self.next_poll = now + self.cfg.idle_poll_interval;
            }
            OrderAnswer::Refused { why: RefusalReason::OtherWorker, .. } => {
                self.record_replacement();
                self.events.push(SessionEvent::WorkerReplaced);
                self.next_poll = now + self.cfg.idle_poll_interval;
            }
            OrderAnswer::Refused { .. } => self.next_poll = now + self.cfg.retry,
            OrderAnswer::Silence
            | OrderAnswer::Unanswered { .. }
            | OrderAnswer::Absent
            | OrderAnswer::NotSent => {
                self.watched |= self.last_answer.is_some_and(|last| sent <= last + MAX_UNWATCHED);
                self.timeouts += 1;
                let usual = self.cfg.retry * self.timeouts.min(4);
                let soon = GOODBYE_RETRY * (self.timeouts - 1).saturating_pow(2);
                let delay = if now < self.expected_to_end { soon.min(usual) } else { usual };
                self.next_poll = now + delay;
            }
        }
    }

    /// Records that the worker obeys this leader from now on. A lease granted by an earlier leader
    /// may still be valid for up to the full lease length, so one of that length is assumed.
    fn accept_leader(&mut self) {
        if self.leader_accepted {
            return;
        }
        self.leader_accepted = true;
        let wait_for_leases = self.cfg.injected_bug != InjectedBug::ForgetEarlierLeases;
        if let Some(clock) = self.clock.filter(|_| wait_for_leases) {
            let longest = clock.millis + self.cfg.lease.as_millis() as u64;
            self.leased_until = self.leased_until.max(longest);
        }
    }

    /// Compares the worker's listing with the runs that are assigned to it.
    fn reconcile(&mut self, sent: Timestamp, listing: &RunListing, now: Timestamp) {
        let mut lost = Vec::new();
        let delay = self.cfg.max_order_delay;
        for entry in &mut self.runs {
            let matches_entry =
                |task: &TaskRef, run: RunNumber| (entry.task, entry.run) == (*task, run);
            if listing.ended.iter().any(|end| matches_entry(&end.task, end.run)) {
                continue;
            }
            let listed =
                listing.running.iter().find(|listed| matches_entry(&listed.task, listed.run));
            if let Some(listed) = listed {
                entry.started = true;
                // It was this life that has acknowledged the start; an order that got no answer may
                // still be on its way.
                let mut unanswered = self.unanswered.iter();
                let on_its_way = unanswered.any(|(t, at)| *t == entry.task && now < *at + delay);
                entry.in_doubt = on_its_way.then_some(Doubt::Unanswered);
                entry.working_since.get_or_insert(now);
                (entry.percent, entry.percent_at) = (listed.percent, now);
                match entry.stage {
                    Stage::Starting => (entry.stage, entry.since) = (Stage::Running, now),
                    // The stop order has not taken effect yet or was lost.
                    Stage::Stopped if entry.since + self.cfg.retry <= sent => entry.stop_again(now),
                    _ => {}
                }
                continue;
            }
            // The run is not listed. That proves that it is gone only if the worker acknowledged
            // its start or stop before this poll was sent: an unanswered start may still be
            // carried out. Its end may also be among those that will be listed later.
            let acknowledged = matches!(entry.stage, Stage::Running | Stage::Stopped)
                || self.cfg.injected_bug == InjectedBug::TrustAbsence;
            if listing.complete && acknowledged && entry.since < sent && !entry.reported {
                entry.reported = true;
                lost.push((entry.task, entry.run));
            }
        }
        self.update_unknown_runs(listing, now);
        if !lost.is_empty() {
            self.events.push(SessionEvent::Lost(lost));
        }
    }

    /// Records runs that the worker lists but the replicated state does not assign to it, to stop
    /// them.
    fn update_unknown_runs(&mut self, listing: &RunListing, now: Timestamp) {
        let is_assigned = |task: &TaskRef, run: RunNumber| {
            self.runs.iter().any(|entry| (entry.task, entry.run) == (*task, run))
        };
        let unknown_runs =
            listing.running.iter().filter(|listed| !is_assigned(&listed.task, listed.run));
        let unknown_runs = unknown_runs.map(|listed| (listed.task, listed.run));
        let unknown_runs: Vec<_> = unknown_runs
            .map(|(task, run)| {
                let old = self.unknown_runs.iter().find(|s| (s.0, s.1) == (task, run));
                (task, run, old.map_or(now, |s| s.2))
            })
            .collect();
        self.unknown_runs = unknown_runs;
    }

    fn run_answered(&mut self, i: usize, answer: OrderAnswer, this_life: bool, now: Timestamp) {
        let retry = self.cfg.retry;
        let entry = &mut self.runs[i];
        entry.pending = None;
        entry.retry_at = now + retry;
        let task = entry.task;
        match (entry.stage, &answer) {
            (Stage::Starting, OrderAnswer::Done { .. }) => {
                (entry.stage, entry.since) = (Stage::Running, now);
                entry.started |= this_life;
                entry.working_since.get_or_insert(now);
            }
            (Stage::Stopping, OrderAnswer::Done { .. }) if this_life => {
                (entry.stage, entry.since) = (Stage::Stopped, now);
                self.next_poll = self.next_poll.min(now + retry);
            }
            (_, answer) if !answer.is_answered() => {
                self.timeouts += 1;
                entry.retry_at = now + retry * self.timeouts.min(4);
            }
            (_, OrderAnswer::Refused { why, .. }) => self.handle_refusal(i, *why, task, now),
            _ => {}
        }
    }

    fn handle_refusal(&mut self, i: usize, why: RefusalReason, task: TaskRef, now: Timestamp) {
        let entry = &mut self.runs[i];
        match why {
            RefusalReason::Fence => self.events.push(SessionEvent::Deposed),
            RefusalReason::OtherLife => self.events.push(SessionEvent::LifeOver),
            RefusalReason::OtherWorker => {
                self.replaced = true;
                self.events.push(SessionEvent::WorkerReplaced);
            }
            // The run has ended or was stopped there; the next poll shows which.
            RefusalReason::StaleRun => {
                (entry.stage, entry.since) = (Stage::Stopped, now);
                self.next_poll = self.next_poll.min(now);
            }
            RefusalReason::LeaseExpired => entry.retry_at = now,
            RefusalReason::Unhealthy
            | RefusalReason::NoCapacity
            | RefusalReason::Invalid
            | RefusalReason::Ticket => {
                if why != RefusalReason::Ticket {
                    self.backoff_until = now + BACKOFF;
                } else {
                    self.events.push(SessionEvent::TicketRefused(task));
                }
                // An earlier copy of the order may still arrive, so the run must be stopped
                // explicitly.
                entry.stop(now);
                entry.retry_at = now;
            }
        }
    }
}
