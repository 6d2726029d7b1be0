//! Orders to workers, the runs that they start and end, and the oracle that checks them.

use super::crashes::index_of;
use super::worker::Running;
use super::{Event, World};
use dispatch::OrderAnswer;
use jobs::{EndKind, RunNumber, TaskRef, WorkerInfo};
use scheduler::{Call, OrderEnvelope, WorkerHeartbeat};

const GANG_TIMEOUT: u64 = 3_000;
const HEARTBEAT_INTERVAL: u64 = 1_500;
/// No task of a job may start later than this after its cancellation was acknowledged.
const MAX_START_AFTER_CANCEL: u64 = 3_000;

impl World {
    /// The oracle: checks every start of a run.
    fn check_start(&mut self, w: usize, task: TaskRef, run: RunNumber, late: bool) {
        self.starts += 1;
        let now = self.now;
        let mut violations = Vec::new();
        // Workers end their runs at the moment at which their leases lapse.
        self.workers.iter_mut().filter(|worker| worker.up).for_each(|w| w.check_lease(now));
        let runs_twice = self.workers.iter().enumerate().any(|(other, worker)| {
            worker.up && worker.runs.keys().any(|(t, r)| *t == task && (other, *r) != (w, run))
        });
        if runs_twice {
            violations.push("runs twice");
        }
        match self.jobs.get(&task.step.job) {
            None => violations.push("was never asked for"),
            Some(known) => {
                if known.acknowledged.contains(&task) {
                    violations.push("is done already");
                }
                // A late order may have been sent before the cancellation.
                if !late && known.cancelled_at.is_some_and(|at| now > at + MAX_START_AFTER_CANCEL) {
                    violations.push("was cancelled");
                }
                let step = &self.requests[&task.step.job].steps[usize::from(task.step.step)];
                let open = step.after.iter().any(|before| {
                    let count = self.requests[&task.step.job].steps[usize::from(*before)].count;
                    let step = jobs::StepRef { step: *before, ..task.step };
                    (0..count).any(|index| !known.done.contains(&TaskRef { step, index }))
                });
                if open {
                    violations.push("starts before an earlier step is done");
                }
                if self.crashes.is_started_too_often(task) {
                    violations.push("was started too often after it had crashed its workers");
                }
                let used = self.workers[w].used().plus(&step.need);
                if self.workers[w].is_over(&used, now, late) {
                    violations.push("is more than its worker can hold");
                }
                let need = step.need;
                if self.passes_quota(task, need) {
                    violations.push("brings its account above its quota");
                }
            }
        }
        if let Some(known) = self.jobs.get_mut(&task.step.job) {
            known.started.insert(task, now);
        }
        for cause in violations {
            self.violations.push(format!("{now} ms: {task:?} run {run} on w{w} {cause}"));
        }
    }

    pub(super) fn deliver_order(
        &mut self,
        i: usize,
        process: u64,
        number: u64,
        envelope: Box<OrderEnvelope>,
        late: bool,
    ) {
        let w = index_of(&envelope.worker);
        let timeout = envelope.timeout.as_millis() as u64;
        let cut = self.cut_workers.contains(&w);
        if self.is_bound(i, &envelope) && !late && !self.has_life(&envelope) {
            let noticed_after = if cut || self.crashes.dark { timeout } else { 1 };
            return self.lose_bound(i, process, number, &envelope, noticed_after);
        }
        if !self.workers[w].up && !cut && !self.crashes.dark {
            if !late {
                self.after(1, Event::OrderAnswered(i, process, number, OrderAnswer::Absent));
            }
            return;
        }
        if !self.workers[w].up || cut {
            if !late {
                self.after(timeout, Event::OrderAnswered(i, process, number, OrderAnswer::Silence));
            }
            return;
        }
        if self.workers[w].name != envelope.worker {
            let why = dispatch::RefusalReason::OtherWorker;
            let answer = OrderAnswer::Refused { why, clock: None };
            if !late {
                self.after(1, Event::OrderAnswered(i, process, number, answer));
            }
            return;
        }
        // A new life under the same name also gets the orders in transit to the previous one; only
        // its own `born` value tells them apart. Orders that waited inside the previous life are
        // lost.
        if late && self.workers[w].born != envelope.born {
            return;
        }
        let is_poll = matches!(envelope.order, dispatch::Order::Hold { .. });
        if is_poll && self.workers[w].born != envelope.born {
            self.handle_order(w, &envelope, late);
            let why = dispatch::RefusalReason::OtherLife;
            let answer = OrderAnswer::Refused { why, clock: None };
            if !late {
                self.after(1, Event::OrderAnswered(i, process, number, answer));
            }
            return;
        }
        if let dispatch::Order::Hold { wait, .. } = &envelope.order {
            let wait = wait.as_millis() as u64;
            if wait > 0 && !late {
                let until = self.now + wait;
                self.after(0, Event::PollDue(i, process, number, envelope, until));
                return;
            }
        }
        let answer = self.handle_order(w, &envelope, late);
        if is_poll && !late && matches!(answer, OrderAnswer::Done { .. }) {
            self.note_connection(i, process, &envelope);
        }
        if !late {
            self.after(1, Event::OrderAnswered(i, process, number, answer));
        }
    }

    pub(super) fn handle_order(
        &mut self,
        w: usize,
        envelope: &OrderEnvelope,
        late: bool,
    ) -> OrderAnswer {
        let now = self.now;
        eprintln!(
            "{now} w{w} late {late} fence {}/{} wfence {}/{} born {} for {} {:?}",
            envelope.fence >> 28,
            envelope.fence & 0xfffff,
            self.workers[w].fence >> 28,
            self.workers[w].fence & 0xfffff,
            self.workers[w].born,
            envelope.born,
            envelope.order
        );
        let duration = self.rng.u64(100..1_500).max(self.min_duration);
        let fails = self.rng.u32(..100) < 3;
        let mut started = None;
        let (requests, deadly) = (&self.requests, &self.crashes.deadly);
        let answer =
            self.workers[w].handle_order(&envelope.order, envelope.fence, now, |task, run| {
                started = Some((task, run));
                let request = requests.get(&task.step.job);
                let spec = request.and_then(|r| r.steps.get(usize::from(task.step.step)));
                let need = spec.map(|spec| spec.need).unwrap_or_default();
                // A deadly task does not finish before it crashes its worker.
                let duration = duration.max(deadly.get(&task).map_or(0, |delay| delay + 1_000));
                Running { need, began: None, duration, fails }
            });
        if let (dispatch::Order::Hold { last_seen, .. }, OrderAnswer::Done { .. }) =
            (&envelope.order, &answer)
        {
            self.check_acknowledged_ends(w, *last_seen);
        }
        if let Some((task, run)) = started {
            let running = self.workers[w].runs.remove(&(task, run)).unwrap();
            self.check_start(w, task, run, late);
            self.workers[w].runs.insert((task, run), running);
            self.begin(w, task, run);
            self.plan_crash(w, task, run);
        }
        answer
    }

    /// Checks the ends up to `last_seen`, which a leader acknowledges: a task must not have been
    /// started after its successful end, unless the worker's lease lapsed in between.
    fn check_acknowledged_ends(&mut self, w: usize, last_seen: u64) {
        let lapses = self.workers[w].lapses;
        for (task, at, lapses_then) in self.workers[w].take_acknowledged(last_seen) {
            let Some(known) = self.jobs.get_mut(&task.step.job) else { continue };
            known.acknowledged.insert(task);
            let later = known.started.get(&task).is_some_and(|started| *started > at);
            if later && lapses == lapses_then {
                self.violations
                    .push(format!("{} ms: {task:?} was started after it was done", self.now));
            }
        }
    }

    /// Begins the work of a run, or of a gang once all its members have started.
    fn begin(&mut self, w: usize, task: TaskRef, run: RunNumber) {
        let Some(request) = self.requests.get(&task.step.job) else { return };
        let spec = &request.steps[usize::from(task.step.step)];
        let now = self.now;
        let mut members = vec![(w, task)];
        if spec.gang {
            members = self.members(task, run);
            if members.len() < spec.count as usize {
                let born = self.workers[w].born;
                self.after(GANG_TIMEOUT, Event::GangTimeout(w, born, task, run));
                return;
            }
        }
        let duration = self.workers[w].runs[&(task, run)].duration;
        for (w, task) in members {
            let born = self.workers[w].born;
            let running = self.workers[w].runs.get_mut(&(task, run)).unwrap();
            running.began = Some(now);
            self.after(duration, Event::RunEnd(w, born, task, run));
        }
    }

    fn members(&self, task: TaskRef, run: RunNumber) -> Vec<(usize, TaskRef)> {
        let mut found = Vec::new();
        for (w, worker) in self.workers.iter().enumerate().filter(|(_, worker)| worker.up) {
            let here = worker.runs.keys().filter(|(t, r)| t.step == task.step && *r == run);
            found.extend(here.map(|(t, _)| (w, *t)));
        }
        found
    }

    #[rustfmt::skip]
    pub(super) fn end_run(&mut self, w: usize, born: u64, task: TaskRef, run: RunNumber) {
        let now = self.now;
        self.workers[w].check_lease(now);
        if self.workers[w].born != born || !self.workers[w].runs.contains_key(&(task, run)) {
            return;
        }
        let fails = self.workers[w].runs[&(task, run)].fails;
        let spec = &self.requests[&task.step.job].steps[usize::from(task.step.step)];
        let (gang, count) = (spec.gang, spec.count as usize);
        if gang && self.members(task, run).len() < count {
            // Another member of the gang has ended already.
            self.workers[w].end(task, run, EndKind::Broken);
            return;
        }
        eprintln!("{} end w{w} {task:?} {run} fails {fails}", self.now);
        let kind = if fails { EndKind::Failed } else { EndKind::Done };
        if fails {
            self.crashes.record_failure(task, gang);
        }
        let members = if gang { self.members(task, run) } else { Vec::new() };
        self.workers[w].end(task, run, kind);
        if !fails {
            self.record_done(w, task);
        }
        for (other, member) in members.into_iter().filter(|(_, member)| *member != task) {
            let kind = if fails { EndKind::Broken } else { EndKind::Done };
            self.workers[other].end(member, run, kind);
            if !fails {
                self.record_done(other, member);
            }
        }
    }

    fn record_done(&mut self, w: usize, task: TaskRef) {
        self.jobs.get_mut(&task.step.job).unwrap().done.insert(task);
        let now = self.now;
        let worker = &mut self.workers[w];
        let entry = (worker.last_number, task, now, worker.lapses);
        worker.unacknowledged_done.push(entry);
    }

    pub(super) fn gang_timeout(&mut self, w: usize, born: u64, task: TaskRef, run: RunNumber) {
        if self.workers[w].born != born {
            return;
        }
        let waits = self.workers[w].runs.get(&(task, run)).is_some_and(|r| r.began.is_none());
        if waits {
            self.workers[w].end(task, run, EndKind::Alone);
        }
    }

    pub(super) fn send_heartbeat(&mut self, w: usize) {
        if self.workers[w].up {
            eprintln!("{} heartbeat w{w} born {}", self.now, self.workers[w].born);
        }
        self.after(HEARTBEAT_INTERVAL, Event::Heartbeat(w));
        self.register(w);
    }

    /// Sends what the worker reports about itself, if it is up and reachable.
    pub(super) fn register(&mut self, w: usize) {
        if !self.workers[w].up || self.cut_workers.contains(&w) {
            return;
        }
        let heartbeat = self.heartbeat_of(w);
        let host = self.host_for_heartbeat();
        self.call(host, Call::Heartbeat(Box::new(heartbeat)));
    }

    /// What the worker reports about itself now.
    pub(crate) fn heartbeat_of(&self, w: usize) -> WorkerHeartbeat {
        let worker = &self.workers[w];
        let info = WorkerInfo {
            worker: worker.name.clone(),
            born: worker.born,
            service: "crunch".into(),
            addr: format!("10.1.0.{w}:1"),
            zone: "z".into(),
            capacity: worker.capacity,
            labels: vec!["a".into(), "r1".into()],
            draining: self.draining.contains(&w),
        };
        WorkerHeartbeat { info, clock: Some(worker.clock(self.now)) }
    }
}
