//! Applies a release to a zone: quotas and declared jobs.

use crate::command::{Effects, Reply, ZoneJob};
use crate::zone::ZoneState;
use types::{Fence, JobId, Refusal, RefusalKind, TeamQuota, Timestamp, Version};

impl ZoneState {
    /// Applies release `version` as `changes` to release `base`. Refuses unless `base` is the
    /// adopted release and `version` is later, so that a zone never returns to an older release.
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

    /// Cancels a declared job. Removes the job at once if it has no runs and does not wait for a
    /// predecessor; otherwise trimming removes it later.
    pub(crate) fn withdraw(&mut self, id: JobId, at: Timestamp, effects: &mut Effects) {
        self.cancel(id, at, effects);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        // Without `added` the job is trimmed like any other ended job.
        job.added = None;
        let job = self.jobs.get(&id).expect("looked up above");
        if job.runs.is_empty() && !self.waits_for_predecessor(job) {
            self.remove_job(id);
            effects.jobs.push(id);
        }
    }

    /// Adds a declared job or updates the one that the same release added before.
    pub(crate) fn apply_declared(
        &mut self,
        declared: ZoneJob,
        at: Timestamp,
        effects: &mut Effects,
    ) {
        let ZoneJob { spec, added } = declared;
        let found = self.find_job(&spec.key()).map(|(id, job)| (id, job.added, job.is_over()));
        match found {
            Some((id, Some(since), over)) if since == added => {
                if !over {
                    self.update_job(id, spec, effects);
                }
            }
            // An active job that was submitted directly under this name keeps the name.
            Some((_, None, false)) => {}
            _ => {
                let id = self.add_job(spec, Some(added), at, effects);
                let job = self.jobs.get_mut(&id).expect("added above");
                job.predecessor = found.map(|(earlier, ..)| earlier);
            }
        }
    }

    /// Replaces a job's spec and stops the runs of tasks beyond the new number of tasks.
    fn update_job(&mut self, id: JobId, spec: types::JobSpec, effects: &mut Effects) {
        let job = self.jobs.get_mut(&id).expect("the caller found it");
        if job.spec == spec {
            return;
        }
        let tasks = spec.tasks;
        job.set_spec(spec);
        effects.jobs.push(id);
        let runs = job.runs.clone();
        let beyond = |fence: &Fence| self.runs.get(fence).is_some_and(|run| run.index >= tasks);
        let surplus: Vec<Fence> = runs.into_iter().filter(beyond).collect();
        surplus.into_iter().for_each(|fence| self.stop(fence, effects));
    }
}
