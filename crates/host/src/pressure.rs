//! Relief for a worker whose runs use more than they declared.

use crate::call::RunUsage;
use types::{Fence, Resources, Timestamp};

/// Memory use above this part of a worker's capacity calls for throttling, in percent.
const THROTTLE_ABOVE: u64 = 90;
/// Memory use above this part of a worker's capacity calls for stopping, in percent.
const STOP_ABOVE: u64 = 97;

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeclaredRun {
    /// What it asked for.
    pub resources: Resources,
    /// When it was placed.
    pub placed: Timestamp,
    /// It can be stopped and started again.
    pub may_stop: bool,
}

/// What to do about it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PressureActions {
    /// Runs to slow down.
    pub throttle: Vec<Fence>,
    /// Runs to stop, saving their progress.
    pub stop: Vec<Fence>,
}

/// Throttles whatever exceeds what it declared once the worker runs short, and stops the worst of
/// it, the youngest first among equals, when throttling came too late.
///
/// ```
/// use host::{relieve_memory_pressure, DeclaredRun, RunUsage};
/// use types::Resources;
/// let gib = |n: u64| Resources { cpu: 1_000, memory: n << 30, accelerators: 0 };
/// let usage = [RunUsage { fence: 1, used: gib(2) }, RunUsage { fence: 2, used: gib(8) }];
/// let declared = |_| Some(DeclaredRun {
///     resources: gib(2), placed: Default::default(), may_stop: true,
/// });
/// let relief = relieve_memory_pressure(&gib(10), &usage, declared);
/// assert_eq!((relief.throttle, relief.stop), (vec![2], vec![2]));
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
    if used <= percent(THROTTLE_ABOVE) {
        return PressureActions::default();
    }
    let mut over: Vec<(u64, Timestamp, Fence, bool)> = usage
        .iter()
        .filter_map(|run| {
            let known = declared(run.fence)?;
            let excess = run.used.memory.checked_sub(known.resources.memory)?;
            (excess > 0).then_some((excess, known.placed, run.fence, known.may_stop))
        })
        .collect();
    over.sort_by_key(|(excess, placed, ..)| std::cmp::Reverse((*excess, *placed)));
    let throttle = over.iter().map(|(_, _, fence, _)| *fence).collect();
    let mut stop = Vec::new();
    if used > percent(STOP_ABOVE) {
        stop.extend(over.iter().filter(|(.., may)| *may).map(|(_, _, fence, _)| *fence).take(1));
    }
    PressureActions { throttle, stop }
}
