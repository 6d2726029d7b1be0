//! Hosts that are replaced, and votes that the settings no longer list: a group must count only votes
//! of hosts that can still answer, or it does not survive the next loss.

mod world;

use std::time::Duration;
use types::JobClass;
use world::{job, World, HOSTS, ZONES};

/// Time after which a host with a new disk has its votes, and a further host may be lost.
const JOIN_TIME: Duration = Duration::from_secs(4);
/// Time within which a group that lost a host accepts work again.
const FAILOVER_TIME: Duration = Duration::from_secs(5);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Restarts all running hosts one after another, so that they read the settings again.
fn restart_in_turn(w: &mut World) {
    for host in 0..HOSTS {
        if w.status(host).is_some() {
            w.restart(host);
            w.run(seconds(3));
        }
    }
}

/// Submits a job of a zone through a host, and returns whether it is accepted in time.
fn accepts_a_job(w: &mut World, host: usize, zone: usize) -> bool {
    let before = w.oracle.accepted_jobs().count();
    for number in 1..=2 {
        let mut spec = job(before as u64 * 10 + number, JobClass::Batch, 1, false);
        spec.zone = Some(ZONES[zone].into());
        w.submit(host, spec);
        w.run(FAILOVER_TIME);
    }
    w.oracle.accepted_jobs().count() > before
}

/// A voter of its zone is replaced by a host of another name, then the other voter is lost.
#[test]
fn the_vote_of_a_host_replaced_under_another_name_ends() {
    let mut w = World::started(&[]);
    w.replace(1, "a2");
    restart_in_turn(&mut w);
    w.start(1);
    w.run(JOIN_TIME);
    assert_eq!(w.wrong_votes(), None);
    w.kill(0);
    w.run(FAILOVER_TIME);
    assert!(accepts_a_job(&mut w, 1, 0), "zone a takes no job after the next loss");
    w.settle();
    assert_eq!(w.oracle.violation, None);
}

/// The replaced host is the witness of one zone's group, and a voter of another's and the cell's.
#[test]
fn the_vote_of_a_witness_replaced_under_another_name_ends() {
    let mut w = World::started(&[]);
    w.replace(2, "b2");
    restart_in_turn(&mut w);
    w.start(2);
    w.run(JOIN_TIME);
    assert_eq!(w.wrong_votes(), None);
    w.kill(0);
    w.run(FAILOVER_TIME);
    assert!(accepts_a_job(&mut w, 1, 0), "zone a takes no job after the next loss");
    w.settle();
    assert_eq!(w.oracle.violation, None);
}
