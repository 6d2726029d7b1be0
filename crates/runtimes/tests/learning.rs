//! Forecasts and speeds that are learned from runs.

use runtimes::{Learned, Measured, Observer};
use std::time::Duration;

const QUEUE: u32 = 3;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn percent(duration: Duration, percent: u64) -> Duration {
    duration.mul_f64(percent as f64 / 100.0)
}

/// Learns runs of steps of four tasks each, whose work is about one second. Declared times are off
/// by up to `off`, tasks of a step differ by 15%, `w0` to `w8` have three speeds.
fn learn(steps: u64, work: Duration, off: f64) -> (Learned, Observer<u64>) {
    let (mut learned, mut observer) = (Learned::default(), Observer::default());
    relearn(&mut learned, &mut observer, steps, work, off);
    (learned, observer)
}

fn relearn(
    learned: &mut Learned,
    observer: &mut Observer<u64>,
    steps: u64,
    work: Duration,
    off: f64,
) {
    let mut rng = fastrand::Rng::with_seed(7);
    for step in 0..steps {
        let declared = work.mul_f64(1.0 + off * (rng.f64() * 2.0 - 1.0));
        for _ in 0..4 {
            let worker = rng.usize(..9);
            let slowness = [0.6, 1.0, 1.6][worker % 3];
            let own = 1.0 + 0.15 * (rng.f64() * 2.0 - 1.0);
            let run = Measured::new(QUEUE, declared, work.mul_f64(slowness * own), &name(worker));
            observer.record(step, run, learned);
        }
    }
}

fn name(worker: usize) -> String {
    format!("w{worker}")
}

#[test]
fn speeds_are_told_from_wrong_declared_times() {
    let (learned, _) = learn(200, ms(1_000), 0.9);
    let middle = f64::from(learned.slowness("w1").0);
    println!("the middle speed is {middle}");
    for worker in 0..9 {
        let expected = [0.6, 1.0, 1.6][worker % 3];
        let found = f64::from(learned.slowness(&name(worker)).0) / middle;
        assert!((found / expected - 1.0).abs() < 0.2, "w{worker}: {found:.2}, not {expected}");
    }
    assert!(learned.is_uneven());
}

#[test]
fn a_long_task_says_nothing_about_its_worker() {
    let (mut learned, mut observer) = learn(200, ms(1_000), 0.0);
    let before = learned.slowness("w0").0;
    for step in 1_000..1_004 {
        for (worker, took) in [("w1", 1_000), ("w4", 1_000), ("w0", 7 * 600)] {
            observer.record(step, Measured::new(QUEUE, ms(1_000), ms(took), worker), &mut learned);
        }
    }
    assert_eq!(learned.slowness("w0").0, before);
}

#[test]
fn declared_times_stand_until_many_runs_show_that_they_are_off() {
    let (mut learned, mut observer) = (Learned::default(), Observer::default());
    for step in 0..15 {
        observer.record(step, Measured::new(QUEUE, ms(100), ms(1_000), "w1"), &mut learned);
        assert_eq!(learned.forecast(QUEUE, ms(100)).median, ms(100));
    }
    observer.record(15, Measured::new(QUEUE, ms(100), ms(1_000), "w1"), &mut learned);
    let forecast = learned.forecast(QUEUE, ms(100));
    assert!(forecast.learned && forecast.median > ms(800), "{forecast:?}");
}

#[test]
fn declared_times_that_are_right_within_a_half_stand() {
    for off in [0.0, 0.2, 0.5] {
        assert!(!learn(500, ms(1_000), off).0.is_off(QUEUE), "off by {off}");
    }
    let (learned, _) = learn(500, ms(1_000), 0.2);
    assert_eq!(learned.forecast(QUEUE, ms(900)).high, ms(900));
    assert!(!learned.is_off(QUEUE + 1));
}

#[test]
fn forecasts_come_near_the_work_though_declared_times_are_off_by_nine_tenths() {
    let (learned, _) = learn(500, ms(1_000), 0.9);
    assert!(learned.is_off(QUEUE));
    let sound = ms(1_000).mul_f64(100.0 / f64::from(learned.slowness("w1").0));
    for declared in [150, 300, 600, 1_000, 1_800] {
        let median = learned.forecast(QUEUE, ms(declared)).median;
        let range = percent(sound, 75)..percent(sound, 135);
        assert!(range.contains(&median), "declared {declared} ms: {median:?}");
    }
}

#[test]
fn a_queue_that_changes_is_relearned_within_three_hundred_runs_declared_alike() {
    let (mut learned, mut observer) = learn(500, ms(1_000), 0.9);
    for i in 0..300 {
        let run = Measured::new(QUEUE, ms(1_000), ms(5_000), "w1");
        observer.record(10_000 + i, run, &mut learned);
    }
    let median = learned.forecast(QUEUE, ms(1_000)).median;
    let expected = ms(5_000).mul_f64(100.0 / f64::from(learned.slowness("w1").0));
    assert!(median > percent(expected, 80) && median < percent(expected, 125), "{median:?}");
}

#[test]
fn runs_that_were_stopped_count_as_at_least_as_long() {
    let (mut learned, mut observer) = (Learned::default(), Observer::default());
    for step in 0..100 {
        let finished = Measured::new(QUEUE, ms(100), ms(1_000), "w1");
        let took = if step % 2 == 0 { ms(3_000) } else { ms(1_000) };
        observer.record(step, Measured { took, censored: step % 4 == 0, ..finished }, &mut learned);
    }
    let with_censored = learned.forecast(QUEUE, ms(100));
    assert!(with_censored.high > ms(2_500), "{with_censored:?}");
    assert!(with_censored.mean > ms(1_800), "{with_censored:?}");
}

#[test]
fn replicas_that_apply_the_evidence_know_as_much_as_the_leader() {
    let (learned, mut observer) = learn(500, ms(1_000), 0.9);
    let mut replica = Learned::default();
    replica.apply(&observer.take_evidence());
    assert!(observer.take_evidence().is_empty());
    for worker in 0..9 {
        assert_eq!(replica.slowness(&name(worker)), learned.slowness(&name(worker)));
    }
    assert_eq!(replica.is_off(QUEUE), learned.is_off(QUEUE));
}

#[test]
fn memory_is_bounded() {
    let (mut learned, mut observer) = (Learned::default(), Observer::default());
    for i in 0..30_000_u64 {
        let declared = ms(1 + i * i % 100_000);
        let run = Measured::new(i as u32 % 90, declared, ms(1 + i % 7_000), &format!("w{i}"));
        observer.record(i / 4, run, &mut learned);
    }
    let (histograms, workers) = learned.sizes();
    assert!(histograms <= 1_024 && workers <= 20_000, "{histograms} histograms, {workers} workers");
}

/// A second on a busy cell: 600 runs of three queues on 350 workers. What the leader writes goes to
/// every member of the group.
#[test]
fn what_is_written_in_a_second_stays_small() {
    let (mut learned, mut observer) = (Learned::default(), Observer::default());
    let mut rng = fastrand::Rng::with_seed(3);
    for i in 0..600_u64 {
        let declared = ms(rng.u64(100..8_000));
        let took = percent(declared, rng.u64(50..1_000));
        let worker = format!("worker-10-2-{}", rng.u32(..350));
        observer.record(i / 3, Measured::new(i as u32 % 3, declared, took, &worker), &mut learned);
    }
    let evidence = postcard::to_stdvec(&observer.take_evidence()).expect("plain data encodes");
    let state = postcard::to_stdvec(&learned).expect("plain data encodes");
    println!("{} bytes of evidence, {} bytes of state", evidence.len(), state.len());
    assert!(evidence.len() <= 8 << 10, "{} bytes a second", evidence.len());
}
