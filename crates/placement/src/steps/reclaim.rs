//! Pausing of runs for tight steps, which are on time only if they start at once.

use super::{Demand, EligibleWorkers, Pass, Reclaimable, StepPlan, WorkerCapacity};
use jobs::LifeId;

impl<F> Pass<'_, '_, F>
where
    F: Fn(LifeId) -> Reclaimable,
{
    /// Pauses runs of lower priority for `count` tasks of a tight step. Only runs that can resume
    /// without loss are paused. Capacity of runs that are being stopped already is used first.
    /// Returns the number of tasks for which there will be capacity.
    pub(super) fn pause_for_tasks(&mut self, demand: &Demand, count: usize) -> usize {
        if !demand.tight || !demand.can_wait_for_stop || demand.yields {
            return 0;
        }
        let mut missing = count;
        for worker in self.workers.iter_mut() {
            if missing == 0 {
                break;
            }
            if !may_run(demand, worker) {
                continue;
            }
            let life = worker.life;
            let found =
                self.reclaimable_cache.get_or_insert_with(life, || (self.reclaimable)(life));
            while missing > 0 && reclaim_for_task(worker, found, demand, &mut self.plan) {
                missing -= 1;
            }
        }
        count - missing
    }
}

/// Whether tasks of the step may start on this worker now, regardless of its free capacity.
pub(super) fn may_run(demand: &Demand, worker: &WorkerCapacity<'_>) -> bool {
    may_ever_run(demand, worker) && demand.is_admitted(worker)
}

/// Whether tasks of the step may run on this worker, regardless of what it runs.
pub(super) fn may_ever_run(demand: &Demand, worker: &WorkerCapacity<'_>) -> bool {
    let eligible = match &demand.eligible {
        EligibleWorkers::Any => true,
        EligibleWorkers::Only(lives) => {
            lives.binary_search_by_key(&worker.life, |(id, _)| *id).is_ok()
        }
    };
    let label = &demand.required_label;
    let labelled = label.as_ref().is_none_or(|label| worker.info.labels.contains(label));
    worker.info.service == demand.service && eligible && labelled
}

/// Reclaims capacity for one task on a worker, pausing runs if needed. False if that is not
/// possible.
fn reclaim_for_task(
    worker: &mut WorkerCapacity<'_>,
    reclaimable: &mut Reclaimable,
    demand: &Demand,
    plan: &mut StepPlan,
) -> bool {
    let spare = reclaimable.stopping.minus(&worker.claimed_beyond_free);
    let mut soon = worker.free.plus(&spare);
    let mut victims = 0;
    for run in reclaimable.pausable.iter().filter(|run| run.priority > demand.priority) {
        if demand.need.fits_in(&soon) {
            break;
        }
        soon = soon.plus(&run.need);
        victims += 1;
    }
    if !demand.need.fits_in(&soon) {
        return false;
    }
    let mut stopped = 0;
    reclaimable.pausable.retain(|run| {
        let stop = stopped < victims && run.priority > demand.priority;
        if stop {
            stopped += 1;
            plan.pauses.push((worker.life, run.task, run.run));
        }
        !stop
    });
    // From now on the capacity belongs to this demand.
    let beyond_free = demand.need.minus(&worker.free);
    let left = soon.minus(&worker.free).minus(&beyond_free);
    reclaimable.stopping = reclaimable.stopping.minus(&spare).plus(&left);
    worker.free = worker.free.minus(&demand.need);
    true
}
