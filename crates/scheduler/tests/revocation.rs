//! A key that was taken away must work nowhere once the bound has passed, on no host, in touch or not.
//! Each mechanism is switched off once, to show that the tests notice its absence.

#[allow(dead_code)]
mod world;

use accounts::{AccountBuilder, Accounts, Admittance};
use consensus::Tuning;
use dispatch::InjectedBug;
use jobs::Configuration;
use scheduler::{
    ConfigurationEnd, ConfigurationPart, Confirmation, Input, Node, NodeConfigBuilder, Output,
    PeerMessage, StartState,
};
use std::time::Duration;
use types::Timestamp;
use world::callers::REVOCATION_BOUND;
use world::{World, DISKS, HOSTS};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A world whose hosts limit how long a revoked key works, if `bounded`, with a leader and the keys "a"
/// and "b" in force.
fn world(seed: u64, bounded: bool, tuning: Tuning) -> World {
    let mut world = World::with_tuning(seed, InjectedBug::None, [0, 7, 40, 900, 0, 3], tuning);
    if bounded {
        world.callers.bound = Some(ms(REVOCATION_BOUND));
        (0..HOSTS).for_each(|i| world.start(i, true));
    }
    world.run_until(4_000);
    world.configure_keys(1, &["a", "b"]);
    world.run_until(6_000);
    world
}

/// A job of key "a" that has ended, so that followers answer reads of it.
fn ended_job(world: &mut World) -> types::JobId {
    let job = world.submit_with(DISKS, "a");
    world.run_until(world.now + 3_000);
    assert!(world.jobs[&job].accepted, "the job of a known key is accepted");
    job
}

fn follower(world: &World) -> usize {
    let leader = world.leader().expect("there is a leader");
    (0..DISKS).find(|i| *i != leader).expect("there are followers")
}

/// Freezes a follower `offset` ms after a fixed moment and cuts it off, so that it wakes up with an
/// answer of the leader that is older than the revocation. Returns what the oracle found.
fn thaw(seed: u64, bounded: bool, offset: u64) -> Vec<String> {
    let mut world = world(seed, bounded, Tuning::default());
    let job = ended_job(&mut world);
    world.run_until(10_000 + offset);
    let frozen = follower(&world);
    world.freeze(frozen, 7_000);
    // What is on its way arrives, and waits for the host to wake up.
    world.run_until(world.now + 5);
    world.cut.insert(frozen);
    world.configure_keys(2, &["b"]);
    world.run_until(world.now + 6_500);
    world.read_with(frozen, Some(job), "a");
    world.run_until(world.now + 3_000);
    world.violations
}

#[test]
fn a_frozen_host_that_wakes_up_serves_no_revoked_key() {
    let heartbeat = 250;
    for seed in [1, 4, 5] {
        for offset in 0..heartbeat {
            let found = thaw(seed, true, offset);
            assert_eq!(found, Vec::<String>::new(), "seed {seed}, offset {offset}");
        }
        assert!(
            (0..heartbeat).any(|offset| !thaw(seed, false, offset).is_empty()),
            "seed {seed}: no case was hard enough"
        );
    }
}

/// Cuts off a leader that goes on to lead, and asks it. Returns what the oracle found.
fn deposed(bounded: bool) -> Vec<String> {
    let bug = consensus::InjectedBug::SkipCheckQuorum;
    let mut world = world(4, bounded, Tuning { injected_bug: bug, ..Tuning::default() });
    let job = ended_job(&mut world);
    let old = world.leader().expect("there is a leader");
    world.cut.insert(old);
    world.group.retain(|i| *i != old);
    world.run_until(world.now + 3_000);
    world.configure_keys(2, &["b"]);
    world.run_until(world.now + 6_000);
    for _ in 0..10 {
        world.read_with(old, Some(job), "a");
        world.read_with(old, None, "a");
        world.run_until(world.now + 100);
    }
    world.run_until(world.now + 3_000);
    world.violations
}

#[test]
fn a_deposed_leader_that_goes_on_serves_no_revoked_key() {
    assert_eq!(deposed(true), Vec::<String>::new());
    assert!(!deposed(false).is_empty(), "the case was not hard enough");
}

#[test]
fn a_host_that_is_cut_off_stops_in_time_and_not_before() {
    let mut world = world(5, true, Tuning::default());
    let (entry, member) = (HOSTS - 1, follower(&world));
    let at = world.now;
    world.cut.extend([entry, member]);
    for (after, expected) in [(3_000, Admittance::Admitted), (4_700, Admittance::Uncertain)] {
        world.run_until(at + after);
        assert_eq!(world.decide(entry, "a"), Some(expected), "entry, {after} ms after the cut");
        assert_eq!(world.decide(member, "a"), Some(expected), "member, {after} ms after the cut");
        assert_eq!(world.decide(entry, "x"), Some(Admittance::Uncertain), "an unknown key");
    }
    world.cut.clear();
    world.run_until(world.now + 1_500);
    assert_eq!(world.decide(entry, "a"), Some(Admittance::Admitted));
    assert_eq!(world.decide(member, "a"), Some(Admittance::Admitted));
    assert_eq!(world.decide(entry, "x"), Some(Admittance::UnknownKey));
}

#[test]
fn jobs_run_on_when_the_last_key_of_their_account_is_revoked() {
    let mut world = world(6, true, Tuning::default());
    let job = world.submit_with(DISKS, "a");
    world.run_until(world.now + 150);
    world.configure_keys(2, &["b"]);
    world.run_until(world.now + 4_000);
    assert!(!world.jobs[&job].done.is_empty(), "the job ends though its account has no key");
    let served = world.callers.served;
    for host in 0..HOSTS {
        world.read_with(host, Some(job), "a");
    }
    world.run_until(world.now + 3_000);
    assert_eq!((world.callers.served, world.callers.rejected), (served, HOSTS as u64));
    // The account gets the same key again.
    world.configure_keys(3, &["a", "b"]);
    world.run_until(world.now + 1_000);
    world.read_with(DISKS, Some(job), "a");
    world.run_until(world.now + 1_000);
    assert_eq!(world.jobs[&job].shown, Some(jobs::Phase::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// One random history of changes of the keys beside failures of hosts and links.
fn history(seed: u64) -> World {
    let mut world = world(seed, true, Tuning::default());
    let keys = ["a", "b", "c", "d"];
    let mut jobs = Vec::new();
    let mut version = 1;
    for step in 0..240 {
        let host = world.rng.usize(..HOSTS);
        let key = keys[world.rng.usize(..keys.len())];
        match world.rng.u8(..100) {
            0..6 => {
                version += 1;
                let held: Vec<&str> = keys.into_iter().filter(|_| world.rng.bool()).collect();
                world.configure_keys(version, &held);
            }
            6..9 => drop(world.cut.insert(host)),
            9..16 => world.cut.clear(),
            16..18 if world.is_running(host) => {
                let span = world.rng.u64(200..9_000);
                world.freeze(host, span);
            }
            18..20 if world.is_running(host) => {
                world.kill(host);
                world.run_until(world.now + 500);
                world.start(host, false);
            }
            20 => world.drain(host),
            21 => world.wall_clock_ahead = world.rng.u64(..5_000_000),
            22..50 => jobs.push(world.submit_with(host, key)),
            _ => {
                let job = (!jobs.is_empty()).then(|| jobs[world.rng.usize(..jobs.len())]);
                world.read_with(host, job, key);
            }
        }
        world.check_entries(key);
        let pause = world.rng.u64(10..if step % 8 == 0 { 900 } else { 150 });
        world.run_until(world.now + pause);
        if !world.violations.is_empty() {
            break;
        }
    }
    world
}

#[test]
fn no_history_lets_a_revoked_key_work_or_rejects_a_new_one_late() {
    let mut served = 0;
    for seed in 0..60 {
        let world = history(seed);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}: {}", world.describe());
        served += world.callers.served;
    }
    assert!(served > 60 * 20, "keyed calls are served: {served}");
}

/// A host without a disk that has sent a heartbeat at 1 s, with an answer to it that gets there later.
fn host() -> (Node, u64) {
    let cfg = NodeConfigBuilder::new("10.0.1.1").seeds(vec!["10.0.0.1".into()]).build();
    let start = StartState { member: 9, process: 9, ..StartState::default() };
    let mut node = Node::new(cfg, start);
    node.step(ms(1_000), Input::Tick);
    (node, 9)
}

fn answer(node: &mut Node, at: Timestamp, version: u64, confirmation: Confirmation) {
    let message = PeerMessage::HeartbeatResponse {
        leader: Some((1, "10.0.0.1".into())),
        members: vec!["10.0.0.1".into()],
        responsive: Vec::new(),
        leads: true,
        version,
        confirmation: Some(Box::new(confirmation)),
    };
    node.step(at, Input::Peer("10.0.0.1".into(), message));
}

#[test]
fn a_confirmation_counts_from_the_question_less_the_doubt_of_the_leader() {
    let (mut node, process) = host();
    let asked =
        |asked_at, age| Confirmation { process, asked_at: ms(asked_at), leader_age: ms(age) };
    assert_eq!(node.confirmed_at(), None);
    answer(&mut node, ms(4_000), 0, asked(1_000, 300));
    assert_eq!(node.confirmed_at(), Some(ms(700)), "neither the receipt nor the question counts");
    answer(&mut node, ms(4_000), 0, asked(900, 500));
    assert_eq!(node.confirmed_at(), Some(ms(700)), "an answer that was overtaken");
    answer(&mut node, ms(4_000), 0, asked(9_000, 0));
    assert_eq!(node.confirmed_at(), Some(ms(700)), "a question that was not asked yet");
    answer(&mut node, ms(4_000), 0, Confirmation { process: 8, ..asked(3_000, 0) });
    assert_eq!(node.confirmed_at(), Some(ms(700)), "a question of an earlier process");
}

#[test]
fn a_newer_version_is_confirmed_once_it_is_there() {
    let (mut node, process) = host();
    let asked = |asked_at| Confirmation { process, asked_at: ms(asked_at), leader_age: ms(0) };
    answer(&mut node, ms(1_010), 0, asked(1_000));
    answer(&mut node, ms(1_260), 7, asked(1_250));
    assert_eq!(node.confirmed_at(), Some(ms(1_000)), "version 7 is not there yet");
    let Configuration { services, limits, accounts, .. } = Configuration::default();
    let accounts_digest = accounts.digest();
    let end = ConfigurationEnd { services, limits, queue_count: 0, accounts_digest };
    let part = ConfigurationPart { version: 7, end: Some(end), ..ConfigurationPart::default() };
    let message = PeerMessage::Configuration(Box::new(part));
    node.step(ms(1_300), Input::Peer("10.0.0.1".into(), message));
    assert_eq!(node.configuration().version, 7);
    assert_eq!(node.confirmed_at(), Some(ms(1_250)));
}

/// Guards against a host that goes on with other accounts than the leader has, with a key that was
/// revoked among them.
#[test]
fn accounts_that_do_not_match_are_asked_for_again() {
    let (mut node, _) = host();
    let accounts = |keys: &[&str]| {
        let account = |key: &&str| AccountBuilder::new(*key).key(key).build();
        Accounts::new(keys.iter().map(account).collect()).unwrap()
    };
    let part = |base, version, sent: &[&str], removed: &[&str], all: &[&str]| {
        let end = ConfigurationEnd {
            services: Vec::new(),
            limits: Configuration::default().limits,
            queue_count: 0,
            accounts_digest: accounts(all).digest(),
        };
        ConfigurationPart {
            base,
            version,
            accounts: accounts(sent).iter().cloned().collect(),
            removed_accounts: removed.iter().map(|name| name.to_string()).collect(),
            end: Some(end),
            ..ConfigurationPart::default()
        }
    };
    let mut receive = |part| {
        let message = PeerMessage::Configuration(Box::new(part));
        let outputs = node.step(ms(1_300), Input::Peer("10.0.0.1".into(), message));
        let asks_for_all = outputs.iter().any(|output| {
            matches!(output, Output::Send(_, PeerMessage::Heartbeat(sent)) if sent.version == 0)
        });
        (node.configuration().version, node.configuration().accounts.clone(), asks_for_all)
    };
    let whole = receive(part(None, 1, &["a", "b"], &[], &["a", "b"]));
    assert_eq!(whole, (1, accounts(&["a", "b"]), false));
    let change = receive(part(Some(1), 2, &["c"], &["a"], &["b", "c"]));
    assert_eq!(change, (2, accounts(&["b", "c"]), false));
    let mismatch = receive(part(Some(2), 3, &["d"], &[], &["c", "d"]));
    assert_eq!(mismatch, (2, accounts(&["b", "c"]), true), "the leader has no b any more");
}
