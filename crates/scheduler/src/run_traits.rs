//! What a leader knows of a run by its job.

use dispatch::RunTraits;
use jobs::{RunNumber, State, TaskRef};

/// Priority of runs that were started with what others left over: all others may pause them.
const LOWEST_PRIORITY: u32 = u32::MAX;

/// Properties of a run that its job determines; `None` once the job is over.
pub(crate) fn run_traits(state: &State, task: TaskRef, run: RunNumber) -> Option<RunTraits> {
    let (spec, job) = (state.spec(task.step)?, state.job(task.step.job)?);
    let alone = !spec.gang || spec.count == 1;
    // A later run may continue from a checkpoint.
    let from_start = run == 1 || !spec.checkpoint;
    Some(RunTraits {
        queue: job.queue,
        priority: if job.over_rate { LOWEST_PRIORITY } else { state.policy(job.queue).priority },
        need: spec.charge(),
        estimate: spec.estimate,
        from_scratch: alone && from_start && !spec.long_running,
        pausable: spec.checkpoint && !spec.gang && !spec.long_running,
        endless: spec.long_running,
    })
}
