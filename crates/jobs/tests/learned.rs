//! What is learned from runs is part of the replicated state.

use jobs::{Command, State};
use runtimes::{Measured, Observer};
use std::time::Duration;

#[test]
fn a_snapshot_keeps_what_was_learned() {
    let (mut observer, mut known) = (Observer::default(), runtimes::Learned::default());
    let declared = Duration::from_millis(100);
    for step in 0..200_u64 {
        for (worker, took) in [("w1", 600), ("w2", 1_000), ("w3", 1_600)] {
            let took = Duration::from_millis(took);
            observer.record(step, Measured::new(0, declared, took, worker), &mut known);
        }
    }
    let mut state = State::default();
    state.apply(Command::Learned { evidence: Box::new(observer.take_evidence()) });
    let snapshot = postcard::to_stdvec(&state).expect("plain data always encodes");
    let restored: State = postcard::from_bytes(&snapshot).expect("it was just encoded");
    let learned = restored.learned();
    assert!(learned.is_off(0));
    assert!(learned.forecast(0, declared).median > Duration::from_millis(800));
    let slowness = |worker| learned.slowness(worker).0;
    assert!(slowness("w1") < 75 && slowness("w3") > 130, "{} {}", slowness("w1"), slowness("w3"));
}
