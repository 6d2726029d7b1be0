//! Admission under load, without a network: each test names the load.

use accounts::{Admission, Backlog, Candidate, WorkClass};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const START: Duration = Duration::from_secs(1_000);

fn job() -> Candidate<'static> {
    Candidate {
        account: "river-board",
        over_rate: false,
        due_share: 0.1,
        rate_wait: Duration::ZERO,
        priority: 1,
        objective: 4_000 * MS,
        duration: 1_000 * MS,
        has_room: false,
        seed: 7,
    }
}

fn class(over_rate: bool, priority: u32) -> WorkClass {
    WorkClass { over_rate, priority, ..WorkClass::default() }
}

/// A backlog of work within the rate and beyond it, in cell-seconds.
fn backlog(within: f64, beyond: f64) -> Backlog {
    let mut backlog = Backlog::default();
    backlog.add(class(false, 1), Some(&"others".into()), within);
    backlog.add(class(true, 1), Some(&"flood".into()), beyond);
    backlog
}

/// An admission that has seen the backlog for `time`, while the cell worked off 1 cell-second per
/// second.
fn admission(backlog: &Backlog, time: Duration) -> Admission {
    let mut admission = Admission::default();
    for i in 0..=(time.as_millis() / 50) as u32 {
        admission.observe(backlog, START + 50 * MS * i);
        admission.record_placed(0.05);
    }
    admission
}

/// A burst of one moment, or the first moments of a new leader: nothing is refused until the
/// backlog has lasted.
#[test]
fn nothing_is_refused_before_the_estimate_is_settled() {
    let backlog = backlog(100.0, 0.0);
    let mut admission = admission(&backlog, 1_900 * MS);
    let decision = admission.decide(&job(), &backlog, START + 1_900 * MS);
    assert_eq!(decision.retry_after, None);
}

/// A lasting overload of work within the rate: a job that could start only after it is worthless
/// is refused at once, and one that can be late but of value is not.
#[test]
fn only_what_would_be_worthless_is_refused_within_the_rate() {
    let overload = backlog(30.0, 0.0);
    let own_share_is_used = |backlog: &Backlog| {
        let mut backlog = backlog.clone();
        backlog.add(class(false, 1), Some(&"river-board".into()), 5.0);
        backlog
    };
    let overload = own_share_is_used(&overload);
    let now = START + 5_000 * MS;
    let mut full = admission(&overload, 5_000 * MS);
    let refused = full.decide(&job(), &overload, now);
    assert!(refused.retry_after.is_some(), "{refused:?}");
    assert!(refused.start_in > refused.limit);
    let heavy = own_share_is_used(&backlog(3.0, 0.0));
    let mut late = admission(&heavy, 5_000 * MS);
    let decision = late.decide(&job(), &heavy, now);
    assert_eq!(decision.retry_after, None, "late, but of value: {decision:?}");
    let free = Candidate { has_room: true, ..job() };
    assert_eq!(full.decide(&free, &overload, now).retry_after, None, "workers are free");
}

/// One account sends 7.5 times its usual: its work beyond the rate is refused, and nobody else's
/// work is, however large the flood is.
#[test]
fn a_flood_refuses_the_flood_alone() {
    let flood = backlog(0.5, 500.0);
    let now = START + 5_000 * MS;
    let mut admission = admission(&flood, 5_000 * MS);
    let within = admission.decide(&job(), &flood, now);
    assert_eq!(within.retry_after, None, "{within:?}");
    let beyond = Candidate { over_rate: true, account: "flood", ..job() };
    let refused = admission.decide(&beyond, &flood, now);
    assert!(refused.retry_after.is_some(), "{refused:?}");
}

/// An overload by other accounts within their rates: an account that has nothing waiting gets its
/// share, so that it is never refused.
#[test]
fn an_account_without_backlog_is_not_refused() {
    let overload = backlog(500.0, 0.0);
    let mut admission = admission(&overload, 5_000 * MS);
    let decision = admission.decide(&job(), &overload, START + 5_000 * MS);
    assert_eq!(decision.retry_after, None, "{decision:?}");
}

/// A backlog that moves around the limit: the decision changes twice, not with each movement.
#[test]
fn decisions_do_not_flap_around_the_limit() {
    let now = START + 5_000 * MS;
    let beyond = Candidate { over_rate: true, account: "flood", ..job() };
    let mut admission = admission(&backlog(0.5, 10.0), 5_000 * MS);
    let mut changes = 0;
    let mut refused = false;
    // The limit is 3 s, which is 3 cell-seconds at the measured rate.
    for work in [2.0, 3.3, 2.8, 3.2, 2.7, 3.3, 2.8, 1.0] {
        let decision = admission.decide(&beyond, &backlog(0.0, work), now);
        changes += u32::from(decision.retry_after.is_some() != refused);
        refused = decision.retry_after.is_some();
    }
    assert_eq!(changes, 2);
}

/// Many callers are refused at once: they come back after their own account's backlog, not at the
/// same moment, and within the bounds.
#[test]
fn refused_callers_come_back_spread_and_after_their_own_backlog() {
    let now = START + 5_000 * MS;
    let overload = backlog(40.0, 10.0);
    let mut admission = admission(&overload, 5_000 * MS);
    let mut after = |account: &'static str, seed: u64, due_share: f64| {
        let job = Candidate { over_rate: true, account, seed, due_share, ..job() };
        admission.decide(&job, &overload, now).retry_after.expect("the cell is full")
    };
    let mut times: Vec<Duration> = (0..50).map(|seed| after("flood", seed, 1.0)).collect();
    times.sort_unstable();
    assert!(times[0] >= 9_000 * MS && times[49] <= 30_000 * MS, "{times:?}");
    assert!(times[45] - times[5] >= 2_000 * MS, "they come back together: {times:?}");
    assert!(after("without-backlog", 1, 1.0) <= 1_500 * MS);
}
