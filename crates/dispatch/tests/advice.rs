//! Calls to an advice service that is the scarce resource.

use dispatch::{AdviceTracker, CallPriority, CallReason};
use jobs::{AdvicePolicy, StepRef};
use std::time::Duration;

const QUEUE: u32 = 0;
const POLICY: AdvicePolicy = AdvicePolicy {
    per_call: Duration::from_millis(100),
    per_worker: Duration::from_millis(2),
    ticket_life: Duration::from_millis(1_500),
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn step(job: u64) -> StepRef {
    StepRef { job, occurrence: 0, step: 0 }
}

fn tracker(callers: usize) -> AdviceTracker {
    let mut tracker = AdviceTracker::new(0);
    let hosts: Vec<String> = (0..callers).map(|i| format!("10.0.0.{i}")).collect();
    tracker.set_callers(&hosts);
    tracker
}

#[test]
fn calls_are_counted_by_reason_and_tickets_by_use() {
    let mut tracker = tracker(3);
    let first = tracker
        .ask(step(1), QUEUE, vec![1, 2], &POLICY, CallPriority::Needed, ms(0))
        .expect("a host is idle");
    let tickets = vec![(1, "a".to_string()), (2, "b".to_string())];
    tracker.answered(first.number, Some(tickets), ms(104));
    let more = tracker
        .ask(step(1), QUEUE, vec![3], &POLICY, CallPriority::Needed, ms(110))
        .expect("a host is idle");
    tracker.answered(more.number, Some(Vec::new()), ms(212));
    tracker
        .ask(step(1), QUEUE, vec![1], &POLICY, CallPriority::Needed, ms(2_000))
        .expect("a host is idle");
    assert_eq!(tracker.use_ticket(step(1), QUEUE, 2), Some("b"));
    assert_eq!(tracker.use_ticket(step(1), QUEUE, 2), Some("b"));
    assert_eq!(tracker.use_ticket(step(1), QUEUE, 3), None);
    let (_, usage) = tracker.usage().next().expect("calls were made");
    assert_eq!(usage.calls.map(|calls| calls.calls), [1, 1, 1]);
    assert_eq!(usage.calls[CallReason::First as usize].workers, 2);
    assert_eq!((usage.tickets, usage.used), (2, 1));
}

/// While all hosts are busy, a call that only widens the choice is not made, so that it delays none
/// that a step needs.
#[test]
fn spare_calls_wait_for_an_idle_host_and_needed_ones_get_in_line() {
    let mut tracker = tracker(2);
    let mut ask = |job, priority, now| {
        tracker.ask(step(job), QUEUE, vec![1], &POLICY, priority, now).is_some()
    };
    // One host is reserved for short calls.
    assert!(ask(1, CallPriority::Spare, ms(0)));
    assert!(!ask(2, CallPriority::Spare, ms(0)));
    assert!(ask(3, CallPriority::Needed, ms(0)));
    assert!(!ask(2, CallPriority::Spare, ms(203)), "two calls of 102 ms are in line");
    assert!(ask(2, CallPriority::Spare, ms(204)));
}

/// A burst of gangs, whose calls take a second each, fills every host that makes long calls. Short
/// calls of urgent work are made at once during the burst, and a middle one 1 s after its end.
#[test]
fn a_burst_of_gangs_leaves_the_lines_to_urgent_work() {
    let gang = AdvicePolicy { per_call: ms(450), per_worker: ms(6), ..POLICY };
    let urgent = AdvicePolicy { per_call: ms(14), per_worker: ms(1), ..POLICY };
    let mut tracker = tracker(12);
    let lives: Vec<u64> = (0..90).collect();
    let mut now = ms(0);
    for job in 0..400 {
        now = ms(job * 10);
        tracker.ask(step(job), QUEUE, lives.clone(), &gang, CallPriority::Needed, now);
        if job % 10 == 0 {
            let call = tracker
                .ask(step(1_000 + job), 1, vec![1, 2], &urgent, CallPriority::Needed, now)
                .expect("hosts are reserved for short calls");
            tracker.answered(call.number, Some(Vec::new()), now + ms(16));
        }
    }
    let (_, usage) = tracker.usage().find(|(queue, _)| *queue == 1).expect("calls were made");
    assert_eq!(usage.total().in_line, Duration::ZERO);
    let after = now + ms(1_000);
    let middle = tracker.ask(step(2_000), 2, vec![1], &POLICY, CallPriority::Needed, after);
    assert!(middle.is_some(), "the line is still full");
}
