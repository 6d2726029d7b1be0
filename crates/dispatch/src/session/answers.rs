//! What a session makes of its worker's answers.

use super::run::Stage;
use super::{ClockReading, InjectedBug, Session, SessionEvent, REST};
use crate::order::{OrderAnswer, OrderId, RefusalReason, RunListing};
use jobs::{End, RunNumber, TaskRef};
use std::time::Duration;
use types::Timestamp;

impl Session {
    /// Handles the answer to an order that was sent at `sent`.
    pub fn answered(
        &mut self,
        order: OrderId,
        sent: Timestamp,
        answer: OrderAnswer,
        now: Timestamp,
    ) {
        if answer == OrderAnswer::Silence {
            self.same_life = false;
        }
        if let OrderAnswer::Done { clock, .. } | OrderAnswer::Refused { clock, .. } = &answer {
            self.heard = Some(now);
            self.misses = 0;
            self.clock = clock.map(|millis| ClockReading { millis, at: now }).or(self.clock);
        }
        if self.look == Some(order) {
            self.look = None;
            self.look_answered(sent, answer, now);
        } else if let Some(i) = self.runs.iter().position(|e| e.pending == Some(order)) {
            self.run_answered(i, answer, now);
        }
        self.set_wakeup();
    }

    fn look_answered(&mut self, sent: Timestamp, answer: OrderAnswer, now: Timestamp) {
        match answer {
            OrderAnswer::Done { listing: Some(listing), .. } => {
                self.settle();
                self.same_life = true;
                self.compare(sent, &listing, now);
                let pause =
                    if self.runs.is_empty() { self.cfg.idle_poll_interval } else { Duration::ZERO };
                self.next_look = now + pause;
                let news: Vec<End> =
                    listing.ended.into_iter().filter(|end| end.number > self.last_seen).collect();
                if let Some(last) = news.last() {
                    if self.cfg.injected_bug == InjectedBug::AcknowledgeEndsEarly {
                        self.last_seen = last.number;
                    } else {
                        self.noting = Some(last.number);
                    }
                    self.facts.push(SessionEvent::Ended(news));
                }
            }
            OrderAnswer::Done { listing: None, .. } => self.next_look = now + self.cfg.retry,
            OrderAnswer::Refused { why: RefusalReason::Fence, .. } => {
                self.facts.push(SessionEvent::Deposed);
                self.next_look = now + self.cfg.retry;
            }
            OrderAnswer::Refused { why: RefusalReason::OtherLife, .. } => {
                self.facts.push(SessionEvent::LifeOver);
                self.next_look = now + self.cfg.idle_poll_interval;
            }
            OrderAnswer::Refused { .. } => self.next_look = now + self.cfg.retry,
            OrderAnswer::Silence => {
                self.misses += 1;
                self.next_look = now + self.cfg.retry * self.misses.min(4);
            }
        }
    }

    /// The worker obeys this leader from now on. Until its first lease from here is over, an
    /// earlier leader's may still hold.
    fn settle(&mut self) {
        if self.settled {
            return;
        }
        self.settled = true;
        let waits = self.cfg.injected_bug != InjectedBug::ForgetEarlierLeases;
        if let Some(clock) = self.clock.filter(|_| waits) {
            let longest = clock.millis + self.cfg.lease.as_millis() as u64;
            self.leased_until = self.leased_until.max(longest);
        }
    }

    /// Compares what the worker lists with what should run there.
    fn compare(&mut self, sent: Timestamp, look: &RunListing, now: Timestamp) {
        let mut lost = Vec::new();
        for entry in &mut self.runs {
            let is_this = |task: &TaskRef, run: RunNumber| (entry.task, entry.run) == (*task, run);
            if look.ended.iter().any(|end| is_this(&end.task, end.run)) {
                continue;
            }
            let listed = look.running.iter().find(|listed| is_this(&listed.task, listed.run));
            if let Some(listed) = listed {
                entry.listed = true;
                entry.working_since.get_or_insert(now);
                (entry.percent, entry.percent_at) = (listed.percent, now);
                match entry.stage {
                    Stage::Starting => (entry.stage, entry.since) = (Stage::Running, now),
                    // The stop has not taken effect yet, or the order was lost.
                    Stage::Stopped if entry.since + self.cfg.retry <= sent => entry.stop_again(now),
                    _ => {}
                }
                continue;
            }
            // Absent: certain only where the worker had acknowledged the order before this look
            // was sent. A start that got no answer may still be carried out.
            let certain = matches!(entry.stage, Stage::Running | Stage::Stopped)
                || self.cfg.injected_bug == InjectedBug::TrustAbsence;
            if certain && entry.since < sent && !entry.reported {
                entry.reported = true;
                lost.push((entry.task, entry.run));
            }
        }
        self.note_strays(look, now);
        if !lost.is_empty() {
            self.facts.push(SessionEvent::Lost(lost));
        }
    }

    /// Notes runs that the worker lists and the log does not know; they are stopped.
    fn note_strays(&mut self, look: &RunListing, now: Timestamp) {
        let known = |task: &TaskRef, run: RunNumber| {
            self.runs.iter().any(|entry| (entry.task, entry.run) == (*task, run))
        };
        let strays = look.running.iter().filter(|listed| !known(&listed.task, listed.run));
        let strays = strays.map(|listed| (listed.task, listed.run));
        let strays: Vec<_> = strays
            .map(|(task, run)| {
                let old = self.strays.iter().find(|s| (s.0, s.1) == (task, run));
                (task, run, old.map_or(now, |s| s.2))
            })
            .collect();
        self.strays = strays;
    }

    fn run_answered(&mut self, i: usize, answer: OrderAnswer, now: Timestamp) {
        let retry = self.cfg.retry;
        let entry = &mut self.runs[i];
        entry.pending = None;
        entry.retry_at = now + retry;
        let task = entry.task;
        match (entry.stage, answer) {
            (Stage::Starting, OrderAnswer::Done { .. }) => {
                (entry.stage, entry.since) = (Stage::Running, now);
                entry.working_since.get_or_insert(now);
            }
            (Stage::Stopping, OrderAnswer::Done { .. }) => {
                (entry.stage, entry.since) = (Stage::Stopped, now);
                self.next_look = self.next_look.min(now + retry);
            }
            (stage, OrderAnswer::Silence) => {
                self.misses += 1;
                if stage == Stage::Starting {
                    self.unanswered.retain(|(_, at)| now < *at + self.cfg.max_order_delay);
                    self.unanswered.push((task, now));
                }
                entry.retry_at = now + retry * self.misses.min(4);
            }
            (_, OrderAnswer::Refused { why, .. }) => self.refused(i, why, task, now),
            _ => {}
        }
    }

    fn refused(&mut self, i: usize, why: RefusalReason, task: TaskRef, now: Timestamp) {
        let entry = &mut self.runs[i];
        match why {
            RefusalReason::Fence => self.facts.push(SessionEvent::Deposed),
            RefusalReason::OtherLife => self.facts.push(SessionEvent::LifeOver),
            // Ended there before, or stopped: the next look tells which.
            RefusalReason::StaleRun => {
                (entry.stage, entry.since) = (Stage::Stopped, now);
                self.next_look = self.next_look.min(now);
            }
            RefusalReason::LeaseExpired => entry.retry_at = now,
            RefusalReason::Unhealthy
            | RefusalReason::NoCapacity
            | RefusalReason::Invalid
            | RefusalReason::Ticket => {
                if why != RefusalReason::Ticket {
                    self.rest_until = now + REST;
                } else {
                    self.facts.push(SessionEvent::TicketRefused(task));
                }
                // An earlier copy of the order may still arrive, so the run is stopped there.
                entry.stop(now);
                entry.retry_at = now;
            }
        }
    }
}
