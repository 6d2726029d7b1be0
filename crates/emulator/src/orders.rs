//! How emulated workers carry out orders.

use crate::load::WARMUP;
use crate::simulation::{worker_index, Event, Simulation, NETWORK_DELAY, ZONES};
use crate::worker::ActiveRun;
use dispatch::{Order, OrderAnswer, RefusalReason};
use jobs::{EndKind, RunNumber, StepRef, TaskRef};
use scheduler::{Input, OrderEnvelope};
use std::time::Duration;

/// Time until the leader gives up a hold order whose answer is lost, beyond the wait that the order
/// asks for.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Fraction of its work after which a task of a poison job fails, unless it is part of a gang.
const POISON_FAILURE_POINT: f64 = 0.6;

impl Simulation<'_> {
    /// Sends the answer to the order with this number.
    fn answer(&mut self, number: u64, answer: OrderAnswer) {
        self.schedule_after(NETWORK_DELAY, Event::Input(Input::OrderAnswered(number, answer)));
    }

    /// Handles an order that reaches its worker.
    pub(crate) fn deliver_order(&mut self, number: u64, envelope: OrderEnvelope) {
        let worker = worker_index(&envelope.worker);
        if self.is_partitioned(worker) {
            let silence = Event::Input(Input::OrderAnswered(number, OrderAnswer::Silence));
            return self.schedule_after(envelope.timeout, silence);
        }
        if self.is_partitioned(worker) {
            return self.schedule_after(
                envelope.timeout,
                Event::Input(Input::OrderAnswered(number, OrderAnswer::Silence)),
            );
        }
        let clock = Some(self.now.as_millis() as u64);
        let done = OrderAnswer::Done { clock, listing: None };
        match envelope.order {
            Order::Hold { last_seen, wait, .. } => {
                self.workers[worker].unacknowledged_ends.retain(|end| end.number > last_seen);
                self.holds[worker] = Some(number);
                if wait.is_zero() || !self.workers[worker].unacknowledged_ends.is_empty() {
                    self.answer_hold(worker);
                } else {
                    self.schedule_after(wait, Event::HoldExpires(worker, number));
                }
            }
            Order::Stop { task, run } => {
                self.workers[worker].mark_stale(task, run);
                if let Some(running) = self.workers[worker].runs.get_mut(&(task, run)) {
                    running.stopping = true;
                    self.schedule_after(
                        self.scenario.stop_time,
                        Event::RunStopped(worker, task, run),
                    );
                }
                self.answer(number, done);
            }
            Order::Start { task, run, .. } => {
                let refused = |why| OrderAnswer::Refused { why, clock };
                let answer = if self.workers[worker].runs.contains_key(&(task, run)) {
                    done
                } else if self.workers[worker].is_stale_run(task, run) {
                    refused(RefusalReason::StaleRun)
                } else if self.has_stale_ticket(&envelope) {
                    self.summary.stale_tickets += 1;
                    refused(RefusalReason::Ticket)
                } else {
                    self.start(worker, task, run, envelope.saved.as_deref());
                    done
                };
                self.answer(number, answer);
            }
        }
    }

    /// Whether the worker is in the zone that is currently unreachable.
    fn is_partitioned(&self, worker: usize) -> bool {
        let now = self.now.saturating_sub(WARMUP);
        self.zone_partition.is_some_and(|partition| {
            worker.is_multiple_of(ZONES)
                && now >= partition.at
                && now < partition.at + partition.duration
        })
    }

    /// Whether a start order has no ticket, or one that has expired.
    fn has_stale_ticket(&self, envelope: &OrderEnvelope) -> bool {
        let Some(text) = &envelope.ticket else { return true };
        let issued = Duration::from_micros(text.parse().unwrap_or(0));
        let life = self.scenario.queues[0].policy.advice.map(|advice| advice.ticket_life);
        self.now > issued + life.unwrap_or_default()
    }

    /// Answers the worker's open hold order, if there is one, with a listing.
    pub(crate) fn answer_hold(&mut self, worker: usize) {
        let Some(number) = self.holds[worker].take() else { return };
        if self.is_partitioned(worker) {
            return self.schedule_after(
                ORDER_TIMEOUT,
                Event::Input(Input::OrderAnswered(number, OrderAnswer::Silence)),
            );
        }
        let listing = Some(self.workers[worker].listing(self.now));
        let clock = Some(self.now.as_millis() as u64);
        self.answer(number, OrderAnswer::Done { clock, listing });
    }

    /// Starts a run. A member of a gang begins to work when all members have started.
    fn start(&mut self, worker: usize, task: TaskRef, run: RunNumber, saved: Option<&str>) {
        let Some(i) = self.open_jobs.get(&task.step.job).copied() else { return };
        let step = usize::from(task.step.step);
        let spec = self.arrivals[i].request.steps[step].clone();
        self.job_times[i].started.get_or_insert(self.now);
        self.summary.runs += 1;
        let slowdown = self.workers[worker].slowdown;
        let total = self.arrivals[i].work[step][task.index as usize].mul_f64(slowdown);
        let done = saved.and_then(|text| text.parse().ok()).map(Duration::from_micros);
        let remaining = total.saturating_sub(done.unwrap_or_default().mul_f64(slowdown));
        let running = ActiveRun {
            need: spec.need,
            remaining,
            total,
            checkpoints: spec.checkpoint,
            working_since: (!spec.gang).then_some(self.now),
            stopping: false,
        };
        self.workers[worker].runs.insert((task, run), running);
        if !self.workers[worker].used().fits_in(&self.scenario.capacity) {
            self.summary.over_capacity += 1;
        }
        if !spec.gang {
            let remaining = if self.arrivals[i].poison {
                remaining.mul_f64(POISON_FAILURE_POINT)
            } else {
                remaining
            };
            return self.schedule_after(remaining, Event::RunEnds(worker, task, run));
        }
        self.schedule_after(self.scenario.gang_timeout, Event::GangTimeout(worker, task, run));
        let members = self.gangs.get_or_insert_with((task.step, run), Vec::new);
        members.push((worker, task));
        if members.len() == spec.count as usize {
            let members = members.clone();
            let mut longest = Duration::ZERO;
            for (worker, task) in members {
                if let Some(member) = self.workers[worker].runs.get_mut(&(task, run)) {
                    member.working_since = Some(self.now);
                    longest = longest.max(member.remaining);
                }
            }
            self.schedule_after(longest, Event::GangEnds(task.step, run));
        }
    }

    /// Ends a run that has worked as long as it needs.
    pub(crate) fn complete_run(&mut self, worker: usize, task: TaskRef, run: RunNumber) {
        if !self.workers[worker].runs.contains_key(&(task, run)) {
            return;
        }
        let poison = self.open_jobs.get(&task.step.job).is_some_and(|i| self.arrivals[*i].poison);
        self.end_run(worker, task, run, if poison { EndKind::Failed } else { EndKind::Done });
    }

    /// Ends all runs of a gang that has worked as long as it needs.
    pub(crate) fn complete_gang(&mut self, step: StepRef, run: RunNumber) {
        let Some(members) = self.gangs.remove(&(step, run)) else { return };
        let poison = self.open_jobs.get(&step.job).is_some_and(|i| self.arrivals[*i].poison);
        for (worker, task) in members {
            self.end_run(worker, task, run, if poison { EndKind::Failed } else { EndKind::Done });
        }
    }

    /// Ends a run that was ordered to stop.
    pub(crate) fn finish_stop(&mut self, worker: usize, task: TaskRef, run: RunNumber) {
        if self.workers[worker].runs.contains_key(&(task, run)) {
            self.summary.stopped += 1;
            self.end_run(worker, task, run, EndKind::Stopped);
        }
    }

    /// Ends a run and the other members of its gang.
    pub(crate) fn end_run(&mut self, worker: usize, task: TaskRef, run: RunNumber, kind: EndKind) {
        let Some(running) = self.workers[worker].end_run(task, run, kind, self.now) else { return };
        let worked = running.working_since.map_or(Duration::ZERO, |at| self.now.saturating_sub(at));
        let cores = running.need.cpu as f64 / 1_000.0;
        self.summary.utilization += worked.as_secs_f64() * cores;
        if kind != EndKind::Done && kind != EndKind::Failed && !running.checkpoints {
            self.summary.wasted_core_seconds += worked.as_secs_f64() * cores;
        }
        if self.holds[worker].is_some() {
            self.answer_hold(worker);
        }
        if let Some(members) = self.gangs.remove(&(task.step, run)) {
            for (other, member) in members.into_iter().filter(|(_, member)| *member != task) {
                self.end_run(other, member, run, EndKind::Broken);
            }
        }
    }
}
