//! What a data directory holds after kills, failed syncs and power losses, on a simulated disk.
//! What an open has returned is acted on, so it must outlive all of them like what was synced.
//! `EBONYWALK_SEED` and `EBONYWALK_HISTORIES` choose other seeds.

mod support;

use consensus::{Config, Entry, HardState, Member, Payload, Ready, Restored, Role, Snapshot};
use fastrand::Rng;
use std::path::Path;
use std::sync::Arc;
use storage::{DataDir, Error, ErrorKind, GroupStore};
use support::SimDisk;
use types::Release;

/// The state of a group's member, without its commit index, which needs no sync.
#[derive(Clone, Debug, Default, PartialEq)]
struct State {
    term: u64,
    vote: Option<u64>,
    /// Index and term of the snapshot.
    snapshot: (u64, u64),
    /// Index and term of the entries behind the snapshot.
    entries: Vec<(u64, u64)>,
}

impl State {
    fn of(restored: &Restored) -> State {
        let Restored { hard_state, snapshot, entries } = restored;
        State {
            term: hard_state.term,
            vote: hard_state.vote,
            snapshot: (snapshot.index, snapshot.term),
            entries: entries.iter().map(|e| (e.index, e.term)).collect(),
        }
        .in_term_of_snapshot()
    }

    /// The state as a member takes it up: a snapshot of a later term has brought it there.
    fn in_term_of_snapshot(self) -> State {
        let term = self.term.max(self.snapshot.1);
        State { vote: self.vote.filter(|_| term == self.term), term, ..self }
    }

    fn last(&self) -> (u64, u64) {
        self.entries.last().copied().unwrap_or(self.snapshot)
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        let all = self.entries.iter().chain([&self.snapshot]);
        all.into_iter().find(|(i, _)| *i == index).map(|(_, term)| *term)
    }

    fn hard_state(&self, commit: u64) -> HardState {
        HardState { term: self.term, vote: self.vote, commit }
    }

    fn replace_from(&mut self, first: u64, new: &[(u64, u64)]) {
        self.entries.retain(|(i, _)| *i < first);
        self.entries.extend(new);
    }

    /// This state with another snapshot, as it is read back before the new segment is written. If the
    /// log does not have the snapshot's last entry, it may also be cut off anywhere behind it.
    fn behind(&self, snapshot: (u64, u64)) -> Vec<State> {
        let mut state = State { snapshot, ..self.clone() };
        state.entries.retain(|(i, _)| *i > snapshot.0);
        if state.entries.first().is_some_and(|(_, term)| *term < snapshot.1) {
            state.entries.clear();
        }
        let is_other = self.term_at(snapshot.0).is_some_and(|term| term != snapshot.1);
        let (all, shortest) = (state.entries.len(), if is_other { 0 } else { state.entries.len() });
        let cut_off = |n: usize| State { entries: state.entries[..n].to_vec(), ..state.clone() };
        (shortest..=all).map(|n| cut_off(n).in_term_of_snapshot()).collect()
    }
}

fn config() -> Config {
    Config::new(vec![Member { id: 1, host: "a-1".into(), role: Role::Voter }])
}

fn entry((index, term): (u64, u64)) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![index as u8; 1 + term as usize % 40]) }
}

fn release(version: u64) -> Release {
    Release { version, ..Release::default() }
}

fn open(disk: &SimDisk, seed: u64) -> Result<(DataDir, GroupStore, Option<Restored>), Error> {
    open_with(disk.start_process(), seed)
}

fn open_with(
    files: storage::Files,
    seed: u64,
) -> Result<(DataDir, GroupStore, Option<Restored>), Error> {
    let dir = DataDir::open_unlocked(files, Path::new("/data"), "a-1", "zone-a", seed)?;
    let (store, found) = dir.open_group("cell")?;
    Ok((dir, store, found))
}

fn appended(entries: &[(u64, u64)], state: &State, commit: u64) -> Ready {
    let entries = entries.iter().copied().map(entry).collect();
    Ready { entries, hard_state: Some(state.hard_state(commit)), ..Ready::default() }
}

fn with_snapshot(ready: Ready, (index, term): (u64, u64), restore: bool) -> Ready {
    let snapshot = Snapshot { index, term, config: config(), data: Arc::new(vec![index as u8; 9]) };
    Ready { snapshot: Some(snapshot), restore, ..ready }
}

/// One life of a member after another, and what the next one may find.
struct History {
    rng: Rng,
    disk: SimDisk,
    /// What the last acts may have left.
    allowed: Vec<Option<State>>,
    commit: u64,
    member: Option<u64>,
    releases: Vec<u64>,
}

impl History {
    fn new(seed: u64) -> History {
        let (rng, disk) = (Rng::with_seed(seed), SimDisk::new(seed));
        History { rng, disk, allowed: vec![None], commit: 0, member: None, releases: vec![0] }
    }

    /// Opens the directory, acts until the process ends, and may cut the power after it.
    fn live(&mut self) {
        let files = self.disk.start_process();
        self.disk.fail_syncs(if self.rng.u8(..3) == 0 { 5 } else { 0 });
        if self.rng.u8(..3) == 0 {
            self.disk.kill_after(self.rng.u32(..14));
        }
        match open_with(files, self.rng.u64(..)) {
            Ok((dir, store, found)) => self.act(&dir, store, found),
            Err(e) => assert_eq!(e.kind(), ErrorKind::Io, "the directory does not open: {e}"),
        }
        if self.rng.u8(..5) < 2 {
            self.disk.lose_power();
        }
    }

    fn act(&mut self, dir: &DataDir, mut store: GroupStore, found: Option<Restored>) {
        let found = found.as_ref().map(State::of);
        assert!(self.allowed.contains(&found), "found {found:?}, allowed {:?}", self.allowed);
        self.allowed = vec![found.clone()];
        let member = dir.identity().member;
        assert_eq!(*self.member.get_or_insert(member), member, "another identity was found");
        let version = dir.read_release().unwrap().map_or(0, |release| release.version);
        assert!(self.releases.contains(&version), "{version}, allowed {:?}", self.releases);
        self.releases = vec![version];
        if self.rng.u8(..3) > 0 {
            self.disk.kill_after(self.rng.u32(..60));
        }
        let mut state = match found {
            Some(state) => state,
            None => {
                self.allowed.push(Some(State::default()));
                if store.form_group(&config()).is_err() {
                    return;
                }
                State::default()
            }
        };
        self.allowed = vec![Some(state.clone())];
        for _ in 0..self.rng.u8(..25) {
            let Ok(next) = self.write(&mut store, &state) else { return };
            state = next;
            self.allowed = vec![Some(state.clone())];
            if self.rng.u8(..6) == 0 && self.save_release(dir).is_err() {
                return;
            }
        }
    }

    fn save_release(&mut self, dir: &DataDir) -> Result<(), Error> {
        let version = self.releases[0] + 1;
        self.releases.push(version);
        dir.save_release(&release(version))?;
        self.releases = vec![version];
        Ok(())
    }

    /// Writes one batch: changes of the log, and then perhaps a snapshot.
    fn write(&mut self, store: &mut GroupStore, before: &State) -> Result<State, Error> {
        let mut logged = before.clone();
        let changes: Vec<Ready> = (0..self.rng.u8(..3)).map(|_| self.change(&mut logged)).collect();
        let mut after = logged.clone();
        let snapshot = (self.rng.u8(..6) == 0).then(|| self.snapshot(&mut after)).flatten();
        self.allowed.extend([&logged, &after].map(|state| Some(state.clone())));
        if snapshot.is_some() {
            let left: Vec<State> =
                [before, &logged].iter().flat_map(|state| state.behind(after.snapshot)).collect();
            // The hard state that comes with the snapshot is written before the old log is removed.
            let later = left.iter().map(|state| State {
                term: after.term,
                vote: after.vote,
                ..state.clone()
            });
            self.allowed.extend(later.map(Some));
            self.allowed.extend(left.into_iter().map(Some));
        }
        for ready in changes.iter().chain(&snapshot) {
            store.append(ready)?;
        }
        store.sync()?;
        self.commit = self.commit.max(after.snapshot.0);
        if after.last().0 > self.commit && self.rng.bool() {
            self.commit = self.rng.u64(self.commit..=after.last().0);
        }
        Ok(after)
    }

    /// New entries at the end, entries of a new leader in place of others, or a vote.
    fn change(&mut self, state: &mut State) -> Ready {
        let mut first = state.last().0 + 1;
        let mut count = self.rng.u64(1..5);
        match self.rng.u8(..6) {
            0 => {
                state.term += 1;
                state.vote = Some(self.rng.u64(1..4));
                count = 0;
            }
            1 => {
                state.term += 1;
                state.vote = None;
                first = self.rng.u64(self.commit.max(state.snapshot.0) + 1..=first);
            }
            _ => state.term = state.term.max(1),
        }
        let new: Vec<(u64, u64)> = (first..first + count).map(|i| (i, state.term)).collect();
        if !new.is_empty() {
            state.replace_from(first, &new);
        }
        appended(&new, state, self.commit)
    }

    /// A snapshot of the member's own state, or one from the leader.
    fn snapshot(&mut self, state: &mut State) -> Option<Ready> {
        if self.rng.bool() {
            let index = self.rng.u64(state.snapshot.0..=self.commit.max(state.snapshot.0));
            let at = (index, state.term_at(index).filter(|_| index > state.snapshot.0)?);
            *state = State { snapshot: at, ..state.clone() };
            state.entries.retain(|(i, _)| *i > index);
            let ready = Ready { hard_state: Some(state.hard_state(index)), ..Ready::default() };
            return Some(with_snapshot(ready, at, false));
        }
        let floor = self.commit.max(state.snapshot.0);
        let index = self.rng.u64(floor + 1..=floor.max(state.last().0) + 4);
        let own = state.term_at(index);
        let known = own.filter(|_| self.rng.bool());
        // Entries behind a replaced one may be of a later term than the snapshot's last one.
        let term = self.rng.u64(own.unwrap_or(state.term) + 1..=state.term + 1);
        state.term += u64::from(known.is_none());
        state.vote = state.vote.filter(|_| known.is_some());
        let at = (index, known.unwrap_or(term));
        state.entries.retain(|(i, _)| known.is_some() && *i > index);
        state.snapshot = at;
        Some(with_snapshot(appended(&state.entries, state, index), at, true))
    }
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn what_was_read_back_outlives_kills_failed_syncs_and_power_losses() {
    let from = number("EBONYWALK_SEED", 1);
    for seed in from..from + number("EBONYWALK_HISTORIES", 2_000) {
        let run = move || {
            let mut history = History::new(seed);
            (0..30).for_each(|_| history.live());
        };
        assert!(std::panic::catch_unwind(run).is_ok(), "seed {seed} failed");
    }
}

/// A store with entries 1 to 3, and the changes of the disk that an append then makes until it is
/// synced: 0 for the write, 1 for its sync.
fn with_entries(disk: &SimDisk) -> GroupStore {
    let (_, mut store, found) = open(disk, 1).unwrap();
    assert!(found.is_none());
    store.form_group(&config()).unwrap();
    let state = State { term: 1, vote: Some(1), ..State::default() };
    store.append(&appended(&[(1, 1), (2, 1), (3, 1)], &state, 0)).unwrap();
    store.sync().unwrap();
    store
}

fn append_two(store: &mut GroupStore) -> Result<bool, Error> {
    let state = State { term: 1, vote: Some(1), ..State::default() };
    store.append(&appended(&[(4, 1), (5, 1)], &state, 0))?;
    store.sync()
}

/// Opens the directory, cuts the power, and opens it again. Both must find the same.
fn assert_outlives_a_power_loss(disk: &SimDisk, seed: u64) {
    let (_, _, found) = open(disk, seed).unwrap();
    let found = State::of(&found.unwrap());
    disk.lose_power();
    let (_, _, after) = open(disk, seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    assert_eq!(State::of(&after.unwrap()), found, "seed {seed}");
}

#[test]
fn entries_read_back_after_a_kill_outlive_a_power_loss() {
    for seed in 0..40 {
        let disk = SimDisk::new(seed);
        let mut store = with_entries(&disk);
        disk.kill_after(1);
        assert!(append_two(&mut store).is_err(), "the process was not killed");
        assert_outlives_a_power_loss(&disk, seed);
    }
}

#[test]
fn entries_read_back_after_a_failed_sync_outlive_a_power_loss() {
    for seed in 0..40 {
        let disk = SimDisk::new(seed);
        let mut store = with_entries(&disk);
        disk.fail_syncs(1);
        assert!(append_two(&mut store).is_err(), "the sync did not fail");
        disk.fail_syncs(0);
        assert_outlives_a_power_loss(&disk, seed);
    }
}

#[test]
fn an_open_that_is_killed_anywhere_does_no_harm() {
    for (seed, changes) in (0..20).flat_map(|seed| (0..10).map(move |changes| (seed, changes))) {
        let disk = SimDisk::new(seed);
        let mut store = with_entries(&disk);
        disk.kill_after(1);
        assert!(append_two(&mut store).is_err(), "the process was not killed");
        let files = disk.start_process();
        disk.kill_after(changes);
        let _ = open_with(files, seed);
        disk.lose_power();
        let (_, _, found) = open(&disk, seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        let last = State::of(&found.unwrap()).last().0;
        assert!(last == 3 || last == 5, "seed {seed}: the last entry is {last}");
    }
}

#[test]
fn a_snapshot_read_back_after_two_kills_outlives_a_power_loss() {
    let kills = (0..6).flat_map(|first| (0..8).map(move |second| (first, second)));
    for (seed, (first, second)) in (0..20).flat_map(|seed| kills.clone().map(move |k| (seed, k))) {
        let disk = SimDisk::new(seed);
        let mut store = with_entries(&disk);
        let state = State { term: 1, vote: Some(1), ..State::default() };
        disk.kill_after(first);
        let _ = store.append(&with_snapshot(appended(&[], &state, 2), (2, 1), false));
        let files = disk.start_process();
        disk.kill_after(second);
        let _ = open_with(files, seed);
        disk.lose_power();
        let opened = open(&disk, seed);
        let (_, _, found) = opened.unwrap_or_else(|e| panic!("{seed}, {first}, {second}: {e}"));
        let last = State::of(&found.unwrap()).last();
        assert_eq!(last, (3, 1), "seed {seed}, killed after {first} and {second} changes");
    }
}

#[test]
fn an_identity_read_back_after_a_kill_outlives_a_power_loss() {
    for (seed, changes) in (0..40).flat_map(|seed| (0..8).map(move |changes| (seed, changes))) {
        let disk = SimDisk::new(seed);
        let files = disk.start_process();
        disk.kill_after(changes);
        let _ = open_with(files, 1);
        let (dir, _, _) = open(&disk, 2).unwrap();
        disk.lose_power();
        let (after, _, _) = open(&disk, 3).unwrap();
        let members = (dir.identity().member, after.identity().member);
        assert_eq!(members.0, members.1, "seed {seed}, killed after {changes} changes");
    }
}

#[test]
fn a_data_directory_that_was_created_outlives_a_power_loss() {
    for (seed, changes) in (0..40).flat_map(|seed| (0..14).map(move |changes| (seed, changes))) {
        let disk = SimDisk::new(seed);
        let path = Path::new("/new/data");
        let open = |files| DataDir::open_unlocked(files, path, "a-1", "zone-a", seed);
        let files = disk.start_process();
        disk.kill_after(changes);
        let _ = open(files);
        let member = open(disk.start_process()).unwrap().identity().member;
        disk.lose_power();
        let after = DataDir::open_unlocked(disk.start_process(), path, "a-1", "zone-a", seed + 1);
        let after = after.unwrap().identity().member;
        assert_eq!(after, member, "seed {seed}, killed after {changes} changes");
    }
}

#[test]
fn a_release_read_back_after_a_kill_outlives_a_power_loss() {
    for (seed, changes) in (0..40).flat_map(|seed| (0..5).map(move |changes| (seed, changes))) {
        let disk = SimDisk::new(seed);
        let (dir, _, _) = open(&disk, 1).unwrap();
        dir.save_release(&release(1)).unwrap();
        disk.kill_after(changes);
        let _ = dir.save_release(&release(2));
        let version = |dir: &DataDir| dir.read_release().unwrap().unwrap().version;
        let found = version(&open(&disk, 2).unwrap().0);
        disk.lose_power();
        let after = version(&open(&disk, 3).unwrap().0);
        assert_eq!(after, found, "seed {seed}, killed after {changes} changes");
    }
}
