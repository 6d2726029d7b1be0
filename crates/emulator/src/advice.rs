//! The emulated advice service. It handles the calls of each host one after the other.

use jobs::{AdvicePolicy, StepRef};
use std::time::Duration;
use types::{HostId, SortedMap, Timestamp};

/// The emulated advice service.
#[derive(Debug, Default)]
pub(crate) struct AdviceService {
    /// When the calls that each host has made so far are answered.
    busy_until: SortedMap<HostId, Timestamp>,
    /// Total duration of all calls.
    pub(crate) total_time: Duration,
    /// Number of calls.
    pub(crate) calls: u32,
}

impl AdviceService {
    /// Makes a call about `workers` workers. Returns when it is answered.
    pub(crate) fn call(
        &mut self,
        caller: &HostId,
        policy: &AdvicePolicy,
        workers: usize,
        now: Timestamp,
    ) -> Timestamp {
        let duration = policy.duration(workers);
        let busy_until = self.busy_until.get_or_insert_with(caller.clone(), || now);
        *busy_until = (*busy_until).max(now) + duration;
        self.total_time += duration;
        self.calls += 1;
        *busy_until
    }
}

/// Whether a worker may run a step, with probability `share`. The answer for a step and a worker is
/// always the same.
pub(crate) fn is_eligible(step: StepRef, worker: usize, share: f64) -> bool {
    let seed = step.job
        ^ (u64::from(step.step) << 56)
        ^ (worker as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    fastrand::Rng::with_seed(seed).f64() < share
}
