//! The weights of the placement policy.

use std::time::Duration;

/// Weights of the placement policy. Cheap to clone.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    pub(crate) candidates: usize,
    pub(crate) pack: bool,
    pub(crate) ageing: Duration,
    pub(crate) critical_laxity: Duration,
    pub(crate) default_run_time: Duration,
    pub(crate) jobs_per_plan: usize,
    pub(crate) preempt: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy::waiting_first()
    }
}

impl Policy {
    /// The preset that weighs waiting time most.
    pub fn waiting_first() -> Policy {
        PolicyBuilder::new().build()
    }

    /// The preset that weighs packing and control cost most.
    pub fn packing_first() -> Policy {
        PolicyBuilder::new()
            .candidates(8)
            .pack(true)
            .ageing(Duration::from_secs(4 * 3_600))
            .jobs_per_plan(256)
            .build()
    }

    /// The preset with this name in settings.
    pub fn named(name: &str) -> Option<Policy> {
        match name {
            "waiting-first" => Some(Policy::waiting_first()),
            "packing-first" => Some(Policy::packing_first()),
            _ => None,
        }
    }
}

/// Makes a [`Policy`].
///
/// ```
/// let policy = placement::PolicyBuilder::new().candidates(2).build();
/// assert_ne!(policy, placement::Policy::default());
/// ```
#[derive(Clone, Debug)]
pub struct PolicyBuilder {
    policy: Policy,
}

impl Default for PolicyBuilder {
    fn default() -> Self {
        PolicyBuilder::new()
    }
}

impl PolicyBuilder {
    /// Starts from the preset that weighs waiting time most.
    pub fn new() -> PolicyBuilder {
        PolicyBuilder {
            policy: Policy {
                candidates: 4,
                pack: true,
                ageing: Duration::from_secs(1_800),
                critical_laxity: Duration::from_secs(600),
                default_run_time: Duration::from_secs(3_600),
                jobs_per_plan: 1_024,
                preempt: true,
            },
        }
    }

    /// Workers compared for each task.
    pub fn candidates(mut self, count: usize) -> Self {
        self.policy.candidates = count.max(1);
        self
    }

    /// Whether the fullest fitting worker is chosen, rather than the emptiest.
    pub fn pack(mut self, pack: bool) -> Self {
        self.policy.pack = pack;
        self
    }

    /// The wait that makes up for holding the whole zone.
    pub fn ageing(mut self, wait: Duration) -> Self {
        self.policy.ageing = wait.max(Duration::from_secs(1));
        self
    }

    /// A job with less slack than this before its deadline goes first.
    pub fn critical_laxity(mut self, slack: Duration) -> Self {
        self.policy.critical_laxity = slack;
        self
    }

    /// The run time of a task whose owner gave none.
    pub fn default_run_time(mut self, run_time: Duration) -> Self {
        self.policy.default_run_time = run_time;
        self
    }

    /// Waiting jobs looked at in one plan.
    pub fn jobs_per_plan(mut self, count: usize) -> Self {
        self.policy.jobs_per_plan = count.max(1);
        self
    }

    /// Whether batch work is stopped for urgent work.
    pub fn preempt(mut self, preempt: bool) -> Self {
        self.policy.preempt = preempt;
        self
    }

    /// The policy.
    pub fn build(self) -> Policy {
        self.policy
    }
}
