//! The order in which steps are placed.

use accounts::Standing;
use std::time::Duration;
use types::Timestamp;

/// A late job still has value up to this multiple of its objective; after that it goes last.
pub const WORTHLESS_AFTER_OBJECTIVES: u32 = 3;

/// The timing of a job, which determines its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Priority of the job's queue; 0 is the highest.
    pub priority: u32,
    /// When the job was accepted.
    pub submitted: Timestamp,
    /// Time from acceptance within which the job is on time.
    pub objective: Duration,
    /// Estimated duration of the remaining critical path.
    pub left: Duration,
}

/// A job is tight if the time to its objective is less than this percentage of its remaining work.
const TIGHT_BELOW_PERCENT: u32 = 250;

impl Urgency {
    /// Whether the job can be on time, but only if it starts soon and runs at full speed.
    pub fn is_tight(&self, now: Timestamp) -> bool {
        let due = self.submitted + self.objective;
        now + self.left <= due && now + self.left * TIGHT_BELOW_PERCENT / 100 > due
    }
}

/// Place of a step in the order in which steps are served; lower ones come first. The fields are
/// compared from top to bottom, so that their order is the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the job can't end within three objectives any more, so that it has no value.
    pub worthless: bool,
    /// Whether the job is beyond its account's rate.
    pub over_rate: bool,
    /// Whether the job can't be on time any more.
    pub late: bool,
    /// Priority of the job's queue; 0 is the highest.
    pub priority: u32,
    /// Whether the account uses more than its share.
    pub above_share: bool,
    /// Priority among accounts; 0 is the highest.
    pub account_priority: u32,
    /// Latest start with which the job is on time.
    pub latest_start: Timestamp,
}

impl Rank {
    /// Whether the step gets only what is left over: no room is claimed for it and no run is
    /// paused.
    pub fn yields(&self) -> bool {
        self.worthless || self.over_rate
    }
}

/// The rank of a step, from the timing of its job and the standing of its account.
///
/// ```
/// use accounts::Standing;
/// use placement::steps::{rank, Urgency};
/// use std::time::Duration;
/// let s = Duration::from_secs;
/// let soon = Urgency { priority: 2, submitted: s(10), objective: s(8), left: s(2) };
/// let too_late = Urgency { priority: 0, submitted: s(0), objective: s(8), left: s(9) };
/// let standing = Standing::default();
/// assert!(rank(&soon, &standing, s(11)) < rank(&too_late, &standing, s(11)));
/// let flood = Standing { over_rate: true, ..standing };
/// assert!(rank(&too_late, &standing, s(11)) < rank(&soon, &flood, s(11)));
/// ```
pub fn rank(urgency: &Urgency, standing: &Standing, now: Timestamp) -> Rank {
    let Urgency { priority, submitted, objective, left } = *urgency;
    let done_by = now + left;
    Rank {
        worthless: done_by > submitted + objective * WORTHLESS_AFTER_OBJECTIVES,
        over_rate: standing.over_rate,
        late: done_by > submitted + objective,
        priority,
        above_share: standing.above_share,
        account_priority: standing.priority,
        latest_start: (submitted + objective).saturating_sub(left),
    }
}
