//! The order in which steps are placed.

use std::time::Duration;
use types::Timestamp;

/// A late job still has value up to this multiple of its objective; after that it goes last.
const WORTHLESS_AFTER_OBJECTIVES: u32 = 3;

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

/// Sort key of a job. Jobs that can be on time come first, then late jobs that still have value,
/// then the rest. Within each tier jobs are ordered by priority, then by latest start.
///
/// ```
/// use placement::steps::{rank, Urgency};
/// use std::time::Duration;
/// let s = Duration::from_secs;
/// let soon = Urgency { priority: 2, submitted: s(10), objective: s(8), left: s(2) };
/// let too_late = Urgency { priority: 0, submitted: s(0), objective: s(8), left: s(9) };
/// assert!(rank(&soon, s(11)) < rank(&too_late, s(11)));
/// ```
pub fn rank(urgency: &Urgency, now: Timestamp) -> (u8, u32, Timestamp) {
    let Urgency { priority, submitted, objective, left } = *urgency;
    let done_by = now + left;
    let tier = if done_by <= submitted + objective {
        0
    } else if done_by <= submitted + objective * WORTHLESS_AFTER_OBJECTIVES {
        1
    } else {
        2
    };
    (tier, priority, (submitted + objective).saturating_sub(left))
}
