//! What the runs of client accounts use, and the quotas that limit it.
//!
//! Runs count from their placement until they are settled, also while they are being stopped, and
//! so do starts in doubt. Ended jobs are kept as long as their runs count.

use super::State;
use crate::configuration::Configuration;
use crate::job::Job;
use crate::life::Run;
use crate::model::{InDoubtStart, JobRequest, TaskRef};
use accounts::Usage;
use types::{AccountName, JobId, ResourceVector, Timestamp, WorkerId};

impl State {
    /// What the runs of each account use. It is kept only while there are accounts.
    pub fn usage(&self) -> &Usage {
        &self.usage
    }

    /// What the account may still start. An account that is no longer configured keeps its last
    /// quota until its jobs are over.
    pub fn room(&self, account: &AccountName) -> ResourceVector {
        let quota = self.quota(account).copied().unwrap_or_default();
        self.usage.room_under(&quota, account)
    }

    fn quota(&self, account: &AccountName) -> Option<&ResourceVector> {
        let configured = self.configuration.accounts.get(account).map(|account| &account.quota);
        configured.or_else(|| self.former_quotas.get(account))
    }

    /// The first step of which not even one task, or the whole gang, fits under the account's quota.
    pub(super) fn step_beyond_quota<'a>(
        &self,
        account: Option<&'a AccountName>,
        request: &JobRequest,
    ) -> Option<(&'a AccountName, u16)> {
        let account = account?;
        let quota = self.quota(account)?;
        let all = Usage::default().room_under(quota, account);
        let at_once = |gang: bool, count: u32| if gang { count } else { 1 };
        let mut steps = request.steps.iter();
        let beyond = steps
            .position(|step| !step.charge().times(at_once(step.gang, step.count)).fits_in(&all))?;
        Some((account, u16::try_from(beyond).unwrap_or(u16::MAX)))
    }

    /// Keeps the quotas of accounts that a new configuration drops while their jobs are not over.
    pub(super) fn keep_former_quotas(&mut self, new: &Configuration) {
        let mut quotas = std::mem::take(&mut self.former_quotas);
        for account in self.configuration.accounts.iter() {
            quotas.insert(account.name.clone(), account.quota);
        }
        let open = self.jobs.values().filter(|job| !job.phase.is_over());
        let mut owners: Vec<&AccountName> = open.filter_map(|job| job.account.as_ref()).collect();
        owners.sort_unstable();
        owners.dedup();
        quotas.retain(|account, _| {
            new.accounts.get(account).is_none() && owners.binary_search(&account).is_ok()
        });
        self.former_quotas = quotas;
    }

    /// Adds starts in doubt, with what the tasks would use.
    pub(super) fn starts_in_doubt(
        &mut self,
        worker: &WorkerId,
        tasks: Vec<TaskRef>,
        at: Timestamp,
    ) {
        for task in tasks {
            let need = self.need_of(worker, task);
            self.in_doubt.push(InDoubtStart { worker: worker.clone(), task, at, need });
        }
        self.recount_usage();
    }

    /// What a task uses, by its job or, if that is over, by its run on the worker.
    fn need_of(&self, worker: &WorkerId, task: TaskRef) -> ResourceVector {
        let by_job = self.spec(task.step).map(|spec| spec.charge());
        let by_run = || {
            let lives = self.lives().filter(|life| life.info.worker == *worker);
            let mut runs = lives.flat_map(|life| &life.runs);
            runs.find(|run| run.task == task).map(|run| run.need)
        };
        by_job.or_else(by_run).unwrap_or_default()
    }

    /// Counts runs of a job that was trimmed before the same id was submitted again.
    pub(super) fn charge_earlier_runs(&mut self, id: JobId) {
        let of_job = |task: TaskRef| task.step.job == id;
        let has_runs = self.lives().any(|life| life.runs.iter().any(|run| of_job(run.task)));
        if has_runs || self.in_doubt.iter().any(|start| of_job(start.task)) {
            self.recount_usage();
        }
    }

    /// Subtracts what a run used that has been removed from its life.
    pub(super) fn release_use(&mut self, run: &Run) {
        let job = self.jobs.get(&run.task.step.job);
        if let Some(account) = job.and_then(|job| job.account.as_ref()) {
            self.usage.release(account, &run.need);
        }
    }

    /// Ids of the jobs with runs or starts in doubt, sorted.
    pub(super) fn charged_jobs(&self) -> Vec<JobId> {
        let runs = self.lives().flat_map(|life| &life.runs).map(|run| run.task);
        let tasks = runs.chain(self.in_doubt.iter().map(|start| start.task));
        let mut jobs: Vec<JobId> = tasks.map(|task| task.step.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    /// Counts anew what the runs of each account use.
    pub(super) fn recount_usage(&mut self) {
        let mut usage = Usage::default();
        if !self.configuration.accounts.is_empty() || !self.former_quotas.is_empty() {
            for (task, need) in self.charged_tasks() {
                let job = self.job(task.step.job);
                if let Some(account) = job.and_then(|job| job.account.as_ref()) {
                    usage.take(account, &need);
                }
            }
        }
        self.usage = usage;
    }

    /// Tasks of all runs and starts in doubt, with what they use. A worker starts a task only once,
    /// however many lives of it may do so.
    fn charged_tasks(&self) -> Vec<(TaskRef, ResourceVector)> {
        let runs = self.lives().flat_map(|life| &life.runs).map(|run| (run.task, run.need));
        let mut in_doubt: Vec<&InDoubtStart> = self.in_doubt.iter().collect();
        in_doubt.sort_unstable_by_key(|start| (&start.worker, start.task));
        in_doubt.dedup_by_key(|start| (&start.worker, start.task));
        runs.chain(in_doubt.into_iter().map(|start| (start.task, start.need))).collect()
    }

    /// This state with its use and size counted, after it was decoded.
    pub(crate) fn recounted(mut self) -> State {
        self.recount_usage();
        self.stored = self.jobs().map(Job::footprint).sum();
        self
    }
}
