//! Acceptance, cancellation and removal of jobs.

use super::ends::end_job;
use super::State;
use crate::command::{Effect, Reply};
use crate::configuration::QueueAddress;
use crate::job::{Job, Occurrence, Phase};
use crate::model::JobRequest;
use accounts::KeyDigest;
use types::{JobId, Timestamp};

impl State {
    pub(super) fn submit(
        &mut self,
        id: JobId,
        queue: &QueueAddress,
        request: JobRequest,
        at: Timestamp,
        key: Option<KeyDigest>,
        effects: &mut Vec<Effect>,
    ) -> Reply {
        let known = self.jobs.get(&id);
        let queue = known.map(|job| job.queue).or_else(|| self.open_queue(queue));
        let Some(queue) = queue else { return Reply::NotFound };
        let Ok(account) = self.caller(queue, key.as_ref()) else { return Reply::UnknownKey };
        if let Some(job) = known {
            return if job.account == account { Reply::Done } else { Reply::IdTaken };
        }
        if let Some((account, step)) = self.step_beyond_quota(account.as_ref(), &request) {
            effects.push(Effect::BeyondQuota { job: id, step, account: account.clone() });
            return Reply::BeyondQuota(step);
        }
        let scheduled = request.schedule.is_some();
        let mut job = Job::new(id, queue, account, request, at);
        let account = job.account.as_deref();
        let account = account.and_then(|name| self.configuration.accounts.get(name));
        job.over_rate = account.is_some_and(|account| !self.rates.count(account, at));
        self.jobs.insert(id, Box::new(job));
        self.charge_earlier_runs(id);
        effects.push(Effect::Accepted(id));
        if !scheduled {
            self.open_occurrences(id, 1, effects);
        }
        Reply::Done
    }

    pub(super) fn open_occurrences(
        &mut self,
        id: JobId,
        upto: u32,
        effects: &mut Vec<Effect>,
    ) -> Reply {
        let Some(job) = self.jobs.get_mut(&id) else { return Reply::NotFound };
        let Some(request) = job.request.clone().filter(|_| !job.phase.is_over()) else {
            return Reply::Done;
        };
        while job.opened < upto.min(job.times()) {
            let occurrence = job.opened;
            job.opened += 1;
            job.occurrences.insert(occurrence, Occurrence::new(&request));
            let ready = job.steps_ready().filter(|step| step.occurrence == occurrence);
            effects.extend(ready.map(Effect::Ready));
        }
        Reply::Done
    }

    pub(super) fn cancel(
        &mut self,
        id: JobId,
        key: Option<KeyDigest>,
        at: Timestamp,
        effects: &mut Vec<Effect>,
    ) -> Reply {
        let Some(queue) = self.jobs.get(&id).map(|job| job.queue) else { return Reply::NotFound };
        let Ok(account) = self.caller(queue, key.as_ref()) else { return Reply::UnknownKey };
        let job = self.jobs.get_mut(&id).filter(|job| job.account == account);
        let Some(job) = job else { return Reply::NotFound };
        if !job.phase.is_over() {
            end_job(job, Phase::Cancelled, at, effects);
        }
        Reply::Done
    }

    /// Removes jobs that ended before this time, but those whose use still counts for an account.
    pub(super) fn trim_jobs(&mut self, before: Timestamp) {
        let charged = self.charged_jobs();
        let kept = |job: &Job| job.account.is_some() && charged.binary_search(&job.id).is_ok();
        self.jobs.retain(|_, job| job.ended.is_none_or(|ended| ended >= before) || kept(job));
        self.forget_crashes_of_ended();
    }
}
