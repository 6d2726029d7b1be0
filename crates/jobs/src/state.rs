//! The replicated state and the application of commands to it.

mod crashes;
mod ends;
pub(crate) mod legacy;
mod submissions;
mod usage;

use crate::command::{Command, Effect, Reply};
use crate::configuration::{Configuration, QueueAddress, QueuePolicy, UnknownKey};
use crate::crashes::CrashRecords;
use crate::footprint::Footprint;
use crate::job::{Job, Phase, Progress};
use crate::life::{Life, Run, WorkerInfo};
use crate::model::{InDoubtStart, LifeId, Placement, QueueId, StepRef, TaskRef};
use crate::withdrawn::Withdrawn;
use accounts::{KeyDigest, Rates, Usage};
use runtimes::Learned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use submissions::Submission;
use types::{AccountName, JobId, ResourceVector, SortedMap};

/// A queue that is or was configured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Queue {
    address: QueueAddress,
    /// The latest policy. It stays in force for existing jobs when the queue is removed from the
    /// configuration.
    policy: QueuePolicy,
    /// Whether the queue is in the current configuration and accepts new jobs.
    open: bool,
}

/// The replicated state. Change it only through [`State::apply`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    configuration: Arc<Configuration>,
    queues: Vec<Queue>,
    jobs: SortedMap<JobId, Box<Job>>,
    lives: SortedMap<LifeId, Box<Life>>,
    last_life: LifeId,
    in_doubt: Vec<InDoubtStart>,
    crashes: CrashRecords,
    rates: Rates,
    /// Quotas of accounts that are no longer configured and whose jobs are not over.
    former_quotas: SortedMap<AccountName, ResourceVector>,
    /// Run times and speeds learned from finished runs.
    learned: Learned,
    /// Ids that were cancelled without a job.
    withdrawn: Withdrawn,
    /// What all jobs take. Not part of snapshots: it follows from the rest.
    #[serde(skip)]
    stored: Footprint,
    /// What the runs of each account use. Not part of snapshots: it follows from the rest.
    #[serde(skip)]
    usage: Usage,
}

impl State {
    /// The current configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// A job by id. Includes jobs that are over and not yet trimmed.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id).map(|job| &**job)
    }

    /// All jobs, ordered by id.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().map(|job| &**job)
    }

    /// A worker's life by id; `None` once it has ended.
    pub fn life(&self, id: LifeId) -> Option<&Life> {
        self.lives.get(&id).map(|life| &**life)
    }

    /// All lives that have not ended, ordered by id.
    pub fn lives(&self) -> impl Iterator<Item = &Life> {
        self.lives.values().map(|life| &**life)
    }

    /// Tasks that a worker may still start because of an order to a life that has ended.
    pub fn in_doubt_starts(&self) -> &[InDoubtStart] {
        &self.in_doubt
    }

    /// What is known about run times and the speeds of workers.
    pub fn learned(&self) -> &Learned {
        &self.learned
    }

    /// The life with this worker name and start time.
    pub fn find_life(&self, worker: &str, born: u64) -> Option<&Life> {
        self.lives().find(|life| life.info.worker == worker && life.info.born == born)
    }

    /// Number of queues that are or were configured; their ids are below it.
    pub fn queues(&self) -> QueueId {
        self.queues.len() as QueueId
    }

    /// The latest policy of a queue.
    pub fn policy(&self, queue: QueueId) -> &QueuePolicy {
        &self.queues[queue as usize].policy
    }

    /// The address of a queue.
    pub fn address(&self, queue: QueueId) -> &QueueAddress {
        &self.queues[queue as usize].address
    }

    /// The queue at an address; `None` if there is none that accepts new jobs.
    pub fn open_queue(&self, address: &QueueAddress) -> Option<QueueId> {
        let i = self.queues.iter().position(|queue| queue.open && queue.address == *address)?;
        QueueId::try_from(i).ok()
    }

    /// The queue at an address, also one that accepts no new jobs.
    fn queue_at(&self, address: &QueueAddress) -> Option<QueueId> {
        let i = self.queues.iter().position(|queue| queue.address == *address)?;
        QueueId::try_from(i).ok()
    }

    /// The account of a caller of the queue who has this key, by the current configuration.
    pub fn caller(
        &self,
        queue: QueueId,
        key: Option<&KeyDigest>,
    ) -> Result<Option<AccountName>, UnknownKey> {
        let account = self.configuration.caller(self.policy(queue), key)?;
        Ok(account.map(|account| account.name.clone()))
    }

    /// The rates at which the accounts submit jobs.
    pub fn rates(&self) -> &Rates {
        &self.rates
    }

    /// The specification of a step; `None` once the job is over.
    pub fn spec(&self, step: StepRef) -> Option<&crate::StepSpec> {
        let request = self.jobs.get(&step.job)?.request.as_ref()?;
        request.steps.get(usize::from(step.step))
    }

    /// Applies a command. The effects are in the order in which they happened.
    pub fn apply(&mut self, command: Command) -> (Reply, Vec<Effect>) {
        let mut effects = Vec::new();
        let reply = match command {
            Command::Configure { configuration } => self.configure(*configuration, &mut effects),
            Command::Submit { id, queue, request, at, key, room } => {
                let submission = Submission { id, at, key, room };
                self.submit(submission, &queue, *request, &mut effects)
            }
            Command::Cancel { id, key, at, queue } => {
                self.cancel(id, queue.as_ref(), key, at, &mut effects)
            }
            Command::OpenOccurrences { id, upto } => self.open_occurrences(id, upto, &mut effects),
            Command::Place { placements } => {
                for placement in placements {
                    self.place(&placement, &mut effects);
                }
                Reply::Done
            }
            Command::Ended { life, ends, at } => {
                for end in ends {
                    self.record_end(life, end, at, &mut effects);
                }
                if let Some(life) = self.life(life) {
                    effects.push(Effect::EndsRecorded { life: life.id, upto: life.last_seen });
                }
                Reply::Done
            }
            Command::Lost { life, runs } => {
                for (task, run) in runs {
                    self.release_lost_run(life, task, run, &mut effects);
                }
                Reply::Done
            }
            Command::UpdateWorker { info } => self.update_worker(info, &mut effects),
            Command::LifeOver { life } => {
                self.life_over(life, &mut effects);
                Reply::Done
            }
            Command::IdleLifeOver { life } => {
                if self.life(life).is_some_and(|life| life.runs.is_empty()) {
                    self.life_over(life, &mut effects);
                }
                Reply::Done
            }
            Command::StartsInDoubt { worker, tasks, at } => {
                self.starts_in_doubt(&worker, tasks, at);
                Reply::Done
            }
            Command::StartsResolved { worker, upto } => {
                self.in_doubt.retain(|start| start.worker != worker || start.at > upto);
                self.recount_usage();
                Reply::Done
            }
            Command::TrimJobs { before } => {
                self.trim_jobs(before);
                Reply::Done
            }
            Command::WorkerCrashed { life, runs, at } => {
                self.worker_crashed(life, runs, at, &mut effects);
                Reply::Done
            }
            Command::WorkerSilent { life, tasks } => {
                self.worker_silent(life, tasks);
                Reply::Done
            }
            Command::WorkerAnswered { life } => {
                self.crashes.silent.remove(&life);
                Reply::Done
            }
            Command::Learned { evidence } => {
                self.learned.apply(&evidence);
                Reply::Done
            }
        };
        (reply, effects)
    }

    fn configure(&mut self, configuration: Configuration, effects: &mut Vec<Effect>) -> Reply {
        if configuration.version > self.configuration.version {
            for queue in &mut self.queues {
                queue.open = false;
            }
            let mut known: Vec<usize> = (0..self.queues.len()).collect();
            known.sort_unstable_by(|a, b| self.queues[*a].address.cmp(&self.queues[*b].address));
            for (address, policy) in &configuration.queues {
                let (address, policy) = (address.clone(), policy.clone());
                let queue = Queue { address, policy, open: true };
                match known.binary_search_by(|i| self.queues[*i].address.cmp(&queue.address)) {
                    Ok(i) => self.queues[known[i]] = queue,
                    Err(_) => self.queues.push(queue),
                }
            }
            self.rates.keep(&configuration.accounts);
            self.keep_former_quotas(&configuration);
            self.configuration = Arc::new(configuration);
            self.recount_usage();
            effects.push(Effect::Configured);
        }
        Reply::InForce(self.configuration.version)
    }

    /// Assigns the tasks that can still be assigned and for which the account has room; for a gang
    /// either all tasks or none.
    fn place(&mut self, placement: &Placement, effects: &mut Vec<Effect>) {
        let Placement { step, tasks } = placement;
        let Some(job) = self.jobs.get(&step.job).filter(|job| job.is_ready(*step)) else { return };
        let (Some(request), Some(state)) = (&job.request, job.step(*step)) else { return };
        let spec = &request.steps[usize::from(step.step)];
        let (need, gang, max_per_worker) = (spec.charge(), spec.gang, spec.max_per_worker);
        let service = self.policy(job.queue).service.clone();
        let account = job.account.clone();
        let mut room = account.as_ref().map(|account| self.room(account));
        let is_in_doubt = |index: u32| {
            let task = TaskRef { step: *step, index };
            self.in_doubt.iter().any(|start| start.task == task)
        };
        let waits = |index: &u32| {
            state.tasks.progress(*index) == Some(Progress::Waiting) && !is_in_doubt(*index)
        };
        let mut valid: Vec<(u32, LifeId)> =
            tasks.iter().filter(|(index, _)| waits(index)).copied().collect();
        valid.sort_unstable();
        valid.dedup_by_key(|(index, _)| *index);
        let gang_run = gang.then(|| state.tasks.last_run() + 1);
        let mut taken: Vec<(u32, LifeId)> = Vec::with_capacity(valid.len());
        for (index, id) in &valid {
            let Some(life) = self.lives.get_mut(id) else { continue };
            if room.is_some_and(|room| !need.fits_in(&room)) {
                break;
            }
            let on_worker = life.runs.iter().filter(|run| run.task.step == *step).count();
            let fits = need.fits_in(&life.free()) && !life.info.draining;
            let below_limit = max_per_worker == 0 || on_worker < max_per_worker as usize;
            if fits && below_limit && life.info.service == service {
                let task = TaskRef { step: *step, index: *index };
                life.add(Run { task, run: 0, need });
                room = room.map(|room| room.minus(&need));
                taken.push((*index, *id));
            }
        }
        let complete = !gang || taken.len() == state.tasks.count() as usize;
        let job = self.jobs.get_mut(&step.job).expect("found above");
        for (index, id) in taken {
            let task_ref = TaskRef { step: *step, index };
            let life = self.lives.get_mut(&id).expect("found above");
            if !complete {
                life.remove(task_ref, 0);
                continue;
            }
            job.phase = Phase::Running;
            let tasks = &mut job.step_mut(*step).expect("found above").tasks;
            let before = tasks.footprint();
            let run = tasks.place(index, id, gang_run);
            self.stored.replace(before, tasks.footprint());
            let placed = life.runs.iter_mut().find(|r| r.task == task_ref && r.run == 0);
            placed.expect("pushed above").run = run;
            if let Some(account) = &account {
                self.usage.take(account, &need);
            }
            effects.push(Effect::Placed { life: id, task: task_ref, run });
        }
    }

    /// Registers or updates a life. A new life ends every earlier one with the same name or
    /// address.
    fn update_worker(&mut self, info: WorkerInfo, effects: &mut Vec<Effect>) -> Reply {
        let same_worker =
            |life: &Life| life.info.worker == info.worker || life.info.addr == info.addr;
        if self.lives().any(|life| same_worker(life) && life.info.born > info.born) {
            return Reply::Done;
        }
        let known = self.find_life(&info.worker, info.born).map(|life| life.id);
        if let Some(id) = known {
            let life = self.lives.get_mut(&id).expect("found above");
            // Draining is final, so a delayed heartbeat must not undo it.
            let draining = life.info.draining || info.draining;
            life.info = WorkerInfo { draining, ..info };
            effects.push(Effect::LifeChanged(id));
            return Reply::Done;
        }
        let earlier: Vec<LifeId> =
            self.lives().filter(|life| same_worker(life)).map(|life| life.id).collect();
        for id in earlier {
            self.life_over(id, effects);
        }
        self.last_life += 1;
        let id = self.last_life;
        self.lives.insert(
            id,
            Box::new(Life {
                id,
                info,
                last_seen: 0,
                runs: Vec::new(),
                used: ResourceVector::default(),
            }),
        );
        effects.push(Effect::LifeChanged(id));
        Reply::Done
    }

    fn life_over(&mut self, id: LifeId, effects: &mut Vec<Effect>) {
        let Some(life) = self.lives.remove(&id) else { return };
        self.crashes.silent.remove(&id);
        effects.push(Effect::LifeOver(id));
        self.recount_usage();
        for Run { task, run, .. } in life.runs {
            self.requeue_task(id, task, run, effects);
        }
    }
}
