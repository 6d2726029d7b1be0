//! Where placements take effect or are refused.

use crate::command::{Effects, InjectedBug, Placement, Reply};
use crate::job::Run;
use crate::worker::WorkerStatus;
use crate::zone::ZoneState;
use types::{Fence, JobClass, JobId, Resources, Timestamp, WorkerId};

impl ZoneState {
    /// Places what still fits. The tasks of an all-at-once job are placed all or not at all; its
    /// placements must stand next to each other.
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
            if self.must_start_together(group[0].job) {
                placed += self.place_together(group, at, effects);
            } else {
                let fences = group.iter().filter_map(|p| self.place_one(p, at));
                let before = effects.placed.len();
                effects.placed.extend(fences);
                placed += effects.placed.len() - before;
            }
        }
        Reply::Placed(placed)
    }

    fn must_start_together(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|j| j.spec.class == JobClass::AllAtOnce)
    }

    fn place_together(
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
                    fences.into_iter().rev().for_each(|fence| self.take_back(fence));
                    return 0;
                }
            }
        }
        effects.placed.extend(fences);
        group.len()
    }

    fn place_one(&mut self, placement: &Placement, at: Timestamp) -> Option<Fence> {
        let job = self.jobs.get(&placement.job)?;
        if at < job.held_until || self.waits_for_predecessor(job) {
            return None;
        }
        let resources = job.spec.resources;
        let used = room_for(&self.workers, placement, &resources, at, self.injected_bug)?;
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

    /// Undoes a placement of this same command, which nobody has seen.
    fn take_back(&mut self, fence: Fence) {
        let Some(run) = self.runs.remove(&fence) else { return };
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.runs.retain(|f| *f != fence);
            worker.used = worker.used.saturating_sub(&run.resources);
        }
        if let Some(job) = self.jobs.get_mut(&run.job) {
            job.runs.retain(|f| *f != fence);
            job.wait_again(run.index);
            job.started = None;
        }
    }
}

/// What the worker holds once the task is placed, or `None` when it must not be placed there.
fn room_for(
    workers: &types::SortedMap<WorkerId, crate::Worker>,
    placement: &Placement,
    resources: &Resources,
    at: Timestamp,
    injected_bug: InjectedBug,
) -> Option<Resources> {
    let worker = workers.get(&placement.worker)?;
    let same_life = worker.incarnation == placement.incarnation
        || injected_bug == InjectedBug::SkipIncarnationCheck;
    let fits = resources.fits_in(&worker.free_resources(at))
        || injected_bug == InjectedBug::SkipCapacityCheck;
    let open = same_life && worker.status() == WorkerStatus::Active;
    if open && fits {
        worker.used.checked_add(resources)
    } else {
        None
    }
}
