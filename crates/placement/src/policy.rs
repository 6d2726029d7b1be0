//! Tunable parameters of placement.

use std::time::Duration;

/// Parameters of the placement policy; build one with [`PolicyBuilder`]. Cheap to clone.
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
    /// The preset that favours short waiting times.
    pub fn waiting_first() -> Policy {
        PolicyBuilder::new().build()
    }

    /// The preset that favours dense packing and low planning cost.
    pub fn packing_first() -> Policy {
        PolicyBuilder::new()
            .candidates(8)
            .pack(true)
            .ageing(Duration::from_secs(4 * 3_600))
            .jobs_per_plan(256)
            .build()
    }

    /// The preset with this name in the settings; `None` if there is none.
    pub fn named(name: &str) -> Option<Policy> {
        match name {
            "waiting-first" => Some(Policy::waiting_first()),
            "packing-first" => Some(Policy::packing_first()),
            _ => None,
        }
    }
}

/// Builds a [`Policy`].
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
    /// Creates a builder with the values of [`Policy::waiting_first`].
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

    /// Number of candidate workers compared for each task; at least 1.
    pub fn candidates(mut self, count: usize) -> Self {
        self.policy.candidates = count.max(1);
        self
    }

    /// Whether to prefer the fullest fitting worker (best fit) over the emptiest (worst fit).
    pub fn pack(mut self, pack: bool) -> Self {
        self.policy.pack = pack;
        self
    }

    /// Waiting time that offsets a team's weighted share of 1, the whole zone; at least 1 s.
    pub fn ageing(mut self, wait: Duration) -> Self {
        self.policy.ageing = wait.max(Duration::from_secs(1));
        self
    }

    /// Jobs with less slack than this before their latest start go first.
    pub fn critical_laxity(mut self, slack: Duration) -> Self {
        self.policy.critical_laxity = slack;
        self
    }

    /// Assumed run time of a task if its owner declared none.
    pub fn default_run_time(mut self, run_time: Duration) -> Self {
        self.policy.default_run_time = run_time;
        self
    }

    /// Maximum number of batch jobs considered in one plan; at least 1.
    pub fn jobs_per_plan(mut self, count: usize) -> Self {
        self.policy.jobs_per_plan = count.max(1);
        self
    }

    /// Whether batch work may be stopped for urgent work.
    pub fn preempt(mut self, preempt: bool) -> Self {
        self.policy.preempt = preempt;
        self
    }

    /// Builds the policy.
    pub fn build(self) -> Policy {
        self.policy
    }
}
