//! The replicated state of a zone, and how each command changes it.

use crate::command::{Effects, EndedRun, InjectedBug, Reply, RunEnd, WorkerSpec, ZoneCommand};
use crate::crashes::Losses;
use crate::job::{Job, JobStatus, Run};
use crate::record::{Owner, Record, RecordAnswer, RecordPhase, StoredOutcome};
use crate::worker::{Worker, WorkerStatus};
use serde::{Deserialize, Serialize};
use types::{
    Fence, Incarnation, JobClass, JobId, JobKey, JobSpec, Refusal, RefusalKind, Resources,
    SortedMap, TaskOutcome, TeamName, TeamQuota, Timestamp, Version, WorkerId,
};

/// The replicated state of one availability zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneState {
    pub(crate) workers: SortedMap<WorkerId, Worker>,
    pub(crate) jobs: SortedMap<JobId, Box<Job>>,
    pub(crate) names: SortedMap<JobKey, JobId>,
    pub(crate) runs: SortedMap<Fence, Box<Run>>,
    pub(crate) records: SortedMap<String, Box<Record>>,
    pub(crate) quotas: SortedMap<TeamName, TeamQuota>,
    pub(crate) release: Version,
    pub(crate) last_job: JobId,
    pub(crate) last_fence: Fence,
    /// Last, since snapshots of earlier releases end before it.
    pub(crate) losses: Losses,
    #[serde(skip)]
    pub(crate) injected_bug: InjectedBug,
}

impl ZoneState {
    /// Creates an empty zone with an injected bug, for tests.
    pub fn with_injected_bug(injected_bug: InjectedBug) -> ZoneState {
        ZoneState { injected_bug, ..ZoneState::default() }
    }

    /// Injects a bug, for tests.
    pub fn inject_bug(&mut self, injected_bug: InjectedBug) {
        self.injected_bug = injected_bug;
    }

    /// All workers, including lost ones until they are trimmed.
    pub fn workers(&self) -> &SortedMap<WorkerId, Worker> {
        &self.workers
    }

    /// All jobs, including ended ones until they are trimmed.
    pub fn jobs(&self) -> &SortedMap<JobId, Box<Job>> {
        &self.jobs
    }

    /// All live runs.
    pub fn runs(&self) -> &SortedMap<Fence, Box<Run>> {
        &self.runs
    }

    /// All idempotency records, by service and key, separated by a slash.
    pub fn records(&self) -> &SortedMap<String, Box<Record>> {
        &self.records
    }

    /// Team quotas of the adopted release.
    pub fn quotas(&self) -> &SortedMap<TeamName, TeamQuota> {
        &self.quotas
    }

    /// The release that was adopted last.
    pub fn release(&self) -> Version {
        self.release
    }

    /// The latest job with this team and name.
    pub fn find_job(&self, key: &JobKey) -> Option<(JobId, &Job)> {
        let id = *self.names.get(key)?;
        Some((id, self.jobs.get(&id)?))
    }

    /// Total capacity of all workers that are not lost.
    pub fn capacity(&self) -> Resources {
        let present = self.workers.values().filter(|w| w.status() != WorkerStatus::Lost);
        present.fold(Resources::default(), |sum, w| sum.checked_add(&w.capacity).unwrap_or(sum))
    }

    /// Applies a committed command. Returns the reply for its proposer and what changed.
    pub fn apply(&mut self, command: ZoneCommand) -> (Reply, Effects) {
        let mut effects = Effects::default();
        let reply = match command {
            ZoneCommand::Register { spec, at } => {
                let first = spec.incarnation;
                self.register(spec, first, at, &mut effects)
            }
            ZoneCommand::RegisterAgain { spec, first, at } => {
                self.register(spec, first, at, &mut effects)
            }
            ZoneCommand::WorkerLost { worker, incarnation, at } => {
                self.lose_worker(&worker, incarnation, at, &mut effects)
            }
            ZoneCommand::Drain { worker, draining } => self.drain(worker, draining, &mut effects),
            ZoneCommand::Submit { spec, at } => self.submit(spec, at, &mut effects),
            ZoneCommand::Cancel { job, at } => self.cancel_named(&job, at, &mut effects),
            ZoneCommand::Adopt { base, version, jobs, withdrawn, quotas, at } => {
                self.adopt(base, version, quotas, &mut effects, |zone, effects| {
                    withdrawn.iter().for_each(|id| zone.withdraw(*id, at, effects));
                    jobs.into_iter().for_each(|job| zone.apply_declared(job, at, effects));
                })
            }
            ZoneCommand::Place { placements, at } => self.place(&placements, at, &mut effects),
            ZoneCommand::Stop { fences } => {
                fences.iter().for_each(|fence| self.stop(*fence, &mut effects));
                Reply::Done
            }
            ZoneCommand::End { worker, ends, at } => {
                ends.iter().for_each(|end| self.end_run(&worker, *end, at, &mut effects));
                Reply::Done
            }
            ZoneCommand::MarkLate { job } => self.mark_late(job),
            ZoneCommand::RecordBegin { key, digest, owner, at } => {
                self.begin_record(key, digest, owner, at)
            }
            ZoneCommand::RecordFinish { key, owner, outcome, at } => {
                self.finish_record(key, owner, outcome, at)
            }
            ZoneCommand::Trim { before, records_before } => {
                self.trim(before, records_before, &mut effects)
            }
        };
        (reply, effects)
    }

    fn register(
        &mut self,
        spec: WorkerSpec,
        first: Incarnation,
        at: Timestamp,
        effects: &mut Effects,
    ) -> Reply {
        let WorkerSpec { worker: id, rack, capacity, incarnation } = spec;
        effects.workers.push(id.clone());
        let Some(worker) = self.workers.get(&id) else {
            self.workers.insert(id, Worker::new(rack, capacity, incarnation));
            return Reply::Done;
        };
        if incarnation < worker.incarnation {
            let message = format!(
                "incarnation: {incarnation} of worker `{id}` is over; it is in {}",
                worker.incarnation
            );
            return Reply::Refused(Refusal::new(RefusalKind::Conflict, message));
        }
        if incarnation == worker.incarnation {
            if worker.status() == WorkerStatus::Lost {
                let message =
                    format!("incarnation: {incarnation} of `{id}` was lost; start another");
                return Reply::Refused(Refusal::new(RefusalKind::Conflict, message));
            }
            let worker = self.workers.get_mut(&id).expect("looked up above");
            worker.capacity = capacity;
            return Reply::Done;
        }
        // The runs of the previous incarnation did not survive.
        let (running, planned) = (self.tasks_on(&id), worker.draining);
        let lives_on = first <= worker.incarnation;
        self.lose_runs(&id, at, effects);
        if planned || lives_on {
            self.forget_silence(&id);
        } else {
            self.record_crash(&id, running, at, effects);
        }
        let worker = self.workers.get_mut(&id).expect("looked up above");
        worker.start_incarnation(rack, capacity, incarnation);
        Reply::Done
    }

    fn lose_worker(
        &mut self,
        id: &WorkerId,
        incarnation: Incarnation,
        at: Timestamp,
        effects: &mut Effects,
    ) -> Reply {
        let current = self.workers.get(id).is_some_and(|w| w.incarnation == incarnation);
        if !current {
            return Reply::Done;
        }
        effects.workers.push(id.clone());
        let running = self.tasks_on(id);
        self.lose_runs(id, at, effects);
        self.record_silence(id, running, at);
        let worker = self.workers.get_mut(id).expect("looked up above");
        worker.lost_at = Some(at);
        Reply::Done
    }

    /// Removes all runs from a worker. Their progress is unknown, so repeatable tasks are queued
    /// again and unrepeatable ones count as `unknown`.
    fn lose_runs(&mut self, id: &WorkerId, at: Timestamp, effects: &mut Effects) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let fences = std::mem::take(&mut worker.runs);
        worker.used = Resources::default();
        for fence in fences {
            let Some(run) = self.runs.remove(&fence) else { continue };
            effects.ended.push(EndedRun { fence, job: run.job, took: None });
            let Some(job) = self.jobs.get_mut(&run.job) else { continue };
            job.runs.retain(|f| *f != fence);
            let may_repeat =
                !job.spec.unrepeatable || self.injected_bug == InjectedBug::RepeatUnrepeatable;
            if may_repeat {
                job.requeue(run.index);
            } else {
                job.unknown += 1;
            }
            self.stop_sibling_runs(run.job, effects);
            self.on_run_removed(run.job, at, effects);
        }
    }

    fn drain(&mut self, id: WorkerId, draining: bool, effects: &mut Effects) -> Reply {
        let Some(worker) = self.workers.get_mut(&id) else {
            return not_found(format!("worker `{id}` does not exist"));
        };
        worker.draining = draining;
        effects.workers.push(id);
        Reply::Done
    }

    fn submit(&mut self, spec: JobSpec, at: Timestamp, effects: &mut Effects) -> Reply {
        if let Err(cause) = spec.check() {
            return Reply::Refused(Refusal::new(RefusalKind::BadInput, cause));
        }
        if let Some((id, job)) = self.find_job(&spec.key()) {
            if job.spec == spec {
                return Reply::Job(id);
            }
            let message = format!("name: job `{}` exists with another spec", spec.key());
            return Reply::Refused(Refusal::new(RefusalKind::Conflict, message));
        }
        Reply::Job(self.add_job(spec, None, at, effects))
    }

    pub(crate) fn add_job(
        &mut self,
        spec: JobSpec,
        added: Option<Version>,
        at: Timestamp,
        effects: &mut Effects,
    ) -> JobId {
        self.last_job += 1;
        let id = self.last_job;
        self.names.insert(spec.key(), id);
        self.jobs.insert(id, Box::new(Job::new(spec, added, at)));
        effects.jobs.push(id);
        id
    }

    fn cancel_named(&mut self, key: &JobKey, at: Timestamp, effects: &mut Effects) -> Reply {
        let Some(id) = self.names.get(key).copied() else {
            return not_found(format!(
                "job `{key}` does not exist; one that is still being submitted is not cancelled"
            ));
        };
        if let Some(version) = self.jobs.get(&id).and_then(|job| job.added) {
            let message =
                format!("job `{key}` is declared by release {version}; withdraw it there");
            return Reply::Refused(Refusal::new(RefusalKind::Conflict, message));
        }
        self.cancel(id, at, effects);
        Reply::Job(id)
    }

    pub(crate) fn cancel(&mut self, id: JobId, at: Timestamp, effects: &mut Effects) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.is_over() {
            return;
        }
        job.end(JobStatus::Cancelled, at);
        for fence in job.runs.clone() {
            self.stop(fence, effects);
        }
        effects.jobs.push(id);
    }

    pub(crate) fn stop(&mut self, fence: Fence, effects: &mut Effects) {
        if let Some(run) = self.runs.get_mut(&fence) {
            run.stopping = true;
            effects.stopped.push(fence);
            effects.workers.push(run.worker.clone());
        }
    }

    fn end_run(&mut self, by: &WorkerId, end: RunEnd, at: Timestamp, effects: &mut Effects) {
        // An unknown run has already ended; its worker resent the report.
        if self.runs.get(&end.fence).is_none_or(|run| run.worker != *by) {
            return;
        }
        let run = self.runs.remove(&end.fence).expect("looked up above");
        let took = at.saturating_sub(run.placed);
        let took = (end.outcome == TaskOutcome::Succeeded).then_some(took);
        effects.ended.push(EndedRun { fence: end.fence, job: run.job, took });
        effects.workers.push(run.worker.clone());
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.runs.retain(|f| *f != end.fence);
            worker.used = worker.used.saturating_sub(&run.resources);
        }
        if let Some(job) = self.jobs.get_mut(&run.job) {
            job.runs.retain(|f| *f != end.fence);
        }
        match end.outcome {
            TaskOutcome::Succeeded => self.on_run_succeeded(&run),
            TaskOutcome::Failed => self.on_run_failed(&run, at, effects),
            TaskOutcome::Stopped => self.on_run_stopped(&run, effects),
        }
        self.on_run_removed(run.job, at, effects);
    }

    fn on_run_succeeded(&mut self, run: &Run) {
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.record_success();
        }
        self.forget_losses(run.job, run.index);
        let Some(job) = self.jobs.get_mut(&run.job) else { return };
        job.record_success();
        if job.spec.class == JobClass::Service {
            job.requeue(run.index);
        } else {
            job.succeeded += 1;
        }
    }

    fn on_run_failed(&mut self, run: &Run, at: Timestamp, effects: &mut Effects) {
        let Some(job) = self.jobs.get_mut(&run.job) else { return };
        let is_service = job.spec.class == JobClass::Service;
        if job.spec.unrepeatable {
            job.failed += 1;
        } else {
            job.requeue(run.index);
            job.record_failure(&run.worker, at, is_service);
        }
        let discounted = match self.workers.get_mut(&run.worker) {
            Some(worker) => worker.record_failure(run.job, at),
            None => Vec::new(),
        };
        for id in discounted {
            effects.jobs.push(id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.discount_failure_on(&run.worker);
            }
        }
        self.stop_sibling_runs(run.job, effects);
    }

    fn on_run_stopped(&mut self, run: &Run, effects: &mut Effects) {
        let Some(job) = self.jobs.get_mut(&run.job) else { return };
        if job.spec.unrepeatable && !job.is_over() {
            job.unknown += 1;
        } else {
            job.requeue(run.index);
        }
        self.stop_sibling_runs(run.job, effects);
    }

    /// Stops all remaining runs of an all-at-once job after one of its runs ended, because its
    /// tasks can only start together. Does nothing for other classes.
    fn stop_sibling_runs(&mut self, id: JobId, effects: &mut Effects) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.spec.class == JobClass::AllAtOnce {
            for fence in job.runs.clone() {
                self.stop(fence, effects);
            }
        }
    }

    /// Updates a job after one of its runs was removed: the job may have ended, and a successor
    /// of the same name may now start.
    fn on_run_removed(&mut self, id: JobId, at: Timestamp, effects: &mut Effects) {
        effects.jobs.push(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.end_if_finished(at);
        if job.is_over() && job.runs.is_empty() {
            effects.jobs.extend(self.names.get(&job.spec.key()));
        }
    }

    /// Whether an earlier job of the same name still has runs. No task of `job` may start then.
    pub fn waits_for_predecessor(&self, job: &Job) -> bool {
        let mut earlier = job.predecessor.and_then(|id| self.jobs.get(&id));
        while let Some(job) = earlier {
            if !job.runs.is_empty() {
                return true;
            }
            earlier = job.predecessor.and_then(|id| self.jobs.get(&id));
        }
        false
    }

    fn mark_late(&mut self, id: JobId) -> Reply {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.late = true;
        }
        Reply::Done
    }

    fn begin_record(&mut self, key: String, digest: String, owner: Owner, at: Timestamp) -> Reply {
        if let Some(record) = self.records.get(&key) {
            if record.digest != digest {
                let message = "idempotency key: came before with another request";
                return Reply::Refused(Refusal::new(RefusalKind::KeyReused, message));
            }
            let answer = match &record.phase {
                RecordPhase::Finished(outcome) => RecordAnswer::Finished(outcome.clone()),
                RecordPhase::Begun if record.owner == owner => RecordAnswer::Acquired,
                RecordPhase::Begun if self.injected_bug == InjectedBug::RestartRecords => {
                    RecordAnswer::Acquired
                }
                RecordPhase::Begun => RecordAnswer::InProgress(record.owner.clone(), record.at),
            };
            return Reply::Record(answer);
        }
        let record = Record { digest, owner, phase: RecordPhase::Begun, at };
        self.records.insert(key, Box::new(record));
        Reply::Record(RecordAnswer::Acquired)
    }

    fn finish_record(
        &mut self,
        key: String,
        owner: Owner,
        outcome: Option<StoredOutcome>,
        at: Timestamp,
    ) -> Reply {
        let Some(record) = self.records.get_mut(&key) else { return Reply::Done };
        if record.owner != owner || record.phase != RecordPhase::Begun {
            return Reply::Done;
        }
        match outcome {
            Some(outcome) => {
                record.phase = RecordPhase::Finished(outcome);
                record.at = at;
            }
            // The request did not run, so another exchange may still send it.
            None => {
                self.records.remove(&key);
            }
        }
        Reply::Done
    }

    fn trim(
        &mut self,
        before: Timestamp,
        records_before: Timestamp,
        effects: &mut Effects,
    ) -> Reply {
        // A declared job is kept while its release may list it; removing it would run it again.
        let is_expired = |job: &Job| {
            let idle = job.runs.is_empty() && !self.waits_for_predecessor(job);
            job.added.is_none() && idle && job.ended.is_some_and(|at| at < before)
        };
        let old: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| is_expired(j)).map(|(id, _)| *id).collect();
        for id in old {
            self.remove_job(id);
            effects.jobs.push(id);
        }
        self.forget_losses_of_ended();
        self.records.retain(|_, record| record.at >= records_before);
        self.workers.retain(|id, worker| {
            let old = worker.lost_at.is_some_and(|at| at < before);
            if old {
                effects.workers.push(id.clone());
            }
            !old
        });
        Reply::Done
    }

    pub(crate) fn remove_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else { return };
        if self.names.get(&job.spec.key()) == Some(&id) {
            self.names.remove(&job.spec.key());
        }
    }
}

pub(crate) fn not_found(message: String) -> Reply {
    Reply::Refused(Refusal::new(RefusalKind::NotFound, message))
}
