//! Acceptance, cancellation and removal of jobs.

use super::ends::end_job;
use super::State;
use crate::command::{Effect, Reply};
use crate::configuration::QueueAddress;
use crate::footprint::Footprint;
use crate::job::{Job, Occurrence, Phase};
use crate::model::{JobRequest, QueueId};
use crate::withdrawn::{Full, Holder};
use accounts::KeyDigest;
use types::{AccountName, JobId, Timestamp};

/// Occurrences of a scheduled job that are opened by one command at most.
const MAX_OPENED_AT_ONCE: u32 = 64;

/// A submission without its queue and request.
pub(super) struct Submission {
    pub(super) id: JobId,
    pub(super) at: Timestamp,
    pub(super) key: Option<KeyDigest>,
    pub(super) room: Option<u64>,
}

impl State {
    pub(super) fn submit(
        &mut self,
        submission: Submission,
        queue: &QueueAddress,
        request: JobRequest,
        effects: &mut Vec<Effect>,
    ) -> Reply {
        let Submission { id, at, key, room } = submission;
        let (queue, account) = match self.check_submission(id, queue, key.as_ref()) {
            Ok(caller) => caller,
            Err(reply) => {
                if reply == Reply::Withdrawn {
                    effects.push(Effect::RefusedAsWithdrawn(id));
                }
                return reply;
            }
        };
        if let Some((account, step)) = self.step_beyond_quota(account.as_ref(), &request) {
            effects.push(Effect::BeyondQuota { job: id, step, account: account.clone() });
            return Reply::BeyondQuota(step);
        }
        let room = room.map_or(usize::MAX, |room| usize::try_from(room).unwrap_or(usize::MAX));
        if let Some(reply) = self.check_room(account.as_ref(), &request, room) {
            effects.push(Effect::NoRoom(id));
            return reply;
        }
        let scheduled = request.schedule.is_some();
        let mut job = Job::new(id, queue, account, request, at);
        let account = job.account.as_deref();
        let account = account.and_then(|name| self.configuration.accounts.get(name));
        job.over_rate = account.is_some_and(|account| !self.rates.count(account, at));
        self.stored += job.footprint();
        self.jobs.insert(id, Box::new(job));
        self.charge_earlier_runs(id);
        effects.push(Effect::Accepted(id));
        if !scheduled {
            self.open_occurrences(id, 1, effects);
        }
        Reply::Done
    }

    /// The reply to a new job for which there is no room if all jobs together may have this size in
    /// bytes; `None` if there is room.
    pub fn check_room(
        &self,
        account: Option<&AccountName>,
        request: &JobRequest,
        room: usize,
    ) -> Option<Reply> {
        let bytes = Job::new_bytes(account, request);
        if bytes > room {
            return Some(Reply::TooLarge { bytes, room });
        }
        let missing = (self.stored.bytes + bytes).saturating_sub(room);
        (missing > 0).then_some(Reply::NoRoom { missing })
    }

    /// Size of all jobs, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.stored.bytes
    }

    /// Number of tasks of all jobs that were placed before and are not done.
    pub fn touched_tasks(&self) -> usize {
        self.stored.touched
    }

    /// Total number of occurrences of a scheduled job that may be open or done, where `due` are due.
    /// A job may have one open whatever its size is, and more as long as all jobs together have
    /// this size in bytes.
    pub fn openable(&self, job: &Job, due: u32, room: usize) -> u32 {
        let Some(request) = &job.request else { return job.opened };
        let size = Occurrence::new_bytes(request).max(1);
        let fitting = room.saturating_sub(self.stored.bytes) / size;
        let fitting = u32::try_from(fitting).unwrap_or(u32::MAX).min(MAX_OPENED_AT_ONCE);
        let least = u32::from(job.occurrences.is_empty());
        due.min(job.opened.saturating_add(fitting.max(least)))
    }

    /// Returns the queue and the account of a submission that would be new. The error is the reply
    /// to one that is not, or that is refused.
    pub fn check_submission(
        &self,
        id: JobId,
        address: &QueueAddress,
        key: Option<&KeyDigest>,
    ) -> Result<(QueueId, Option<AccountName>), Reply> {
        let known = self.jobs.get(&id);
        let same_queue = known.filter(|job| self.address(job.queue) == address);
        let queue = same_queue.map(|job| job.queue).or_else(|| self.open_queue(address));
        let queue = queue.ok_or(Reply::NotFound)?;
        let account = self.caller(queue, key).map_err(|_| Reply::UnknownKey)?;
        match (known, same_queue) {
            (_, Some(job)) if job.account == account => Err(Reply::Done),
            (Some(_), _) => Err(Reply::IdTaken),
            (None, _) => {
                let holder = Holder::new(queue, account.as_ref());
                let withdrawn = self.withdrawn.contains(&holder, queue, id);
                if withdrawn {
                    Err(Reply::Withdrawn)
                } else {
                    Ok((queue, account))
                }
            }
        }
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
            let opened = Occurrence::new(&request);
            self.stored += opened.footprint();
            job.occurrences.insert(occurrence, opened);
            effects.extend(job.steps_ready_of(occurrence).map(Effect::Ready));
        }
        Reply::Done
    }

    pub(super) fn cancel(
        &mut self,
        id: JobId,
        address: Option<&QueueAddress>,
        key: Option<KeyDigest>,
        at: Timestamp,
        effects: &mut Vec<Effect>,
    ) -> Reply {
        let queue = match address {
            Some(address) => self.queue_at(address),
            None => self.jobs.get(&id).map(|job| job.queue),
        };
        let Some(queue) = queue else { return Reply::NotFound };
        let Ok(account) = self.caller(queue, key.as_ref()) else { return Reply::UnknownKey };
        let own = |job: &&mut Box<Job>| job.queue == queue && job.account == account;
        if let Some(job) = self.jobs.get_mut(&id).filter(own) {
            if !job.phase.is_over() {
                self.stored -= end_job(job, Phase::Cancelled, at, effects);
            }
            // Kept as long as an id that was cancelled without a job.
            job.ended = job.ended.max(Some(at));
            return Reply::Done;
        }
        let holder = Holder::new(queue, account.as_ref());
        match address.map(|_| self.withdrawn.insert(holder, queue, id, at)) {
            Some(Err(Full { oldest })) => return Reply::WithdrawnFull { oldest },
            Some(Ok(())) => effects.push(Effect::Withdrawn(id)),
            None => {}
        }
        Reply::NotFound
    }

    /// The reply to a cancellation for which there is no room; `None` if there is, or if the command
    /// fails for another reason.
    pub fn check_cancel(
        &self,
        id: JobId,
        address: &QueueAddress,
        key: Option<&KeyDigest>,
    ) -> Option<Reply> {
        let queue = self.queue_at(address)?;
        let account = self.caller(queue, key).ok()?;
        let known = self.jobs.get(&id);
        if known.is_some_and(|job| job.queue == queue && job.account == account) {
            return None;
        }
        let holder = Holder::new(queue, account.as_ref());
        let Full { oldest } = self.withdrawn.check_room(&holder, queue, id).err()?;
        Some(Reply::WithdrawnFull { oldest })
    }

    /// Number of ids that are kept as cancelled without a job.
    pub fn withdrawn_ids(&self) -> usize {
        self.withdrawn.len()
    }

    /// Removes jobs that ended, and ids that were cancelled, before this time; not jobs whose use
    /// still counts for an account.
    pub(super) fn trim_jobs(&mut self, before: Timestamp) {
        let charged = self.charged_jobs();
        let kept = |job: &Job| job.account.is_some() && charged.binary_search(&job.id).is_ok();
        let mut removed = Footprint::default();
        self.jobs.retain(|_, job| {
            let keep = job.ended.is_none_or(|ended| ended >= before) || kept(job);
            if !keep {
                removed += job.footprint();
            }
            keep
        });
        self.stored -= removed;
        self.forget_crashes_of_ended();
        self.withdrawn.trim(before);
    }
}
