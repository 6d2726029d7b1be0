//! Which failures of a data directory are logged.

use node::{DirectoryLog, Outage};
use std::time::Duration;
use types::Timestamp;

const START: Timestamp = Duration::from_secs(1_796_692_397);
const SYNC: &str = "/data/group/cell: syncing the log failed: Input/output error (os error 5)";
const DAMAGE: &str = "/data/group/cell/log-000000000001: damaged at byte 0: entry 5368 is missing";

fn at(second: u64) -> Timestamp {
    START + Duration::from_secs(second)
}

fn outage(attempts: u64, seconds: u64) -> Outage {
    Outage { attempts, lasted: Duration::from_secs(seconds) }
}

#[test]
fn a_cause_is_logged_at_once_and_then_once_a_minute() {
    let mut log = DirectoryLog::default();
    let lines: Vec<(u64, Outage)> = (0..200)
        .filter_map(|second| Some((second, log.open_failed(at(second), DAMAGE)?)))
        .collect();
    let expected = [0, 60, 120, 180].map(|second| (second, outage(second + 1, second)));
    assert_eq!(lines, expected);
    assert_eq!(log.failures(), 200, "failures that are not logged count as well");
}

#[test]
fn another_cause_is_logged_at_once() {
    let mut log = DirectoryLog::default();
    assert_eq!(log.open_failed(at(0), SYNC), Some(outage(1, 0)));
    assert_eq!(log.open_failed(at(1), SYNC), None);
    assert_eq!(log.open_failed(at(2), DAMAGE), Some(outage(3, 2)));
    assert_eq!(log.open_failed(at(3), DAMAGE), None);
}

/// Two causes in turn are not new each time.
#[test]
fn causes_that_alternate_are_bounded_too() {
    let mut log = DirectoryLog::default();
    let cause = |second| if second % 2 == 0 { SYNC } else { DAMAGE };
    let lines = (0..120).filter(|second| log.open_failed(at(*second), cause(*second)).is_some());
    assert_eq!(lines.collect::<Vec<_>>(), [0, 1, 60, 61]);
}

#[test]
fn an_open_that_succeeds_ends_the_outage() {
    let mut log = DirectoryLog::default();
    assert_eq!(log.opened(at(0)), Some(outage(1, 0)), "the first open is logged");
    assert!(log.disk_failed(at(100), SYNC));
    for second in 101..104 {
        log.open_failed(at(second), DAMAGE);
    }
    assert_eq!(log.opened(at(104)), Some(outage(4, 4)));
    assert_eq!(log.failures(), 4);
    assert!(log.disk_failed(at(300), SYNC));
    assert_eq!(log.open_failed(at(301), DAMAGE), Some(outage(1, 1)), "attempts start anew");
    assert_eq!(log.opened(at(302)), Some(outage(2, 2)));
}

/// The directory opens every time and fails at the next write.
#[test]
fn a_disk_that_fails_each_second_is_logged_once_a_minute() {
    let mut log = DirectoryLog::default();
    let mut lines = Vec::new();
    for second in 0..130 {
        if log.opened(at(second)).is_some() {
            lines.push((second, "opened"));
        }
        if log.disk_failed(at(second), SYNC) {
            lines.push((second, "failed"));
        }
    }
    let expected = [
        (0, "opened"),
        (0, "failed"),
        (1, "opened"),
        (60, "failed"),
        (61, "opened"),
        (120, "failed"),
        (121, "opened"),
    ];
    assert_eq!(lines, expected);
    assert_eq!(log.failures(), 130);
}

/// A disk that fails and an open that fails for the same cause are two lines.
#[test]
fn a_failed_open_is_logged_after_a_failed_disk_with_the_same_cause() {
    let mut log = DirectoryLog::default();
    assert!(log.disk_failed(at(0), SYNC));
    assert_eq!(log.open_failed(at(1), SYNC), Some(outage(1, 1)));
    assert_eq!(log.open_failed(at(2), SYNC), None);
    assert_eq!(log.opened(at(3)), Some(outage(3, 3)), "the end of what was logged is logged");
}
