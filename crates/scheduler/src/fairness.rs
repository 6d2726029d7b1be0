//! How full the cell is, and how the accounts stand in it, as the leader sees it.

use accounts::{dominant_share, Admission, Backlog, Shares, Standing, Usage, WorkClass};
use jobs::{Job, JobRequest, Placement, ResourceVector, State, StepRef, StepSpec};
use placement::steps::{rank, Rank, Urgency, WorkerCapacity};
use std::time::Duration;
use types::{JobId, SortedMap, Timestamp};

/// The picture is renewed after this time. What an account gets beyond its share before that comes
/// back as its runs end.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Workers count as free for a job if they hold this many times its first tasks: not every worker
/// may run every step.
const ROOM_FACTOR: u64 = 4;

/// The leader's picture of the cell, by account. It stays empty while no accounts are configured.
#[derive(Debug, Default)]
pub(crate) struct Fairness {
    pub(crate) shares: Shares,
    pub(crate) admission: Admission,
    pub(crate) backlog: Backlog,
    /// Capacity of all workers that accept new tasks.
    cell: ResourceVector,
    /// Free capacity of each of them.
    free: Vec<ResourceVector>,
    /// Sum of what all tasks need that wait and are within the rates of their accounts, and of all
    /// that wait.
    waiting_need: [ResourceVector; 2],
    active: bool,
    next_refresh: Timestamp,
}

impl Fairness {
    pub(crate) fn new(now: Timestamp) -> Fairness {
        Fairness { next_refresh: now, ..Fairness::default() }
    }

    /// Whether accounts are configured.
    pub(crate) fn is_active(&self) -> bool {
        self.active
    }

    /// Renews the picture if it is old enough.
    pub(crate) fn refresh(
        &mut self,
        state: &State,
        ready: &SortedMap<StepRef, Urgency>,
        workers: &[WorkerCapacity<'_>],
        now: Timestamp,
    ) {
        let accounts = &state.configuration().accounts;
        self.active = !accounts.is_empty();
        if !self.active || now < self.next_refresh {
            return;
        }
        self.next_refresh = now + REFRESH_INTERVAL;
        let capacities = workers.iter().map(|worker| worker.info.capacity);
        self.cell = capacities.fold(ResourceVector::default(), |sum, each| sum.plus(&each));
        self.free = workers.iter().map(|worker| worker.free).collect();
        let waiting = ready.keys().filter_map(|step| state.job(step.job)?.account.as_deref());
        self.shares = Shares::new(accounts, &usage(state), waiting, &self.cell);
        self.backlog = self.measure_backlog(state, ready, now);
        self.admission.observe(&self.backlog, now);
    }

    /// How a job's account stands beside others.
    pub(crate) fn standing(&self, state: &State, job: JobId) -> Standing {
        if !self.active {
            return Standing::default();
        }
        let Some(job) = state.job(job) else { return Standing::default() };
        Standing { over_rate: job.over_rate, ..self.shares.standing(job.account.as_deref()) }
    }

    /// Records work that a pass gives to workers.
    pub(crate) fn record_placed(&mut self, state: &State, placements: &[Placement]) {
        if !self.active {
            return;
        }
        for Placement { step, tasks } in placements {
            let work = state.spec(*step).map_or(0.0, |spec| self.work(spec, tasks.len() as u32));
            self.admission.record_placed(work);
        }
    }

    /// Records a job that was accepted.
    pub(crate) fn record_accepted(&mut self, state: &State, job: &Job, now: Timestamp) {
        if let Some(request) = job.request.as_ref().filter(|_| self.active) {
            let (work, priority) = (self.work_of(request), state.policy(job.queue).priority);
            self.admission.record_accepted(job.over_rate, priority, work, now);
        }
    }

    /// Whether free workers hold what waits before a job, and several times the tasks that it
    /// starts with.
    pub(crate) fn has_room(&self, request: &JobRequest, over_rate: bool) -> bool {
        let free = self.free.iter().fold(ResourceVector::default(), |sum, each| sum.plus(each));
        if !self.waiting_need[usize::from(over_rate)].fits_in(&free) {
            return false;
        }
        let mut first = request.steps.iter().filter(|spec| spec.after.is_empty());
        first.all(|spec| {
            let need = spec.charge();
            let slots = self.free.iter().map(|free| u64::from(need.count_in(free)));
            slots.sum::<u64>() >= u64::from(spec.count) * ROOM_FACTOR
        })
    }

    fn measure_backlog(
        &mut self,
        state: &State,
        ready: &SortedMap<StepRef, Urgency>,
        now: Timestamp,
    ) -> Backlog {
        let mut backlog = Backlog::default();
        self.waiting_need = [ResourceVector::default(); 2];
        for (step, urgency) in ready.iter() {
            let (Some(job), Some(spec)) = (state.job(step.job), state.spec(*step)) else {
                continue;
            };
            let waiting = job.step(*step).map_or(0, |progress| progress.tasks.waiting_count());
            let rank = rank(urgency, &self.standing(state, step.job), now);
            let class = work_class(&rank);
            backlog.add(class, job.account.as_ref(), self.work(spec, waiting));
            let need = spec.charge().times(waiting);
            let counted = usize::from(rank.yields());
            for sum in &mut self.waiting_need[counted..] {
                *sum = sum.plus(&need);
            }
        }
        backlog
    }

    /// Work of a whole job, in cell-seconds.
    fn work_of(&self, request: &JobRequest) -> f64 {
        request.steps.iter().map(|spec| self.work(spec, spec.count)).sum()
    }

    /// Work of some tasks of a step: the time that the whole cell would need for it, in seconds.
    fn work(&self, spec: &StepSpec, tasks: u32) -> f64 {
        if spec.long_running || self.cell == ResourceVector::default() {
            return 0.0;
        }
        let share = dominant_share(&spec.charge(), &self.cell);
        f64::from(tasks) * share * spec.estimate.as_secs_f64()
    }
}

fn work_class(rank: &Rank) -> WorkClass {
    let Rank { worthless, over_rate, late, priority, .. } = *rank;
    WorkClass { worthless, over_rate, late, priority }
}

/// What the runs of each account use.
fn usage(state: &State) -> Usage {
    let mut usage = Usage::default();
    for run in state.lives().flat_map(|life| &life.runs) {
        let job = state.job(run.task.step.job);
        if let Some(account) = job.and_then(|job| job.account.as_ref()) {
            usage.take(account, &run.need);
        }
    }
    usage
}
