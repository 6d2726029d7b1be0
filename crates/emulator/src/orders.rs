//! What emulated workers do with orders.

use crate::simulation::{worker_index, Cell, Event, HOP, LEAD, ZONES};
use crate::worker::Running;
use dispatch::{Order, OrderAnswer, RefusalReason};
use jobs::{EndKind, RunNumber, StepRef, TaskRef};
use scheduler::{Input, OrderEnvelope};
use std::time::Duration;

/// An order without an answer is given up after this time, beyond the wait that it asks for.
const SILENCE: Duration = Duration::from_millis(800);
/// Share of its work after which a task of a poisoned job fails.
const FAILS_AFTER: f64 = 0.6;

impl Cell<'_> {
    fn answer(&mut self, number: u64, answer: OrderAnswer) {
        self.after(HOP, Event::Input(Input::OrderAnswered(number, answer)));
    }

    pub(crate) fn arrive(&mut self, number: u64, details: OrderEnvelope) {
        let worker = worker_index(&details.worker);
        if self.is_cut(worker) {
            let silence = Event::Input(Input::OrderAnswered(number, OrderAnswer::Silence));
            return self.after(details.timeout, silence);
        }
        if self.is_cut(worker) {
            return self.after(
                details.timeout,
                Event::Input(Input::OrderAnswered(number, OrderAnswer::Silence)),
            );
        }
        let clock = Some(self.now.as_millis() as u64);
        let done = OrderAnswer::Done { clock, listing: None };
        match details.order {
            Order::Hold { last_seen, wait, .. } => {
                self.workers[worker].ended.retain(|end| end.number > last_seen);
                self.holds[worker] = Some(number);
                if wait.is_zero() || !self.workers[worker].ended.is_empty() {
                    self.answer_hold(worker);
                } else {
                    self.after(wait, Event::HoldDue(worker, number));
                }
            }
            Order::Stop { task, run } => {
                self.workers[worker].bar(task, run);
                if let Some(running) = self.workers[worker].runs.get_mut(&(task, run)) {
                    running.stopping = true;
                    self.after(self.sheet.stop_time, Event::Stopped(worker, task, run));
                }
                self.answer(number, done);
            }
            Order::Start { task, run, .. } => {
                let refused = |why| OrderAnswer::Refused { why, clock };
                let answer = if self.workers[worker].runs.contains_key(&(task, run)) {
                    done
                } else if self.workers[worker].is_barred(task, run) {
                    refused(RefusalReason::StaleRun)
                } else if self.is_stale(&details) {
                    self.tally.stale_tickets += 1;
                    refused(RefusalReason::Ticket)
                } else {
                    self.start(worker, task, run, details.saved.as_deref());
                    done
                };
                self.answer(number, answer);
            }
        }
    }

    fn is_cut(&self, worker: usize) -> bool {
        let now = self.now.saturating_sub(LEAD);
        self.zone_partition.is_some_and(|cut| {
            worker.is_multiple_of(ZONES) && now >= cut.at && now < cut.at + cut.duration
        })
    }

    fn is_stale(&self, details: &OrderEnvelope) -> bool {
        let Some(text) = &details.ticket else { return true };
        let asked = Duration::from_micros(text.parse().unwrap_or(0));
        let life = self.sheet.queues[0].policy.advice.map(|advice| advice.ticket_life);
        self.now > asked + life.unwrap_or_default()
    }

    pub(crate) fn answer_hold(&mut self, worker: usize) {
        let Some(number) = self.holds[worker].take() else { return };
        if self.is_cut(worker) {
            return self
                .after(SILENCE, Event::Input(Input::OrderAnswered(number, OrderAnswer::Silence)));
        }
        let listing = Some(self.workers[worker].look(self.now));
        let clock = Some(self.now.as_millis() as u64);
        self.answer(number, OrderAnswer::Done { clock, listing });
    }

    fn start(&mut self, worker: usize, task: TaskRef, run: RunNumber, saved: Option<&str>) {
        let Some(i) = self.open.get(&task.step.job).copied() else { return };
        let step = usize::from(task.step.step);
        let spec = self.arrivals[i].request.steps[step].clone();
        self.courses[i].started.get_or_insert(self.now);
        self.tally.runs += 1;
        let slowness = self.workers[worker].slowness;
        let whole = self.arrivals[i].work[step][task.index as usize].mul_f64(slowness);
        let done = saved.and_then(|text| text.parse().ok()).map(Duration::from_micros);
        let left = whole.saturating_sub(done.unwrap_or_default().mul_f64(slowness));
        let running = Running {
            need: spec.need,
            left,
            whole,
            saves: spec.checkpoint,
            began: (!spec.gang).then_some(self.now),
            stopping: false,
        };
        self.workers[worker].runs.insert((task, run), running);
        if !self.workers[worker].used().fits_in(&self.sheet.capacity) {
            self.tally.over_capacity += 1;
        }
        if !spec.gang {
            let left = if self.arrivals[i].poison { left.mul_f64(FAILS_AFTER) } else { left };
            return self.after(left, Event::WorkEnds(worker, task, run));
        }
        self.after(self.sheet.gang_timeout, Event::Alone(worker, task, run));
        let members = self.gangs.get_or_insert_with((task.step, run), Vec::new);
        members.push((worker, task));
        if members.len() == spec.count as usize {
            let members = members.clone();
            let mut longest = Duration::ZERO;
            for (worker, task) in members {
                if let Some(member) = self.workers[worker].runs.get_mut(&(task, run)) {
                    member.began = Some(self.now);
                    longest = longest.max(member.left);
                }
            }
            self.after(longest, Event::GangEnds(task.step, run));
        }
    }

    pub(crate) fn work_ends(&mut self, worker: usize, task: TaskRef, run: RunNumber) {
        if !self.workers[worker].runs.contains_key(&(task, run)) {
            return;
        }
        let poison = self.open.get(&task.step.job).is_some_and(|i| self.arrivals[*i].poison);
        self.end(worker, task, run, if poison { EndKind::Failed } else { EndKind::Done });
    }

    pub(crate) fn gang_ends(&mut self, step: StepRef, run: RunNumber) {
        let Some(members) = self.gangs.remove(&(step, run)) else { return };
        let poison = self.open.get(&step.job).is_some_and(|i| self.arrivals[*i].poison);
        for (worker, task) in members {
            self.end(worker, task, run, if poison { EndKind::Failed } else { EndKind::Done });
        }
    }

    pub(crate) fn stopped(&mut self, worker: usize, task: TaskRef, run: RunNumber) {
        if self.workers[worker].runs.contains_key(&(task, run)) {
            self.tally.stopped += 1;
            self.end(worker, task, run, EndKind::Stopped);
        }
    }

    /// Ends a run, and with it the other members of its gang.
    pub(crate) fn end(&mut self, worker: usize, task: TaskRef, run: RunNumber, kind: EndKind) {
        let Some(running) = self.workers[worker].end(task, run, kind, self.now) else { return };
        let worked = running.began.map_or(Duration::ZERO, |at| self.now.saturating_sub(at));
        let cores = running.need.cpu as f64 / 1_000.0;
        self.tally.utilization += worked.as_secs_f64() * cores;
        if kind != EndKind::Done && kind != EndKind::Failed && !running.saves {
            self.tally.wasted_core_seconds += worked.as_secs_f64() * cores;
        }
        if self.holds[worker].is_some() {
            self.answer_hold(worker);
        }
        if let Some(members) = self.gangs.remove(&(task.step, run)) {
            for (other, member) in members.into_iter().filter(|(_, member)| *member != task) {
                self.end(other, member, run, EndKind::Broken);
            }
        }
    }
}
