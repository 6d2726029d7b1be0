//! Hosts that are replaced, and votes that the settings no longer list: a group must count only votes
//! of hosts that can still answer, or it does not survive the next loss.

mod world;

use host::{GroupId, InjectedBug};
use std::time::Duration;
use types::{JobClass, ReleaseNote, TeamQuota};
use world::{job, World, HOSTS, ZONES};

/// Time after which a host with a new disk has its votes, and a further host may be lost.
const JOIN_TIME: Duration = Duration::from_secs(4);
/// Time within which a group that lost a host accepts work again.
const FAILOVER_TIME: Duration = Duration::from_secs(5);

/// Random histories of changed settings to try.
const CHANGE_HISTORIES: u64 = 20;
const ALL: [usize; HOSTS] = [0, 1, 2, 3, 4, 5];

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Restarts those of the hosts that run one after another, so that they read the settings again.
fn restart_in_turn(w: &mut World, hosts: &[usize]) {
    for host in hosts {
        if w.status(*host).is_some() {
            w.restart(*host);
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

/// Applies a release note through a host, and returns whether it is accepted in time.
fn accepts_a_release(w: &mut World, host: usize) -> bool {
    let base = w.release_version(host).unwrap();
    let quota = TeamQuota { team: "t".into(), weight: 2.0, limit: 1.0 };
    let note = ReleaseNote { base, quotas: vec![quota], ..ReleaseNote::default() };
    w.apply_note(host, format!("after{base}"), note);
    w.run(FAILOVER_TIME);
    w.release_version(host) > Some(base)
}

/// A group at a host that hears of no leader, if there is one.
fn leaderless_group(w: &World) -> Option<String> {
    let statuses = (0..HOSTS).filter_map(|host| w.status(host));
    let mut groups = statuses.flat_map(|s| s.groups.into_iter().map(move |g| (s.host.clone(), g)));
    let found = groups.find(|(_, group)| group.leader.is_none());
    found.map(|(host, group)| format!("{host} knows no leader of {}", group.group))
}

/// A voter of its zone is replaced by a host of another name, then the other voter is lost.
#[test]
fn the_vote_of_a_host_replaced_under_another_name_ends() {
    let mut w = World::started(&[]);
    w.replace(1, "a2");
    restart_in_turn(&mut w, &ALL);
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
    restart_in_turn(&mut w, &ALL);
    w.start(2);
    w.run(JOIN_TIME);
    assert_eq!(w.wrong_votes(), None);
    w.kill(0);
    w.run(FAILOVER_TIME);
    assert!(accepts_a_job(&mut w, 1, 0), "zone a takes no job after the next loss");
    w.settle();
    assert_eq!(w.oracle.violation, None);
}

/// With one of four votes dead, two hosts of a zone of three votes would be no majority any more.
#[test]
fn the_vote_of_a_lost_host_never_counts_beside_that_of_its_successor() {
    for name in ["a1", "a2"] {
        let mut w = World::started(&[]);
        w.replace(1, name);
        restart_in_turn(&mut w, &ALL);
        w.start(1);
        for millis in (0..JOIN_TIME.as_millis()).step_by(10) {
            w.run(Duration::from_millis(10));
            assert_eq!(w.surplus_vote(), None, "{millis} ms after {name} started");
        }
        assert_eq!(w.wrong_votes(), None);
    }
}

/// The witnesses move to other hosts. A cut-off zone has two votes, which must be enough.
#[test]
fn the_vote_of_a_witness_that_moves_ends() {
    let mut w = World::started(&[]);
    w.voters.witness = 1;
    restart_in_turn(&mut w, &ALL);
    w.run(JOIN_TIME);
    assert_eq!(w.wrong_votes(), None);
    assert_eq!(leaderless_group(&w), None);
    w.cut_zone(0);
    w.run(FAILOVER_TIME);
    assert!(accepts_a_job(&mut w, 0, 0), "zone a takes no job while it is cut off");
    w.settle();
    assert_eq!(w.oracle.violation, None);
}

/// A voter is down while the witnesses move. The former witness of its zone may then be lost.
#[test]
fn the_vote_of_a_witness_that_moves_ends_although_a_voter_is_down() {
    let mut w = World::started(&[]);
    w.voters.witness = 1;
    w.kill(2);
    restart_in_turn(&mut w, &ALL);
    w.run(JOIN_TIME);
    assert_eq!(w.wrong_votes(), None);
    w.kill(4);
    w.run(FAILOVER_TIME);
    assert!(accepts_a_job(&mut w, 3, 1), "zone b takes no job without its former witness");
    w.settle();
    assert_eq!(w.oracle.violation, None);
}

/// A former witness is down while its vote ends, and holds the group's log when it comes back.
#[test]
fn a_host_that_was_down_while_its_vote_ended_finds_the_leader() {
    let mut w = World::started(&[]);
    w.voters.witness = 1;
    w.kill(2);
    restart_in_turn(&mut w, &ALL);
    w.run(JOIN_TIME);
    assert_eq!(w.wrong_votes(), None);
    w.start(2);
    w.run(JOIN_TIME);
    assert_eq!(leaderless_group(&w), None);
    assert_eq!(w.wrong_votes(), None);
}

/// The settings list three of the five voters. The other two may go, and then one of the three.
#[test]
fn the_votes_of_hosts_that_the_settings_list_no_more_end() {
    let mut w = World::started(&[]);
    w.voters.cell = vec![0, 2, 5];
    restart_in_turn(&mut w, &ALL);
    w.run(JOIN_TIME);
    assert_eq!(w.wrong_votes(), None);
    assert_eq!(leaderless_group(&w), None);
    for lost in [1, 3, 4, 0] {
        w.kill(lost);
    }
    w.run(FAILOVER_TIME);
    assert!(accepts_a_release(&mut w, 2), "the cell takes no release after the next loss");
    w.settle();
    assert_eq!(w.oracle.violation, None);
}

/// The leader itself loses its vote by the settings, which it has read before the others.
#[test]
fn a_leader_that_the_settings_list_no_more_gives_up_its_vote() {
    let mut w = World::started(&[]);
    let withdrawn = 4;
    w.voters.cell = vec![0, 1, 2];
    w.restart(withdrawn);
    w.run(seconds(3));
    (0..withdrawn).for_each(|host| w.drain(host));
    let mut leads_within = |time: u64, expected: bool| {
        (0..time * 50).any(|_| {
            w.run(Duration::from_millis(20));
            w.leader_of(&GroupId::Cell).is_some_and(|leader| (leader == withdrawn) == expected)
        })
    };
    assert!(leads_within(4, true), "host {withdrawn} never led the cell's group");
    assert!(leads_within(1, false), "host {withdrawn} goes on to lead the cell's group");
    restart_in_turn(&mut w, &ALL);
    w.run(JOIN_TIME);
    assert_eq!(w.wrong_votes(), None);
    assert_eq!(leaderless_group(&w), None);
    w.settle();
    assert_eq!(w.oracle.violation, None);
}

/// While a zone's witness moves, any one host may be lost: the old vote ends only after the new one
/// counts.
#[test]
fn a_host_lost_while_a_vote_moves_stops_nothing() {
    for lost in 0..4 {
        for after in (0..2_000).step_by(100) {
            let mut w = World::started(&[]);
            w.voters.witness = 1;
            restart_in_turn(&mut w, &[2, 3, 4, 5]);
            w.restart(0);
            w.restart(1);
            w.run(Duration::from_millis(after));
            w.kill(lost);
            w.run(FAILOVER_TIME);
            let host = if lost == 0 { 1 } else { 0 };
            let accepts = accepts_a_job(&mut w, host, 0);
            assert!(accepts, "zone a takes no job after host {lost} was lost at {after} ms");
            assert_eq!(w.oracle.violation, None);
        }
    }
}

/// What happens while a host with a new disk joins.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    /// The cell's leader is drained, and the zone's leader restarts.
    LeadersChange,
    /// The joining host is down for some seconds and keeps its disk.
    JoinerRestarts,
    /// The joining host loses its disk again.
    JoinerIsWipedAgain,
}

impl Interruption {
    fn apply(self, w: &mut World, joining: usize) {
        match self {
            Interruption::LeadersChange => {
                if let Some(leader) = w.leader_of(&GroupId::Cell) {
                    w.drain(leader);
                }
                if let Some(leader) = w.zone_leader(0) {
                    w.kill(leader);
                    w.run(seconds(1));
                    w.start(leader);
                }
                w.run(FAILOVER_TIME);
            }
            Interruption::JoinerRestarts => {
                w.kill(joining);
                w.run(seconds(3));
                w.start(joining);
            }
            Interruption::JoinerIsWipedAgain => {
                w.erase(joining);
                w.run(seconds(2));
                w.start(joining);
            }
        }
    }
}

/// A host joins in the place of a lost one, and its joining is interrupted at any moment. Returns
/// what is wrong with the votes afterwards, or with the zone after its other voter is lost too.
fn join_interrupted(
    bugs: &[InjectedBug],
    name: &str,
    interruption: Interruption,
    after: u64,
) -> Option<String> {
    let mut w = World::started(bugs);
    w.replace(1, name);
    restart_in_turn(&mut w, &ALL);
    w.start(1);
    w.run(Duration::from_millis(after));
    interruption.apply(&mut w, 1);
    w.run(JOIN_TIME);
    if let Some(wrong) = w.wrong_votes() {
        return Some(wrong);
    }
    if !w.is_repaired() {
        return Some("the new disk is not the one that votes".to_string());
    }
    w.kill(0);
    w.run(FAILOVER_TIME);
    if !accepts_a_job(&mut w, 1, 0) {
        return Some("zone a takes no job after the next loss".to_string());
    }
    w.oracle.violation
}

/// Interrupts the joining of a host at many moments. The first fault found, or none.
fn joins_interrupted(bugs: &[InjectedBug], name: &str, kind: Interruption) -> Option<String> {
    (0..1_500).step_by(100).find_map(|after| {
        let fault = join_interrupted(bugs, name, kind, after)?;
        Some(format!("{kind:?} after {after} ms: {fault}"))
    })
}

macro_rules! old_votes_end {
    ($($name:ident: $host:expr, $kind:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(joins_interrupted(&[], $host, $kind), None);
            let fault = joins_interrupted(&[InjectedBug::KeepOldVotes], $host, $kind);
            println!("with old votes kept: {fault:?}");
            assert!(fault.is_some(), "the case passes although old votes are kept");
        }
    )*};
}

old_votes_end! {
    the_old_vote_of_a_wiped_host_ends_although_leaders_change:
        "a1", Interruption::LeadersChange;
    the_old_vote_of_a_wiped_host_ends_although_it_restarts:
        "a1", Interruption::JoinerRestarts;
    the_old_vote_of_a_wiped_host_ends_although_it_is_wiped_again:
        "a1", Interruption::JoinerIsWipedAgain;
    the_vote_of_a_replaced_host_ends_although_leaders_change:
        "a2", Interruption::LeadersChange;
    the_vote_of_a_replaced_host_ends_although_the_new_one_restarts:
        "a2", Interruption::JoinerRestarts;
    the_vote_of_a_replaced_host_ends_although_the_new_one_is_wiped:
        "a2", Interruption::JoinerIsWipedAgain;
}

/// The settings change again and again, and each time one host is down, or loses its disk, while the
/// others read them in any order. Afterwards the votes are those of the last settings.
#[test]
fn votes_follow_the_settings_after_any_changes() {
    for seed in 0..CHANGE_HISTORIES {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut w = World::started(&[]);
        for _ in 0..3 {
            let mut order = ALL;
            rng.shuffle(&mut order);
            let count = if rng.bool() { 3 } else { 5 };
            w.voters.cell = rng.choose_multiple(ALL, count);
            w.voters.cell.sort_unstable();
            w.voters.witness = rng.usize(..2);
            let (down, others) = (order[0], &order[1..]);
            let wiped = rng.bool() && w.wipe(down);
            if !wiped {
                w.kill(down);
            }
            w.run(Duration::from_millis(rng.u64(..4_000)));
            restart_in_turn(&mut w, others);
            w.start(down);
            w.run(FAILOVER_TIME + JOIN_TIME);
            assert_eq!(w.wrong_votes(), None, "seed {seed}");
            assert_eq!(leaderless_group(&w), None, "seed {seed}");
        }
        w.settle();
        assert_eq!(w.oracle.violation, None, "seed {seed}");
    }
}
