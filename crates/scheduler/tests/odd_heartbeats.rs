//! Heartbeats of other writers, among those of workers: numbers and ports that no worker can have.

#[allow(dead_code)]
mod world;

use dispatch::InjectedBug;
use jobs::{Phase, ResourceVector, StepSpec};
use scheduler::{Call, WorkerHeartbeat};
use std::time::Duration;
use types::JobId;
use world::{World, DISKS, HOSTS, WORKERS};

/// Changes one field of a heartbeat to a value that no worker can have.
type Change = fn(&mut WorkerHeartbeat);

const ODD: [(&str, Change); 9] = [
    ("born", |heartbeat| heartbeat.info.born = u64::MAX),
    ("clock", |heartbeat| heartbeat.clock = Some(u64::MAX)),
    ("capacity.cpu", |heartbeat| heartbeat.info.capacity.cpu = u64::MAX),
    ("capacity.memory", |heartbeat| heartbeat.info.capacity.memory = u64::MAX),
    ("capacity.gpu", |heartbeat| heartbeat.info.capacity.gpu = u64::MAX),
    ("addr", |heartbeat| heartbeat.info.addr = "10.1.0.9:99999".into()),
    ("addr", |heartbeat| heartbeat.info.addr = "10.1.0.9:0".into()),
    ("addr", |heartbeat| heartbeat.info.addr = "nowhere".into()),
    ("worker", |heartbeat| heartbeat.info.worker = String::new()),
];

fn step(count: u32) -> StepSpec {
    let need = ResourceVector { cpu: 1_000, memory: 100, gpu: 0 };
    StepSpec { count, need, estimate: Duration::from_millis(800), ..StepSpec::default() }
}

/// Guards against hosts that end, or that follow their workers no longer, after one odd heartbeat:
/// the host that gets it, those that learn of it from this one, and later leaders.
#[test]
fn one_odd_heartbeat_disturbs_no_host_and_no_worker() {
    for (field, change) in ODD {
        // Some odd heartbeats carry the name and address of a worker.
        for known in [false, true] {
            let mut world = World::new(7, InjectedBug::None);
            world.configure(1);
            world.run_until(6_000);
            let mut heartbeat = world.heartbeat_of(0);
            if !known {
                (heartbeat.info.worker, heartbeat.info.addr) =
                    ("w5.odd".into(), "10.1.0.9:1".into());
                // Nothing answers at the other address.
                world.cut_workers.insert(5);
            }
            change(&mut heartbeat);
            let context = format!("{field} of {heartbeat:?}");
            for host in 0..HOSTS {
                world.call(host, Call::Heartbeat(Box::new(heartbeat.clone())));
                world.run_until(world.now + 300);
            }
            for host in 0..DISKS {
                assert_eq!(world.known_workers(host), workers(), "{context}: host {host}");
            }
            world.cut_workers.clear();
            world.run_until(world.now + 3_000);
            assert_all_used(&mut world, 1, &context);
            for id in 2..=4 {
                world.submit_steps(id, id % 2 == 0, vec![step(40)]);
                world.run_until(world.now + 2_000);
                // Each job has another leader.
                let leader = world.leader().expect("a leader");
                world.kill(leader);
                world.start(leader, false);
                world.run_until(world.now + 2_000);
            }
            world.run_until(world.now + 10_000);
            assert_all_used(&mut world, 5, &context);
            for id in 1..=5 {
                assert_eq!(world.jobs[&id].shown, Some(Phase::Complete), "{context}: job {id}");
            }
        }
    }
}

/// Submits a job that needs all workers at once, and waits until it is over.
fn assert_all_used(world: &mut World, id: JobId, context: &str) {
    let ends =
        |world: &World| -> Vec<u64> { world.workers.iter().map(|w| w.last_number).collect() };
    let before = ends(world);
    world.submit_steps(id, false, vec![step(8 * WORKERS as u32)]);
    world.run_until(world.now + 10_000);
    let after = ends(world);
    let used = before.iter().zip(&after).all(|(before, after)| before < after);
    assert!(used, "{context}: ends of each worker {before:?}, then {after:?}");
    world.ask_all();
    world.run_until(world.now + 500);
    assert!(world.violations.is_empty(), "{context}: {:?}", world.violations);
}

/// Names and start times of all workers.
fn workers() -> Vec<(String, u64)> {
    (0..WORKERS).map(|w| (format!("w{w}"), 1_000)).collect()
}
