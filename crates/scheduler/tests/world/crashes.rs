//! Crashes of workers: at random, or by tasks that crash each worker that starts them.

use super::worker::Worker;
use super::{Event, World};
use jobs::{JobRequest, ResourceVector, RunNumber, StepRef, TaskCrashes, TaskRef};
use scheduler::{Call, Node};
use std::collections::{BTreeMap, BTreeSet};
use types::JobId;

/// A task under which this many workers have crashed may be given up.
const CRASHES_TO_GIVE_UP: u32 = 2;
/// After this many crashes a task may be started only [`STARTS_LEFT`] times more.
const CRASHES_TO_STOP: u32 = 3;
const STARTS_LEFT: u32 = 2;
/// Failed runs after which a task, or a gang, is given up; the policy of all queues.
const ATTEMPTS: u32 = 3;

/// Which tasks crash their workers, and how; and what has crashed so far.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// Tasks that crash each worker that starts them, and how long after their start.
    pub(crate) deadly: BTreeMap<TaskRef, u64>,
    /// Workers get another name when they start again.
    pub(crate) renames: bool,
    /// Workers send a heartbeat that is not answered to another host.
    pub(crate) repeats_heartbeats: bool,
    /// Nothing answers at the address of a worker that has crashed; otherwise connections are refused.
    pub(crate) dark: bool,
    /// How long a worker is away that a task has crashed, in milliseconds.
    pub(crate) away: u64,
    /// Number of crashes of workers that ran the task at that time.
    pub(crate) under: BTreeMap<TaskRef, u32>,
    /// Starts of a deadly task after [`CRASHES_TO_STOP`] crashes.
    starts_after: BTreeMap<TaskRef, u32>,
    failed_tasks: BTreeMap<TaskRef, u32>,
    failed_gangs: BTreeMap<StepRef, u32>,
}

/// Index of the worker with this name.
pub(super) fn index_of(name: &str) -> usize {
    name[1..].split('.').next().and_then(|index| index.parse().ok()).expect("w and an index")
}

impl Crashes {
    /// Records the start of a task. True if it is deadly and started more often than is allowed.
    pub(super) fn is_started_too_often(&mut self, task: TaskRef) -> bool {
        let crashes = self.under.get(&task).copied().unwrap_or(0);
        if crashes < CRASHES_TO_STOP || !self.deadly.contains_key(&task) {
            return false;
        }
        let starts = self.starts_after.entry(task).or_default();
        *starts += 1;
        *starts > STARTS_LEFT
    }

    pub(super) fn record_failure(&mut self, task: TaskRef, gang: bool) {
        if gang {
            *self.failed_gangs.entry(task.step).or_default() += 1;
        } else {
            *self.failed_tasks.entry(task).or_default() += 1;
        }
    }

    /// Whether there is a cause for which the job may be given up.
    pub(super) fn may_fail(&self, job: JobId, request: &JobRequest) -> bool {
        let crashed = self.under.iter().any(|(t, n)| t.step.job == job && *n >= CRASHES_TO_GIVE_UP);
        let failed = self.failed_tasks.iter().any(|(t, n)| t.step.job == job && *n >= ATTEMPTS);
        let gang = self.failed_gangs.iter().any(|(s, n)| s.job == job && *n >= ATTEMPTS);
        crashed || failed || (gang && request.steps.iter().any(|step| step.gang))
    }

    /// Jobs with a task that crashes its workers.
    #[allow(dead_code)] // Not all tests that share this module use it.
    pub(crate) fn deadly_jobs(&self) -> BTreeSet<JobId> {
        self.deadly.keys().map(|task| task.step.job).collect()
    }
}

impl World {
    /// Lets one task of a submitted job crash each worker that starts it.
    #[allow(dead_code)] // Not all tests that share this module use it.
    pub(crate) fn make_deadly(&mut self, job: JobId, delay: u64) {
        let steps = &self.requests[&job].steps;
        let step = self.now as usize % steps.len();
        let index = self.now as u32 % steps[step].count;
        let step = StepRef { job, occurrence: 0, step: step as u16 };
        self.crashes.deadly.insert(TaskRef { step, index }, delay);
    }

    #[allow(dead_code)] // Not all tests that share this module use it.
    pub(crate) fn resize_worker(&mut self, w: usize, cpu: u64) {
        eprintln!("{} resize w{w} to {cpu}", self.now);
        let (now, capacity) = (self.now, self.workers[w].capacity);
        self.workers[w].set_capacity(ResourceVector { cpu, ..capacity }, now);
    }

    /// The host that gets a worker's heartbeat: any, or one that answers, if there is one.
    pub(super) fn host_for_heartbeat(&mut self) -> usize {
        let any = self.any_of_group();
        if let Some(host) = self.heartbeat_host {
            return host;
        }
        let answers = |i: &usize| self.is_running(*i) && !self.cut.contains(i);
        match self.crashes.repeats_heartbeats && !answers(&any) {
            true => self.group.iter().copied().find(answers).unwrap_or(any),
            false => any,
        }
    }

    pub(super) fn plan_crash(&mut self, w: usize, task: TaskRef, run: RunNumber) {
        if let Some(delay) = self.crashes.deadly.get(&task).copied() {
            let born = self.workers[w].born;
            self.after(delay, Event::Crash(w, born, task, run));
        }
    }

    pub(super) fn crash_by_run(&mut self, w: usize, born: u64, task: TaskRef, run: RunNumber) {
        let worker = &self.workers[w];
        if worker.up && worker.born == born && worker.runs.contains_key(&(task, run)) {
            self.crash_worker(w);
            self.after(self.crashes.away, Event::Restart(w));
        }
    }

    /// What a host knows of the crashes under a task.
    #[allow(dead_code)] // Not all tests that share this module use it.
    pub(crate) fn known_crashes(&self, host: usize, task: TaskRef) -> Option<TaskCrashes> {
        let state = self.hosts[host].node.as_ref().and_then(Node::state)?;
        Some(state.task_crashes(task))
    }

    pub(crate) fn crash_worker(&mut self, i: usize) {
        let running: Vec<TaskRef> = self.workers[i].runs.keys().map(|(task, _)| *task).collect();
        eprintln!("{} crash w{i} with {running:?}", self.now);
        for task in running {
            *self.crashes.under.entry(task).or_default() += 1;
        }
        self.workers[i].up = false;
        self.workers[i].runs.clear();
    }

    /// Lets a worker say that it drains.
    pub(crate) fn drain_worker(&mut self, i: usize) {
        self.draining.insert(i);
        self.register(i);
    }

    /// Sends the goodbye of a worker to a host, where it is read after `held_up` ms.
    pub(crate) fn say_goodbye(&mut self, i: usize, host: usize, held_up: u64) {
        let worker = self.workers[i].name.clone();
        self.after(held_up, Event::Call(host, Box::new(Call::Leave { worker })));
    }

    /// Ends a worker that leaves as planned. For the hosts that is a crash, unless they have
    /// acknowledged that it drains.
    pub(crate) fn end_worker(&mut self, i: usize) {
        if !self.drain_acknowledged.contains(&i) {
            return self.crash_worker(i);
        }
        eprintln!("{} end w{i}", self.now);
        self.workers[i].up = false;
        self.workers[i].runs.clear();
    }

    /// Starts a worker that has ended again after `away` ms.
    pub(crate) fn return_worker(&mut self, i: usize, away: u64) {
        self.after(away, Event::Restart(i));
    }

    pub(crate) fn restart_worker(&mut self, i: usize) {
        let clock_rate = self.rng.u64(980..=1_000);
        let name = match self.crashes.renames {
            true => format!("w{i}.{}x", self.now),
            false => self.workers[i].name.clone(),
        };
        eprintln!("{} restart {name}", self.now);
        self.draining.remove(&i);
        self.drain_acknowledged.remove(&i);
        self.workers[i] = Worker::new(&name, self.now, clock_rate);
        if self.crashes.renames {
            self.register(i);
        }
    }
}
