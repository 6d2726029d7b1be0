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
