//! Bringing a zone in line with a release.

use crate::command::{Effects, Reply, ZoneJob};
use crate::zone::ZoneState;
use types::{Fence, JobId, Refusal, RefusalKind, TeamQuota, Timestamp, Version};

impl ZoneState {
    /// Takes on a release as `changes` to the one before. Anything but the next step is refused,
    /// so that a zone never goes back.
    pub(crate) fn adopt<F>(
        &mut self,
        base: Version,
        version: Version,
        quotas: Option<Vec<TeamQuota>>,
        effects: &mut Effects,
        changes: F,
    ) -> Reply
    where
        F: FnOnce(&mut ZoneState, &mut Effects),
    {
        if base != self.release || version <= base {
            let message =
                format!("base: version {version} changes {base}, but {} is adopted", self.release);
            return Reply::Refused(Refusal::new(RefusalKind::Conflict, message));
        }
        self.release = version;
        if let Some(quotas) = quotas {
            self.quotas = quotas.into_iter().map(|q| (q.team.clone(), q)).collect();
        }
        changes(self, effects);
        Reply::Done
    }

    /// Cancels a declared job; it is forgotten once nothing of it runs.
    pub(crate) fn withdraw(&mut self, id: JobId, at: Timestamp, effects: &mut Effects) {
        self.cancel(id, at, effects);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        // From here on it ages like any job that ended.
        job.added = None;
        let job = self.jobs.get(&id).expect("looked up above");
        if job.runs.is_empty() && !self.waits_for_predecessor(job) {
            self.forget_job(id);
            effects.jobs.push(id);
        }
    }

    pub(crate) fn take_on(&mut self, declared: ZoneJob, at: Timestamp, effects: &mut Effects) {
        let ZoneJob { spec, added } = declared;
        let found = self.find_job(&spec.key()).map(|(id, job)| (id, job.added, job.is_over()));
        match found {
            Some((id, Some(since), over)) if since == added => {
                if !over {
                    self.change_job(id, spec, effects);
                }
            }
            // Submitted by itself under this name and still at work: it keeps the name.
            Some((_, None, false)) => {}
            _ => {
                let id = self.add_job(spec, Some(added), at, effects);
                let job = self.jobs.get_mut(&id).expect("added above");
                job.predecessor = found.map(|(earlier, ..)| earlier);
            }
        }
    }

    fn change_job(&mut self, id: JobId, spec: types::JobSpec, effects: &mut Effects) {
        let job = self.jobs.get_mut(&id).expect("the caller found it");
        if job.spec == spec {
            return;
        }
        let tasks = spec.tasks;
        job.change(spec);
        effects.jobs.push(id);
        let runs = job.runs.clone();
        let beyond = |fence: &Fence| self.runs.get(fence).is_some_and(|run| run.index >= tasks);
        let surplus: Vec<Fence> = runs.into_iter().filter(beyond).collect();
        surplus.into_iter().for_each(|fence| self.stop(fence, effects));
    }
}
