//! Applies placements, after checking them against the current state.

use crate::command::{Effects, InjectedBug, Placement, Reply};
use crate::job::Run;
use crate::worker::WorkerStatus;
use crate::zone::ZoneState;
use types::{Fence, JobClass, JobId, Resources, Timestamp, WorkerId};

impl ZoneState {
    /// Starts the tasks whose placement is still valid and skips the others. The tasks of an
    /// all-at-once job start together or not at all; their placements must be adjacent.
    pub(crate) fn place(
        &mut self,
        placements: &[Placement],
        at: Timestamp,
        effects: &mut Effects,
    ) -> Reply {
        let mut placed = 0;
        for group in placements.chunk_by(|a, b| a.job == b.job) {
            effects.jobs.push(group[0].job);
            effects.workers.extend(group.iter().map(|p| p.worker.clone()));
            if self.is_all_at_once(group[0].job) {
                placed += self.place_all_or_none(group, at, effects);
            } else {
                let fences = group.iter().filter_map(|p| self.place_one(p, at));
                let before = effects.placed.len();
                effects.placed.extend(fences);
                placed += effects.placed.len() - before;
            }
        }
        Reply::Placed(placed)
    }

    fn is_all_at_once(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|j| j.spec.class == JobClass::AllAtOnce)
    }

    fn place_all_or_none(
        &mut self,
        group: &[Placement],
        at: Timestamp,
        effects: &mut Effects,
    ) -> usize {
        let job = &self.jobs.get(&group[0].job).expect("looked up by the caller");
        if !job.runs.is_empty() || job.waiting() as usize != group.len() {
            return 0;
        }
        let mut fences = Vec::with_capacity(group.len());
        for placement in group {
            match self.place_one(placement, at) {
                Some(fence) => fences.push(fence),
                None => {
                    fences.into_iter().rev().for_each(|fence| self.undo_placement(fence));
                    return 0;
                }
            }
        }
        effects.placed.extend(fences);
        group.len()
    }

    fn place_one(&mut self, placement: &Placement, at: Timestamp) -> Option<Fence> {
        let job = self.jobs.get(&placement.job)?;
        let shares = self.may_share(&placement.worker, placement.job, at);
        if at < self.held_until(placement.job, job) || self.waits_for_predecessor(job) || !shares {
            return None;
        }
        let resources = job.spec.resources;
        let used = used_after(&self.workers, placement, &resources, at, self.injected_bug)?;
        let job = self.jobs.get_mut(&placement.job)?;
        let index = job.take_waiting()?;
        self.last_fence += 1;
        let fence = self.last_fence;
        job.runs.push(fence);
        if job.waiting() == 0 && job.started.is_none() {
            job.started = Some(at);
        }
        let generation = job.generation;
        let worker = self.workers.get_mut(&placement.worker)?;
        worker.used = used;
        worker.runs.push(fence);
        let run = Run {
            job: placement.job,
            index,
            worker: placement.worker.clone(),
            placed: at,
            stopping: false,
            generation,
            resources,
        };
        self.runs.insert(fence, Box::new(run));
        Some(fence)
    }

    /// Undoes a placement made earlier by the command being applied. No reader has seen the run.
    fn undo_placement(&mut self, fence: Fence) {
        let Some(run) = self.runs.remove(&fence) else { return };
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.runs.retain(|f| *f != fence);
            worker.used = worker.used.saturating_sub(&run.resources);
        }
        if let Some(job) = self.jobs.get_mut(&run.job) {
            job.runs.retain(|f| *f != fence);
            job.requeue(run.index);
            job.started = None;
        }
    }
}

/// The worker's used resources after the placement, or `None` if the placement is not allowed.
fn used_after(
    workers: &types::SortedMap<WorkerId, crate::Worker>,
    placement: &Placement,
    resources: &Resources,
    at: Timestamp,
    injected_bug: InjectedBug,
) -> Option<Resources> {
    let worker = workers.get(&placement.worker)?;
    let same_incarnation = worker.incarnation == placement.incarnation
        || injected_bug == InjectedBug::SkipIncarnationCheck;
    let fits = resources.fits_in(&worker.free_resources(at))
        || injected_bug == InjectedBug::SkipCapacityCheck;
    let accepts_work = same_incarnation && worker.status() == WorkerStatus::Active;
    if accepts_work && fits {
        worker.used.checked_add(resources)
    } else {
        None
    }
}
