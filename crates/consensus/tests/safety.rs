//! Random histories of one group against a simple oracle, and each mechanism switched off to show
//! that the oracle notices. Seeds are fixed; a failure prints the shrunk history.

use consensus::{
    Config, Entry, Envelope, HardState, InjectedBug, Member, Payload, Raft, Restored, Role,
    Snapshot, Tuning,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use std::time::Duration;
use types::{MemberId, Timestamp};

const MEMBERS: u64 = 4; // Three voters and a witness's or learner's place.
const HISTORY_OPS: usize = 400;
const SETTLE: Duration = Duration::from_secs(20);

/// One thing that happens to a group.
#[derive(Clone, Copy, Debug)]
enum Op {
    Advance { millis: u64 },
    Deliver { pick: usize },
    Lose { pick: usize },
    Double { pick: usize },
    Propose { member: u64 },
    Crash { member: u64 },
    Restart { member: u64 },
    Pause { member: u64 },
    Resume { member: u64 },
    Cut { one: u64, other: u64 },
    Join,
    Compact { member: u64 },
    HandOver { from: u64, to: u64 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let member = u64::arbitrary(g) % MEMBERS;
        let other = u64::arbitrary(g) % MEMBERS;
        let pick = usize::arbitrary(g);
        match u8::arbitrary(g) % 64 {
            0..=9 => Op::Advance { millis: u64::arbitrary(g) % 400 },
            10..=37 => Op::Deliver { pick },
            38..=40 => Op::Lose { pick },
            41..=43 => Op::Double { pick },
            44..=51 => Op::Propose { member },
            52 => Op::Crash { member },
            53..=54 => Op::Restart { member },
            55 => Op::Pause { member },
            56..=57 => Op::Resume { member },
            58 => Op::Cut { one: member, other },
            59..=60 => Op::Join,
            61..=62 => Op::Compact { member },
            _ => Op::HandOver { from: member, to: other },
        }
    }
}

#[derive(Default)]
struct Disk {
    hard: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

struct Node {
    raft: Raft,
    disk: Disk,
    alive: bool,
    paused: bool,
    applied: Vec<(u64, Payload)>,
}

struct Group {
    nodes: Vec<Node>,
    wire: Vec<Envelope>,
    cut: Vec<(u64, u64)>,
    now: Timestamp,
    tuning: Tuning,
    config: Config,
    next_command: u64,
    lives: u64,
    /// The oracle: what was committed at each place, by whoever said so first.
    committed: Vec<(u64, Payload)>,
    leaders: BTreeMap<u64, MemberId>,
    fault: Option<String>,
}

fn config(last_role: Role) -> Config {
    let role = |i| if i == MEMBERS - 1 { last_role } else { Role::Voter };
    Config::new(
        (0..MEMBERS).map(|i| Member { id: i, host: format!("h{i}"), role: role(i) }).collect(),
    )
}

impl Group {
    fn new(injected_bug: InjectedBug, last_role: Role) -> Group {
        let tuning =
            Tuning { kept_entries: 3, max_message_bytes: 200, injected_bug, ..Tuning::default() };
        let config = config(last_role);
        let now = Duration::from_secs(1);
        let node = |id| Node {
            raft: Raft::new(id, tuning.clone(), Restored::new_group(config.clone()), now, id),
            disk: Disk::default(),
            alive: true,
            paused: false,
            applied: Vec::new(),
        };
        Group {
            nodes: (0..MEMBERS).map(node).collect(),
            wire: Vec::new(),
            cut: Vec::new(),
            now,
            tuning: tuning.clone(),
            config: config.clone(),
            next_command: 0,
            lives: MEMBERS,
            committed: Vec::new(),
            leaders: BTreeMap::new(),
            fault: None,
        }
    }

    fn runs(&self, id: u64) -> bool {
        let node = &self.nodes[id as usize];
        node.alive && !node.paused
    }

    /// Does what the driver of a member must do: disk, then messages, then the state.
    fn drive(&mut self, id: u64) {
        let node = &mut self.nodes[id as usize];
        let ready = node.raft.take_ready();
        if let Some(snapshot) = ready.snapshot {
            if ready.restore {
                node.disk.entries.clear();
                node.applied = decode(&snapshot.data);
            }
            node.disk.entries.retain(|e| e.index > snapshot.index);
            node.disk.snapshot = Some(snapshot);
        }
        if let Some(first) = ready.entries.first() {
            node.disk.entries.retain(|e| e.index < first.index);
            node.disk.entries.extend(ready.entries);
        }
        if let Some(hard) = ready.hard_state {
            node.disk.hard = hard;
        }
        self.wire.extend(ready.messages);
        node.applied.extend(ready.committed.into_iter().map(|e| (e.term, e.payload)));
        self.check(id);
    }

    fn check(&mut self, id: u64) {
        let node = &self.nodes[id as usize];
        let shared = node.applied.len().min(self.committed.len());
        if node.applied[..shared] != self.committed[..shared] {
            self.fault = Some(format!("member {id} applied something else than was committed"));
        }
        if node.applied.len() > shared {
            self.committed.extend_from_slice(&node.applied[shared..]);
        }
        if node.raft.is_leader() {
            let leader = *self.leaders.entry(node.raft.term()).or_insert(id);
            if leader != id {
                let term = node.raft.term();
                self.fault = Some(format!("members {leader} and {id} both lead in term {term}"));
            }
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        let is_cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
        if self.runs(to) && !is_cut {
            self.nodes[to as usize].raft.step(self.now, envelope);
            self.drive(to);
        }
    }

    fn propose(&mut self, id: u64) -> bool {
        self.next_command += 1;
        let data = self.next_command.to_le_bytes().to_vec();
        let taken = self.nodes[id as usize].raft.propose(self.now, data).is_ok();
        self.drive(id);
        taken
    }

    fn restart(&mut self, id: u64) {
        self.lives += 1;
        let node = &mut self.nodes[id as usize];
        let formed = Restored::new_group(self.config.clone());
        let restored = Restored {
            hard_state: node.disk.hard,
            snapshot: node.disk.snapshot.clone().unwrap_or(formed.snapshot),
            entries: node.disk.entries.clone(),
        };
        node.applied = decode(&restored.snapshot.data);
        node.raft = Raft::new(id, self.tuning.clone(), restored, self.now, self.lives);
        (node.alive, node.paused) = (true, false);
        self.drive(id);
    }

    fn advance(&mut self, by: Duration) {
        self.now += by;
        for id in 0..MEMBERS {
            if self.runs(id) {
                self.nodes[id as usize].raft.tick(self.now);
                self.drive(id);
            }
        }
    }

    fn apply(&mut self, op: Op) {
        let pick = |pick: usize, len: usize| (len > 0).then(|| pick % len);
        match op {
            Op::Advance { millis } => self.advance(Duration::from_millis(millis)),
            Op::Deliver { pick: i } => {
                if let Some(i) = pick(i, self.wire.len().min(12)) {
                    let envelope = self.wire.remove(i);
                    self.deliver(envelope);
                }
            }
            Op::Lose { pick: i } => {
                if let Some(i) = pick(i, self.wire.len()) {
                    self.wire.remove(i);
                }
            }
            Op::Double { pick: i } => {
                if let Some(i) = pick(i, self.wire.len()) {
                    self.wire.push(self.wire[i].clone());
                }
            }
            Op::Propose { member } if self.runs(member) => {
                self.propose(member);
            }
            Op::Crash { member } => self.nodes[member as usize].alive = false,
            Op::Restart { member } if !self.nodes[member as usize].alive => self.restart(member),
            Op::Pause { member } => self.nodes[member as usize].paused = true,
            Op::Resume { member } => self.nodes[member as usize].paused = false,
            Op::Cut { one, other } => self.cut.push((one, other)),
            Op::Join => self.cut.clear(),
            Op::Compact { member } if self.runs(member) => {
                let node = &mut self.nodes[member as usize];
                let index = node.applied.len() as u64;
                node.raft.compact(index, encode(&node.applied));
                self.drive(member);
            }
            Op::HandOver { from, to } if self.runs(from) => {
                self.nodes[from as usize].raft.transfer_leadership(self.now, to);
                self.drive(from);
            }
            _ => {}
        }
    }

    /// Ends all faults. A new command must then reach every member.
    fn settle(&mut self) {
        self.cut.clear();
        for id in 0..MEMBERS {
            self.nodes[id as usize].paused = false;
            if !self.nodes[id as usize].alive {
                self.restart(id);
            }
        }
        let until = self.now + SETTLE;
        let mut goal = None;
        while self.now < until && self.fault.is_none() {
            for envelope in std::mem::take(&mut self.wire) {
                self.deliver(envelope);
            }
            self.advance(Duration::from_millis(20));
            let leader =
                (0..MEMBERS).find(|id| self.nodes[*id as usize].raft.has_committed_in_term());
            match (goal, leader) {
                (None, Some(id)) if self.propose(id) => goal = Some(self.next_command),
                (Some(goal), _) if self.all_have(goal) => return,
                // The leader may have been unseated by a message from before; try again.
                (Some(_), None) => goal = None,
                _ => {}
            }
        }
        self.fault.get_or_insert("the group did not settle".to_string());
    }

    fn all_have(&self, command: u64) -> bool {
        let wanted = Payload::Command(command.to_le_bytes().to_vec());
        self.nodes.iter().all(|n| n.applied.iter().any(|(_, p)| *p == wanted))
    }
}

/// The state of a test member is the list of what it applied.
fn encode(applied: &[(u64, Payload)]) -> Vec<u8> {
    postcard::to_stdvec(applied).unwrap()
}

fn decode(data: &[u8]) -> Vec<(u64, Payload)> {
    if data.is_empty() {
        return Vec::new();
    }
    postcard::from_bytes(data).unwrap()
}

fn run(ops: &[Op], injected_bug: InjectedBug, last_role: Role) -> Result<(), String> {
    let mut group = Group::new(injected_bug, last_role);
    for op in ops {
        group.apply(*op);
        if let Some(fault) = group.fault.take() {
            return Err(fault);
        }
    }
    group.settle();
    group.fault.map_or(Ok(()), Err)
}

fn histories(seed: u64, tests: u64) -> QuickCheck {
    println!("seed {seed}, {tests} histories of up to {HISTORY_OPS} steps");
    QuickCheck::new().rng(Gen::from_size_and_seed(HISTORY_OPS, seed)).tests(tests).max_tests(tests)
}

fn holds(ops: Vec<Op>, last_role: Role) -> bool {
    match run(&ops, InjectedBug::None, last_role) {
        Ok(()) => true,
        Err(fault) => {
            println!("{fault}");
            false
        }
    }
}

#[test]
fn histories_of_voters_are_safe_and_settle() {
    histories(1, 600).quickcheck((|ops| holds(ops, Role::Voter)) as fn(Vec<Op>) -> bool);
}

#[test]
fn histories_with_a_witness_are_safe_and_settle() {
    histories(2, 600).quickcheck((|ops| holds(ops, Role::Witness)) as fn(Vec<Op>) -> bool);
}

#[test]
fn histories_with_a_learner_are_safe_and_settle() {
    histories(3, 600).quickcheck((|ops| holds(ops, Role::Learner)) as fn(Vec<Op>) -> bool);
}

macro_rules! oracle_notices {
    ($name:ident, $injected_bug:expr, $seed:expr) => {
        #[test]
        fn $name() {
            fn passes(ops: Vec<Op>) -> bool {
                // A panic inside a weakened member counts as noticed too.
                let run = || run(&ops, $injected_bug, Role::Voter).is_ok();
                std::panic::catch_unwind(run).unwrap_or(false)
            }
            let outcome = histories($seed, 4_000).quicktest(passes as fn(Vec<Op>) -> bool);
            assert!(outcome.is_err(), "{:?} went unnoticed", $injected_bug);
        }
    };
}

oracle_notices!(notices_votes_for_older_logs, InjectedBug::VoteForOlderLog, 11);
oracle_notices!(notices_double_votes, InjectedBug::VoteTwice, 12);
