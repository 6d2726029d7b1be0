//! Request handling of the router: retries, outcomes, priority, load shedding and ejection.

use routing::{
    Action, AttemptResult, Class, InjectedBug, Outcome, Request, Router, RouterBuilder,
    UpstreamInfo,
};
use std::time::Duration;

const START: Duration = Duration::from_secs(1_000);

fn at(millis: u64) -> Duration {
    START + Duration::from_millis(millis)
}

fn router(injected_bug: InjectedBug, upstreams: u32, slots: u32) -> Router {
    let mut router = RouterBuilder::new("a", 3).inject_bug(injected_bug).max_waiting(50).build();
    for i in 0..upstreams {
        let info = UpstreamInfo {
            id: format!("10.0.0.{i}:80"),
            service: "desk".into(),
            zone: "a".into(),
            slots,
            incarnation: 1,
            base_share: slots,
        };
        // Added long before the test's start, so that slow start is over.
        router.set_upstream(Duration::ZERO, info);
    }
    router
}

fn request(exchange: u64, class: Class, idempotent: bool) -> Request {
    let deadline = at(60_000);
    Request { exchange, service: "desk".into(), class, idempotent, deadline }
}

fn sent(actions: &[Action]) -> Vec<(u64, u32)> {
    let sent = |action: &Action| match action {
        Action::Send { exchange, attempt, .. } => Some((*exchange, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

fn outcome(actions: &[Action]) -> Option<Outcome> {
    actions.iter().find_map(|action| match action {
        Action::GiveUp { outcome, .. } => Some(*outcome),
        _ => None,
    })
}

/// Fills the retry budget with 40 successful requests.
fn fill_retry_budget(router: &mut Router, from: u64) {
    for exchange in from..from + 40 {
        router.submit(at(0), request(exchange, Class::Interactive, true));
        router.finish_attempt(at(0), exchange, 1, AttemptResult::Answered { good: true });
    }
}

/// A request whose connection breaks may have run. Sending it again could run it twice, which only
/// idempotent requests allow. A request that was refused or never sent may always be retried.
#[test]
fn what_may_have_run_is_retried_only_if_idempotent() {
    let cases = [
        // (result, idempotent, retried, outcome when not)
        (AttemptResult::Lost, false, false, Some(Outcome::Unknown)),
        (AttemptResult::Lost, true, true, None),
        (AttemptResult::NotSent, false, true, None),
        (AttemptResult::Refused, false, true, None),
    ];
    for (result, idempotent, retried, expected) in cases {
        let mut r = router(InjectedBug::None, 2, 4);
        fill_retry_budget(&mut r, 100);
        r.submit(at(1), request(1, Class::Interactive, idempotent));
        let actions = r.finish_attempt(at(2), 1, 1, result);
        assert_eq!(sent(&actions) == [(1, 2)], retried, "{result:?} {idempotent}");
        assert_eq!(outcome(&actions), expected, "{result:?} {idempotent}");
    }
    let mut unsafe_router = router(InjectedBug::RetryLost, 2, 4);
    fill_retry_budget(&mut unsafe_router, 100);
    unsafe_router.submit(at(1), request(1, Class::Interactive, false));
    let actions = unsafe_router.finish_attempt(at(2), 1, 1, AttemptResult::Lost);
    assert_eq!(sent(&actions), [(1, 2)], "without the check it is sent twice");
}

/// After a lost attempt, later attempts that certainly did not run must not turn the outcome into
/// "not run": the caller would send the request again although it may have run.
#[test]
fn a_lost_request_is_never_reported_as_not_run() {
    let mut r = router(InjectedBug::None, 3, 4);
    fill_retry_budget(&mut r, 100);
    r.submit(at(1), request(1, Class::Interactive, true));
    r.finish_attempt(at(2), 1, 1, AttemptResult::Lost);
    r.finish_attempt(at(3), 1, 2, AttemptResult::NotSent);
    let actions = r.finish_attempt(at(4), 1, 3, AttemptResult::NotSent);
    assert_eq!(outcome(&actions), Some(Outcome::Unknown));
}

/// Guards against a request that makes one upstream after the other fail.
#[test]
fn a_request_that_two_upstreams_have_not_answered_is_not_sent_to_a_third() {
    let mut r = router(InjectedBug::None, 3, 4);
    fill_retry_budget(&mut r, 100);
    r.submit(at(1), request(1, Class::Interactive, true));
    assert_eq!(sent(&r.finish_attempt(at(2), 1, 1, AttemptResult::Lost)), [(1, 2)]);
    let actions = r.finish_attempt(at(3), 1, 2, AttemptResult::Lost);
    assert_eq!(sent(&actions), []);
    assert_eq!(outcome(&actions), Some(Outcome::Unknown));
}

/// Sends 5000 requests whose attempts are all lost and returns retries per request.
fn retry_load(injected_bug: InjectedBug) -> f64 {
    let mut r = router(injected_bug, 5, 1_000);
    let (requests, mut attempts) = (5_000u64, 0u64);
    for exchange in 1..=requests {
        let mut todo = sent(&r.submit(at(0), request(exchange, Class::Interactive, true)));
        while let Some((exchange, attempt)) = todo.pop() {
            attempts += 1;
            todo.extend(sent(&r.finish_attempt(at(0), exchange, attempt, AttemptResult::Lost)));
        }
    }
    attempts as f64 / requests as f64 - 1.0
}

/// Retries must not multiply the load when all upstreams fail.
#[test]
fn retries_add_at_most_a_tenth_when_everything_fails() {
    let with = retry_load(InjectedBug::None);
    let without = retry_load(InjectedBug::UnlimitedRetries);
    println!("retries add {with:.3}, without a budget {without:.3}");
    assert!(with <= 0.10 + 1e-9, "{with}");
    assert!(without > 1.0, "{without}");
}

/// Returns whether an interactive request is sent at once after batch requests have filled all
/// slots open to them.
fn is_interactive_sent(injected_bug: InjectedBug) -> bool {
    let mut r = router(injected_bug, 2, 4);
    for exchange in 1..=40 {
        r.submit(at(0), request(exchange, Class::Batch, true));
    }
    let actions = r.submit(at(1), request(99, Class::Interactive, true));
    sent(&actions) == [(99, 1)]
}

/// Batch requests in flight must not occupy all slots, or interactive requests would wait for them.
#[test]
fn no_interactive_request_waits_behind_batch() {
    assert!(is_interactive_sent(InjectedBug::None));
    assert!(!is_interactive_sent(InjectedBug::NoReservedSlots));
}

#[test]
fn the_limit_is_never_exceeded() {
    let mut r = router(InjectedBug::None, 3, 4);
    let mut open = 0;
    for exchange in 1..=30 {
        open += sent(&r.submit(at(0), request(exchange, Class::Interactive, true))).len();
    }
    assert_eq!(open, 12);
    assert!(r.upstream_stats(at(0)).iter().all(|u| u.in_flight == 4));
}

/// With the queue full (one request in flight and 50 waiting), the next request must fail at once
/// with a retry delay instead of waiting until its deadline.
#[test]
fn a_full_queue_refuses_at_once_with_a_retry_delay() {
    let mut r = router(InjectedBug::None, 1, 1);
    for exchange in 1..=51 {
        assert_eq!(outcome(&r.submit(at(0), request(exchange, Class::Interactive, true))), None);
    }
    let actions = r.submit(at(0), request(99, Class::Interactive, true));
    let Some(Action::GiveUp { outcome, retry_after, .. }) = actions.first() else { panic!() };
    assert_eq!(*outcome, Outcome::NotRun);
    assert!(*retry_after >= Duration::from_secs(1));
}

/// A request that waits when its deadline passes must fail at that time, as not run, even if no
/// other event wakes the router.
#[test]
fn a_deadline_that_passes_while_waiting_is_answered_then() {
    let mut r = router(InjectedBug::None, 1, 1);
    r.submit(at(0), request(1, Class::Interactive, true));
    let soon = Request { deadline: at(500), ..request(2, Class::Interactive, true) };
    assert_eq!(outcome(&r.submit(at(0), soon)), None);
    assert_eq!(r.next_wakeup(), Some(at(500)));
    assert_eq!(outcome(&r.tick(at(500))), Some(Outcome::NotRun));
}

/// If all upstreams fail, ejecting each of them would leave no upstream for the service.
#[test]
fn failing_upstreams_are_ejected_but_at_most_a_third() {
    let mut r = router(InjectedBug::None, 6, 4);
    for exchange in 1..=400 {
        let actions = r.submit(at(exchange), request(exchange, Class::Interactive, false));
        if !sent(&actions).is_empty() {
            r.finish_attempt(at(exchange), exchange, 1, AttemptResult::Answered { good: false });
        }
    }
    let ejected = r.upstream_stats(at(400)).iter().filter(|u| u.ejected).count();
    assert_eq!(ejected, 2, "a third of six");
}

#[test]
fn an_upstream_that_leaves_gets_nothing_new_and_finishes_what_it_has() {
    let mut r = router(InjectedBug::None, 1, 4);
    r.submit(at(0), request(1, Class::Interactive, true));
    r.remove_upstream(&"10.0.0.0:80".to_string());
    let actions = r.submit(at(1), request(2, Class::Interactive, true));
    assert_eq!(outcome(&actions), Some(Outcome::NotRun));
    let actions = r.finish_attempt(at(2), 1, 1, AttemptResult::Answered { good: true });
    assert_eq!(actions, [Action::Deliver { exchange: 1 }]);
}
