//! Random histories in which tasks crash the workers that start them, while hosts are killed,
//! frozen, drained and wiped and workers are cut off. `EBONYWALK_SEED` and `EBONYWALK_HISTORIES`
//! choose the seeds, for longer runs by hand.

mod world;

use state::JobStatus;
use std::time::Duration;
use types::{JobClass, JobSpec, Resources};
use world::{job, World, HOSTS, WORKERS, ZONES};

const FIRST_SEED: u64 = 61;
const HISTORIES: u64 = 12;
const STEPS: usize = 120;
/// A task of a job that is given up ran on this many workers when these crashed.
const CRASHES_TO_GIVE_UP: u32 = 2;
/// A job shares no worker with others for this long after a crash.
const TIME_APART: Duration = Duration::from_secs(60);

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

fn deadly(number: u64, class: JobClass) -> JobSpec {
    let spec = job(number, class, 1 + number as u32 % 2, false);
    JobSpec { name: format!("deadly{number}"), command: vec!["crash".into()], ..spec }
}

/// Losses of hosts, of which at most one at a time is down, frozen or wiped.
fn trouble(w: &mut World, rng: &mut fastrand::Rng, down: &mut Option<usize>) {
    if let Some(host) = down.take() {
        w.restart(host);
        return;
    }
    let host = rng.usize(..HOSTS);
    match rng.u8(..4) {
        0 => w.kill(host),
        1 => w.pause(host),
        2 => w.drain(host),
        _ => w.kill_all(),
    }
    *down = Some(host);
}

fn run(seed: u64) -> Result<u32, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut w = World::started(&[]);
    let mut down = None;
    for number in 1..=STEPS as u64 {
        let class = if rng.u8(..4) == 0 { JobClass::AllAtOnce } else { JobClass::Batch };
        let spec = match rng.u8(..12) {
            0 => deadly(number, class),
            _ => job(number, class, rng.u32(1..=3), false),
        };
        w.submit(rng.usize(..HOSTS), spec);
        if rng.u8(..10) == 0 {
            trouble(&mut w, &mut rng, &mut down);
        }
        let cut = rng.usize(..WORKERS * 20);
        if cut < WORKERS {
            w.workers[cut].cut_off(true);
        } else if cut < WORKERS * 3 {
            w.workers[cut % WORKERS].cut_off(false);
        }
        w.run(Duration::from_millis(rng.u64(50..700)));
        if let Some(violation) = w.oracle.violation.take() {
            return Err(violation);
        }
    }
    w.settle();
    if let Some(violation) = w.oracle.violation.take() {
        return Err(violation);
    }
    check_jobs(&w).map(|()| w.oracle.crashes())
}

/// Deadly jobs must have failed, and no other job may have been given up without a cause.
fn check_jobs(w: &World) -> Result<(), String> {
    for zone in 0..ZONES.len() {
        for job in w.zone_state(zone).jobs().values() {
            let key = job.spec.key();
            let task = |index| format!("{key}#{index}");
            let crashes = (0..job.spec.tasks).map(|index| w.oracle.crashes_under(&task(index)));
            let most = crashes.max().unwrap_or(0);
            let given_up = job.reason.contains("workers crashed under");
            if given_up && most < CRASHES_TO_GIVE_UP {
                return Err(format!("{key} was given up after {most} crashes: {}", job.reason));
            }
            if job.spec.command == ["crash"] && job.status != JobStatus::Failed {
                return Err(format!("{key} crashes workers and is {:?}", job.status));
            }
        }
    }
    Ok(())
}

/// Guards against tasks that crash one worker of the native cell after the other, and jobs that are
/// given up without a cause.
#[test]
fn promises_hold_while_tasks_crash_workers() {
    let (first, count) =
        (setting("EBONYWALK_SEED", FIRST_SEED), setting("EBONYWALK_HISTORIES", HISTORIES));
    println!("histories: {count} from seed {first}");
    let mut failures = Vec::new();
    let mut crashes = 0;
    for seed in first..first + count {
        match run(seed) {
            Ok(count) => crashes += u64::from(count),
            Err(cause) => failures.push(format!("seed {seed}: {cause}")),
        }
    }
    assert!(failures.is_empty(), "{} of {count} fail:\n{}", failures.len(), failures.join("\n"));
    assert!(crashes > count * 5, "only {crashes} crashes: too few for a meaningful test");
}

/// Guards against workers that stay closed to other jobs for as long as a job lasts under which they
/// have crashed, and not only for the time for which it is kept apart.
#[test]
fn others_start_beside_a_job_that_was_kept_apart_after_a_crash() {
    let mut w = World::started(&[]);
    let in_zone: Vec<usize> = (0..WORKERS).filter(|w| w % ZONES.len() == 0).collect();
    let spec = |number: u64, tasks: usize, cpu: u64| {
        let plain = job(number, JobClass::Batch, tasks as u32, false);
        let resources = Resources { cpu, ..plain.resources };
        let command = vec!["serve".into()];
        JobSpec { resources, command, urgent: false, zone: Some(ZONES[0].into()), ..plain }
    };
    // Its tasks last, and there is room for one on each worker.
    w.submit(0, spec(1, in_zone.len(), 3_000));
    w.run(Duration::from_secs(3));
    assert_eq!(w.oracle.live_runs(), in_zone.len());
    for i in &in_zone {
        w.workers[*i].crash(&mut w.oracle);
        w.run(Duration::from_secs(3));
        assert_eq!(w.oracle.live_runs(), in_zone.len(), "restarted");
    }
    w.run(TIME_APART);
    w.submit(0, spec(2, in_zone.len(), 1_000));
    w.run(Duration::from_secs(3));
    assert_eq!(w.oracle.live_runs(), 2 * in_zone.len(), "others run beside it");
    assert_eq!(w.oracle.violation.take(), None);
}
