//! Which failures of the data directory are logged.

use std::time::Duration;
use types::Timestamp;

/// Shortest time between two lines about the same failure.
const REPEAT_INTERVAL: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureKind {
    /// The directory could not be opened.
    Open,
    /// The disk failed while the directory was open.
    Disk,
}

#[derive(Clone, Debug)]
struct LoggedFailure {
    kind: FailureKind,
    cause: String,
    at: Timestamp,
}

/// How long a data directory has been shut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Number of tries to open the directory, with the last one.
    pub attempts: u64,
    /// Time since the directory was shut, or since the first try.
    pub lasted: Duration,
}

/// Counts the failures of a data directory, which may come every second for hours, and decides which
/// of them are logged: one with a new cause at once, and one with the same cause once a minute.
///
/// The causes are kept when the directory opens: it may open each time and fail at the next write.
///
/// ```
/// use node::{DirectoryLog, Outage};
/// use std::time::Duration;
/// let mut log = DirectoryLog::default();
/// let second = Duration::from_secs;
/// let first = Outage { attempts: 1, lasted: Duration::ZERO };
/// assert_eq!(log.open_failed(second(10), "damaged"), Some(first));
/// assert_eq!(log.open_failed(second(11), "damaged"), None);
/// assert_eq!(log.opened(second(12)), Some(Outage { attempts: 3, lasted: second(2) }));
/// assert_eq!(log.failures(), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct DirectoryLog {
    /// `None` while the directory is open, and before the first try.
    shut_at: Option<Timestamp>,
    /// Tries that have failed since the directory was shut.
    failed_attempts: u64,
    failures: u64,
    /// No failure since the directory was last open was logged.
    quiet: bool,
    /// Failures of the last [`REPEAT_INTERVAL`] that were logged.
    logged: Vec<LoggedFailure>,
}

impl DirectoryLog {
    /// Number of failures since the start: of opens, and of the disk while the directory was open.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// Takes a try to open the directory that has failed. `None` if it is not to be logged.
    pub fn open_failed(&mut self, now: Timestamp, cause: &str) -> Option<Outage> {
        self.failed_attempts += 1;
        let outage = self.outage(now, self.failed_attempts);
        let is_logged = self.failed(now, FailureKind::Open, cause);
        self.quiet &= !is_logged;
        is_logged.then_some(outage)
    }

    /// Takes a failure of the disk, which shuts the directory. Returns whether it is to be logged.
    pub fn disk_failed(&mut self, now: Timestamp, cause: &str) -> bool {
        let is_logged = self.failed(now, FailureKind::Disk, cause);
        self.quiet = !is_logged;
        is_logged
    }

    /// Takes a try to open the directory that has succeeded. `None` if it is not to be logged,
    /// because none of the failures before it was.
    pub fn opened(&mut self, now: Timestamp) -> Option<Outage> {
        let outage = self.outage(now, self.failed_attempts + 1);
        self.shut_at = None;
        self.failed_attempts = 0;
        (!self.quiet).then_some(outage)
    }

    fn outage(&self, now: Timestamp, attempts: u64) -> Outage {
        let lasted = self.shut_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        Outage { attempts, lasted }
    }

    /// Counts a failure. Returns whether it is to be logged.
    fn failed(&mut self, now: Timestamp, kind: FailureKind, cause: &str) -> bool {
        self.failures += 1;
        self.shut_at.get_or_insert(now);
        self.logged.retain(|logged| now < logged.at + REPEAT_INTERVAL);
        if self.logged.iter().any(|logged| logged.kind == kind && logged.cause == cause) {
            return false;
        }
        self.logged.push(LoggedFailure { kind, cause: cause.to_string(), at: now });
        true
    }
}
