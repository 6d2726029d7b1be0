//! A flood of jobs on workers that are too few for it, with an advice service that every start
//! needs.

use emulator::{simulate, Disturbances, Scenario};

const SEED: u64 = 1;

/// Guards against lines full of calls that buy one ticket each, or of calls whose answers only widen
/// the choice: the steps that could start then wait for the service longer than it takes to answer.
#[test]
fn calls_of_a_flood_wait_in_line_no_longer_than_they_take() {
    let summary = simulate(&Scenario::tile_plant(), &Disturbances::with_queue_flood(), SEED);
    println!("seed {SEED}: {summary:?}");
    for (queue, usage) in &summary.advice_usage {
        let total = usage.total();
        assert!(
            total.in_line <= total.time,
            "{queue}: {:?} in line for calls that take {:?}",
            total.in_line,
            total.time
        );
    }
    assert_eq!(summary.over_capacity, 0, "a start exceeded the capacity of a worker");
    assert_eq!(summary.gang_timeouts, 0, "a gang started only in part");
}
