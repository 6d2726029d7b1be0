//! Runs random histories of a group of three members, each with its store on a simulated disk, against
//! an oracle. Members are killed at any change of their disk, also while they open it, alone or all at
//! once; one, two or all lose power; messages are delayed, reordered and lost; syncs fail.
//!
//! `EBONYWALK_HISTORIES` and `EBONYWALK_SEED` set the number of histories and the first seed.

mod support;

use consensus::{Config, Envelope, Member, Message, Payload, Raft, Ready};
use consensus::{Restored, Role, Term, Tuning};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::time::Duration;
use storage::{DataDir, Error, Files, GroupStore};
use support::SimDisk;
use types::{MemberId, Timestamp};

const MEMBERS: usize = 3;
const DATA_DIR: &str = "/data";
const DEFAULT_HISTORIES: u64 = 100;
const DEFAULT_SEED: u64 = 1;
/// Times are in milliseconds.
const STEP: u64 = 5;
const FAULT_PERIOD: u64 = 20_000;
/// Members that are killed together are all down after this time.
const KILL_PERIOD: u64 = 40;
/// A leader must be elected, and all members be up to date, by this time.
const END: u64 = FAULT_PERIOD + 15_000;
/// Ten histories show little if they have less than this together.
const MIN_COUNTS: [(&str, u64); 5] =
    [("committed", 1_000), ("kill", 100), ("failed open", 50), ("power loss", 50), ("restore", 5)];

/// Applied entries, from index 1 on.
type Applied = Vec<(Term, Payload)>;
/// How often something happened.
type Counts = BTreeMap<&'static str, u64>;
/// Something that a process handles.
type Input = Box<dyn FnOnce(&mut Process, Timestamp)>;

struct Process {
    raft: Raft,
    store: GroupStore,
    applied: Applied,
}

struct Host {
    disk: SimDisk,
    id: MemberId,
    /// Whether the host has been a member of the group.
    formed: bool,
    process: Option<Process>,
    /// When the process starts, if it does not run.
    start: Timestamp,
}

#[derive(Default)]
struct Group {
    hosts: Vec<Host>,
    config: Config,
    /// Whether syncs of the log do something.
    syncs_log: bool,
    rng: Rng,
    now: Timestamp,
    /// Whether faults and load have ended.
    settles: bool,
    next_fault: Timestamp,
    /// How long a host that stopped is down.
    outage: Duration,
    /// Planned ends of processes: when, of which host, and whether it loses power.
    stops: Vec<(Timestamp, usize, bool)>,
    /// Messages, and when they arrive.
    in_flight: Vec<(Timestamp, Envelope)>,
    /// The oracle: the committed entries, as first applied by any member.
    committed: Applied,
    leaders: BTreeMap<Term, MemberId>,
    votes: BTreeMap<(MemberId, Term), MemberId>,
    /// The first violation.
    fault: Option<String>,
    counts: Counts,
}

impl Process {
    /// Handles a batch of inputs. What it returns is on the disk.
    fn run(&mut self, now: Timestamp, inputs: Vec<Input>) -> Result<Vec<Ready>, Error> {
        let mut batch = Vec::new();
        for input in inputs {
            input(self, now);
            let ready = self.raft.take_ready();
            self.store.append(&ready)?;
            batch.push(ready);
        }
        self.store.sync()?;
        Ok(batch)
    }

    fn compact(&mut self) {
        let data = postcard::to_stdvec(&self.applied).expect("plain data encodes");
        self.raft.compact(self.applied.len() as u64, data);
    }
}

impl Host {
    /// A host with an identity, made by processes that were killed, also right after they had it.
    fn new(i: usize, rng: &mut Rng) -> Host {
        let disk = SimDisk::new(rng.u64(..));
        loop {
            let files = disk.start_process();
            disk.kill_after(rng.u32(..8));
            let opened = open_dir(files, i, rng).map(|dir| dir.identity().member);
            if rng.bool() {
                disk.lose_power();
            }
            match opened {
                Ok(id) => return Host { disk, id, formed: false, process: None, start: millis(0) },
                Err(e) => assert_eq!(e.kind(), storage::ErrorKind::Io, "h{i}: {e}"),
            }
        }
    }
}

fn open_dir(files: Files, i: usize, rng: &mut Rng) -> Result<DataDir, Error> {
    DataDir::open_unlocked(files, Path::new(DATA_DIR), &format!("h{i}"), "zone-a", rng.u64(..))
}

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Group {
    fn new(seed: u64, failing_syncs: u32, syncs_log: bool) -> Group {
        let mut rng = Rng::with_seed(seed);
        let hosts: Vec<Host> = (0..MEMBERS).map(|i| Host::new(i, &mut rng)).collect();
        hosts.iter().for_each(|host| host.disk.fail_syncs(failing_syncs));
        let member =
            |i: usize| Member { id: hosts[i].id, host: format!("h{i}"), role: Role::Voter };
        let config = Config::new((0..MEMBERS).map(member).collect());
        let (outage, next_fault) = (millis(rng.u64(20..1_000)), millis(1_000));
        Group { hosts, config, syncs_log, rng, outage, next_fault, ..Group::default() }
    }

    fn one_in(&mut self, n: u32) -> bool {
        self.rng.u32(..n) == 0
    }

    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    fn check(&mut self, holds: bool, fault: String) {
        if !holds {
            self.fault.get_or_insert(fault);
        }
    }

    fn open(&mut self, i: usize) -> Result<(MemberId, GroupStore, Option<Restored>), Error> {
        let files = self.hosts[i].disk.start_process();
        if !self.settles && self.one_in(3) {
            self.hosts[i].disk.kill_after(self.rng.u32(..12));
        }
        let dir = open_dir(files, i, &mut self.rng)?;
        let (mut store, found) = dir.open_group("cell")?;
        if found.is_none() && !self.hosts[i].formed {
            store.form_group(&self.config)?;
        }
        if !self.syncs_log {
            store.set_sync_fn(Box::new(|_| Ok(())));
        }
        Ok((dir.identity().member, store, found))
    }

    fn start(&mut self, i: usize) {
        let opened = self.open(i);
        self.count(if opened.is_ok() { "open" } else { "failed open" });
        let (id, store, found) = match opened {
            Ok(opened) => opened,
            Err(e) => return self.fail(i, &e),
        };
        self.check(id == self.hosts[i].id, format!("h{i} has another identity"));
        self.check(found.is_some() || !self.hosts[i].formed, format!("h{i} has lost its group"));
        let restored = found.unwrap_or_else(|| Restored::new_group(self.config.clone()));
        let snapshot = Some(restored.snapshot.clone());
        let tuning = Tuning { kept_entries: 5, max_message_bytes: 1_000, ..Tuning::default() };
        let raft = Raft::new(id, tuning, restored, self.now, self.rng.u64(..));
        self.hosts[i].formed = true;
        self.hosts[i].process = Some(Process { raft, store, applied: Vec::new() });
        self.apply(i, &Ready { snapshot, restore: true, ..Ready::default() });
    }

    /// Ends a process whose disk failed. It starts again later, as it does if it was killed.
    fn fail(&mut self, i: usize, cause: &Error) {
        match cause {
            Error::Io(_, _, e) if e.kind() == ErrorKind::Interrupted => self.count("kill"),
            Error::Io(_, _, e) if e.kind() == ErrorKind::Other => self.count("failed sync"),
            _ => self.check(false, format!("h{i}: {cause}")),
        }
        self.stop(i);
    }

    fn stop(&mut self, i: usize) {
        self.hosts[i].process = None;
        self.hosts[i].start = self.now + self.outage;
    }

    /// Passes inputs to a process. Applies and sends what results once it is on the disk.
    fn run(&mut self, i: usize, inputs: Vec<Input>) {
        let Some(process) = &mut self.hosts[i].process else { return };
        let batch = match process.run(self.now, inputs) {
            Ok(batch) => batch,
            Err(e) => return self.fail(i, &e),
        };
        let (id, term, leads) = (process.raft.id(), process.raft.term(), process.raft.is_leader());
        let is_first = !leads || *self.leaders.entry(term).or_insert(id) == id;
        self.check(is_first, format!("h{i} is the second leader of term {term}"));
        for ready in batch {
            *self.counts.entry("restore").or_default() += u64::from(ready.restore);
            self.apply(i, &ready);
            ready.messages.into_iter().for_each(|envelope| self.send(envelope));
        }
    }

    fn apply(&mut self, i: usize, ready: &Ready) {
        let process = self.hosts[i].process.as_mut().expect("the caller found it running");
        let mut from = process.applied.len();
        if let Some(snapshot) = ready.snapshot.as_ref().filter(|_| ready.restore) {
            // That of a new group is empty.
            process.applied = postcard::from_bytes(&snapshot.data).unwrap_or_default();
            from = 0;
        }
        process.applied.extend(ready.committed.iter().map(|e| (e.term, e.payload.clone())));
        let known = process.applied.len().min(self.committed.len());
        let replaced = (from..known).find(|at| process.applied[*at] != self.committed[*at]);
        self.committed.extend_from_slice(&process.applied[known..]);
        self.check(replaced.is_none(), format!("h{i} replaced an entry, after {replaced:?}"));
    }

    fn send(&mut self, envelope: Envelope) {
        let Envelope { from, to, term, .. } = envelope;
        let vote = match envelope.message {
            Message::Vote { .. } => Some(from),
            Message::VoteReply { granted: true } => Some(to),
            _ => None,
        };
        let is_first = vote.is_none_or(|v| *self.votes.entry((from, term)).or_insert(v) == v);
        self.check(is_first, format!("member {from} votes a second time in term {term}"));
        if self.settles || !self.one_in(50) {
            let slowest = if !self.settles && self.one_in(50) { 300 } else { 15 };
            let at = self.now + millis(self.rng.u64(1..slowest));
            self.in_flight.push((at, envelope));
        }
    }

    /// Advances the time by a step and does what is due.
    fn step(&mut self) {
        self.now += millis(STEP);
        if self.now < millis(FAULT_PERIOD) {
            self.do_faults();
        } else if !self.settles {
            self.end_faults();
        }
        self.check(self.now < millis(END), "the group does not settle".to_string());
        let mut arrived: Vec<_> =
            self.in_flight.extract_if(.., |(at, _)| *at <= self.now).collect();
        arrived.sort_by_key(|(at, _)| *at);
        for i in 0..MEMBERS {
            if self.hosts[i].process.is_none() && self.hosts[i].start <= self.now {
                self.start(i);
            }
            let mut inputs: Vec<Input> = vec![Box::new(|p, now| p.raft.tick(now))];
            for (_, envelope) in arrived.iter().filter(|(_, e)| e.to == self.hosts[i].id).cloned() {
                inputs.push(Box::new(|p, now| p.raft.step(now, envelope)));
            }
            if !self.settles {
                self.add_load(&mut inputs);
            }
            self.run(i, inputs);
        }
    }

    fn add_load(&mut self, inputs: &mut Vec<Input>) {
        while self.one_in(5) {
            let data = self.rng.u64(..).to_le_bytes().to_vec();
            // Members that don't lead refuse it.
            inputs.push(Box::new(|p, now| _ = p.raft.propose(now, data)));
        }
        if self.one_in(150) {
            inputs.insert(self.rng.usize(..=inputs.len()), Box::new(|p, _| p.compact()));
        }
    }

    fn do_faults(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.stops.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, i, loses_power) in due {
            if loses_power {
                self.hosts[i].disk.lose_power();
                self.count("power loss");
            }
            self.stop(i);
        }
        if now < self.next_fault {
            return;
        }
        self.next_fault = now + millis(self.rng.u64(50..1_500));
        match self.rng.u32(..8) {
            0..=3 => self.hosts[self.rng.usize(..MEMBERS)].disk.kill_after(self.rng.u32(..10)),
            4..=5 => {
                self.hosts.iter().for_each(|host| host.disk.kill_after(self.rng.u32(..6)));
                let down = now + millis(KILL_PERIOD);
                self.stops.extend((0..MEMBERS).map(|i| (down, i, false)));
                self.plan_power_loss(down + self.outage, 3_000);
            }
            _ => self.plan_power_loss(now, 100),
        }
    }

    /// Plans a power loss of some hosts or all, up to `wait` milliseconds after a time.
    fn plan_power_loss(&mut self, after: Timestamp, wait: u64) {
        let at = after + millis(self.rng.u64(..wait));
        let (first, others) = (self.rng.usize(..MEMBERS), self.rng.usize(..MEMBERS));
        self.stops.extend((0..=others).map(|n| (at, (first + n) % MEMBERS, true)));
    }

    /// The group must then elect a leader and get up to date.
    fn end_faults(&mut self) {
        self.settles = true;
        for Host { disk, .. } in &self.hosts {
            disk.fail_syncs(0);
            disk.kill_after(u32::MAX);
        }
    }

    /// Whether a leader's log is what was ever committed, and all members have applied it.
    fn is_settled(&self) -> bool {
        let up: Vec<&Process> = self.hosts.iter().filter_map(|h| h.process.as_ref()).collect();
        let last = self.committed.len() as u64;
        self.settles
            && up.len() == MEMBERS
            && up.iter().any(|p| p.raft.has_committed_in_term() && p.raft.last_index() == last)
            && up.iter().all(|p| p.applied == self.committed)
    }
}

/// Runs a history. A panic of a member is a failure like any other.
fn run_history(seed: u64, failing_syncs: u32, syncs_log: bool) -> Result<Counts, String> {
    let run = || {
        let mut group = Group::new(seed, failing_syncs, syncs_log);
        while group.fault.is_none() && !group.is_settled() {
            group.step();
        }
        group.counts.insert("committed", group.committed.len() as u64);
        group.fault.map_or(Ok(group.counts), Err)
    };
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|_| Err("a member panicked".to_string()))
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs histories in which one in so many syncs fails, or none if 0.
fn run_histories(failing_syncs: u32) {
    let first = setting("EBONYWALK_SEED", DEFAULT_SEED);
    let count = setting("EBONYWALK_HISTORIES", DEFAULT_HISTORIES);
    let mut total = Counts::from(MIN_COUNTS.map(|(kind, _)| (kind, 0)));
    let mut failures = Vec::new();
    for seed in first..first + count {
        match run_history(seed, failing_syncs, true) {
            Ok(counts) => counts.iter().for_each(|(kind, n)| *total.entry(kind).or_default() += n),
            Err(cause) => failures.push(format!("seed {seed}: {cause}")),
        }
    }
    println!("histories: {count} from seed {first}: {total:?}");
    assert!(failures.is_empty(), "{} of {count} fail:\n{}", failures.len(), failures.join("\n"));
    for (kind, least) in MIN_COUNTS {
        assert!(total[kind] >= count / 10 * least, "{kind}: too few for a meaningful test");
    }
}

#[test]
fn no_committed_entry_is_lost_by_kills_and_power_losses() {
    run_histories(0);
}

#[test]
fn no_committed_entry_is_lost_by_failed_syncs() {
    run_histories(60);
}

#[test]
fn notices_logs_that_are_not_synced() {
    let first = setting("EBONYWALK_SEED", DEFAULT_SEED);
    assert!((first..first + 10).any(|seed| run_history(seed, 0, false).is_err()));
}
