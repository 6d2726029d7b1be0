//! Room for work that is on time only if it starts at once.

use super::{Allowed, Demand, Pass, Reclaimable, StepPlan, WorkerCapacity};
use jobs::LifeId;

impl<F> Pass<'_, '_, F>
where
    F: Fn(LifeId) -> Reclaimable,
{
    /// Stops runs of lower priority that lose nothing by it, for tasks that are on time only if
    /// they start soon. What is being stopped already counts as room.
    pub(super) fn make_room(&mut self, demand: &Demand, count: usize) {
        if !demand.tight || !demand.can_wait_for_stop {
            return;
        }
        let mut left = count;
        for room in self.rooms.iter_mut() {
            if left == 0 {
                return;
            }
            if !may_run(demand, room) {
                continue;
            }
            let life = room.life;
            let found = self.asked.get_or_insert_with(life, || (self.reclaimable)(life));
            while left > 0 && reclaim_room(room, found, demand, &mut self.plan) {
                left -= 1;
            }
        }
    }
}

/// Whether tasks of the step may run on this worker, however full it is.
pub(super) fn may_run(demand: &Demand, room: &WorkerCapacity<'_>) -> bool {
    let allowed = match &demand.allowed {
        Allowed::Any => true,
        Allowed::Only(lives) => lives.binary_search_by_key(&room.life, |(id, _)| *id).is_ok(),
    };
    let label = &demand.required_label;
    let labelled = label.as_ref().is_none_or(|label| room.info.labels.contains(label));
    room.info.service == demand.service && allowed && labelled
}

/// Finds room for one task on a worker where runs may be stopped for it. False when there is none.
fn reclaim_room(
    room: &mut WorkerCapacity<'_>,
    reclaimable: &mut Reclaimable,
    demand: &Demand,
    plan: &mut StepPlan,
) -> bool {
    let spare = reclaimable.stopping.minus(&room.claimed_beyond_free);
    let mut soon = room.free.plus(&spare);
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
            plan.pauses.push((room.life, run.task, run.run));
        }
        !stop
    });
    // The room is this demand's from now on.
    let beyond_free = demand.need.minus(&room.free);
    let left = soon.minus(&room.free).minus(&beyond_free);
    reclaimable.stopping = reclaimable.stopping.minus(&spare).plus(&left);
    room.free = room.free.minus(&demand.need);
    true
}
