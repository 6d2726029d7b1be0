//! Memory pressure on a worker: which runs to throttle or stop when its memory runs short.

use crate::call::RunUsage;
use types::{Fence, Resources, Timestamp};

/// Memory use above which runs are throttled, in percent of the worker's capacity.
const THROTTLE_ABOVE_PERCENT: u64 = 90;
/// Memory use above which a run is stopped, in percent of the worker's capacity.
const STOP_ABOVE_PERCENT: u64 = 97;

/// What a run declared when it was placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeclaredRun {
    /// Resources reserved for the run.
    pub resources: Resources,
    /// When the run was placed.
    pub placed: Timestamp,
    /// Whether the run can be stopped and started again.
    pub may_stop: bool,
}

/// Runs to slow down or stop on a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PressureActions {
    /// Runs to slow down.
    pub throttle: Vec<Fence>,
    /// Runs to stop after they have saved their progress.
    pub stop: Vec<Fence>,
}

/// Decides which runs to throttle or stop on a worker that is short of memory.
///
/// Above 90 % of the worker's memory, every run that exceeds its declared memory is throttled.
/// Above 97 %, the stoppable run with the largest excess is stopped as well; of equal ones, the
/// run placed last.
///
/// ```
/// use host::{relieve_memory_pressure, DeclaredRun, RunUsage};
/// use types::Resources;
/// let gib = |n: u64| Resources { cpu: 1_000, memory: n << 30, accelerators: 0 };
/// let usage = [RunUsage { fence: 1, used: gib(2) }, RunUsage { fence: 2, used: gib(8) }];
/// let declared = |_| Some(DeclaredRun {
///     resources: gib(2), placed: Default::default(), may_stop: true,
/// });
/// let actions = relieve_memory_pressure(&gib(10), &usage, declared);
/// assert_eq!((actions.throttle, actions.stop), (vec![2], vec![2]));
/// ```
pub fn relieve_memory_pressure<F>(
    capacity: &Resources,
    usage: &[RunUsage],
    declared: F,
) -> PressureActions
where
    F: Fn(Fence) -> Option<DeclaredRun>,
{
    let used: u64 = usage.iter().map(|run| run.used.memory).sum();
    let percent = |part: u64| capacity.memory / 100 * part;
    if used <= percent(THROTTLE_ABOVE_PERCENT) {
        return PressureActions::default();
    }
    let mut over: Vec<(u64, Timestamp, Fence, bool)> = usage
        .iter()
        .filter_map(|run| {
            let run_declared = declared(run.fence)?;
            let excess = run.used.memory.checked_sub(run_declared.resources.memory)?;
            (excess > 0).then_some((excess, run_declared.placed, run.fence, run_declared.may_stop))
        })
        .collect();
    over.sort_by_key(|(excess, placed, ..)| std::cmp::Reverse((*excess, *placed)));
    let throttle = over.iter().map(|(_, _, fence, _)| *fence).collect();
    let mut stop = Vec::new();
    if used > percent(STOP_ABOVE_PERCENT) {
        stop.extend(over.iter().filter(|(.., may)| *may).map(|(_, _, fence, _)| *fence).take(1));
    }
    PressureActions { throttle, stop }
}
