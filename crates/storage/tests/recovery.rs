//! Recovery of a data directory after crashes, damage and full disks. Guards against lost or
//! invented log entries after an interrupted write, and against damage that goes unreported.

#[allow(dead_code)]
mod support;

use consensus::{Config, Entry, HardState, Member, Payload, Ready, Restored, Role, Snapshot};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use storage::{DataDir, ErrorKind, GroupStore};
use support::SimDisk;

fn open(path: &Path) -> DataDir {
    DataDir::open(path, "a-1", "zone-a", 7).unwrap()
}

fn config() -> Config {
    Config::new(vec![Member { id: 1, host: "a-1".into(), role: Role::Voter }])
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![index as u8; 20]) }
}

fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> Ready {
    let hard_state = Some(HardState { term, vote: Some(1), commit: 0 });
    Ready { entries: range.map(|i| entry(i, term)).collect(), hard_state, ..Ready::default() }
}

fn snapshot_at(index: u64, restore: bool) -> Ready {
    let data = Arc::new(vec![9; 10]);
    let snapshot = Some(Snapshot { index, term: 1, config: config(), data });
    Ready { snapshot, restore, ..Ready::default() }
}

fn formed(dir: &DataDir) -> GroupStore {
    let (mut store, found) = dir.open_group("g").unwrap();
    assert!(found.is_none());
    store.form_group(&config()).unwrap();
    store
}

fn write(store: &mut GroupStore, ready: &Ready) {
    store.append(ready).unwrap();
    store.sync().unwrap();
}

fn reopen(dir: &DataDir) -> Restored {
    dir.open_group("g").unwrap().1.unwrap()
}

fn indexes(restored: &Restored) -> Vec<(u64, u64)> {
    restored.entries.iter().map(|e| (e.index, e.term)).collect()
}

fn segments(path: &Path) -> Vec<PathBuf> {
    let names = fs::read_dir(path.join("g")).unwrap().map(|e| e.unwrap().path());
    let mut found: Vec<PathBuf> = names.filter(|p| !p.ends_with("snapshot")).collect();
    found.sort();
    found
}

/// The first segment that is not empty, which holds the frames that the test wrote.
fn filled_segment(path: &Path) -> PathBuf {
    segments(path).into_iter().find(|p| fs::metadata(p).unwrap().len() > 0).unwrap()
}

#[test]
fn entries_replace_what_stood_at_their_indexes() {
    let tmp = tempfile::tempdir().unwrap();
    let dir = open(tmp.path());
    let mut store = formed(&dir);
    write(&mut store, &entries(1..=4, 1));
    write(&mut store, &entries(3..=3, 2));
    let found = reopen(&dir);
    assert_eq!(indexes(&found), [(1, 1), (2, 1), (3, 2)]);
    assert_eq!(found.hard_state.term, 2);
}

#[test]
fn snapshot_trims_the_log_and_survives() {
    let tmp = tempfile::tempdir().unwrap();
    let dir = open(tmp.path());
    let mut store = formed(&dir);
    write(&mut store, &entries(1..=6, 1));
    write(&mut store, &snapshot_at(4, false));
    write(&mut store, &entries(7..=7, 1));
    let (mut store, found) = dir.open_group("g").unwrap();
    let found = found.unwrap();
    assert_eq!(found.snapshot.index, 4);
    assert_eq!(indexes(&found), [(5, 1), (6, 1), (7, 1)]);
    write(&mut store, &snapshot_at(7, false));
    assert_eq!(indexes(&reopen(&dir)), []);
}

#[test]
fn snapshot_from_the_leader_drops_the_old_log() {
    let tmp = tempfile::tempdir().unwrap();
    let dir = open(tmp.path());
    let mut store = formed(&dir);
    write(&mut store, &entries(1..=6, 1));
    write(&mut store, &snapshot_at(4, true));
    let found = reopen(&dir);
    assert_eq!((found.snapshot.index, found.entries.len()), (4, 0));
    assert_eq!(found.hard_state.vote, Some(1), "the vote outlives the log");
}

/// Truncates the log at every length, as an interrupted write does, and opens it again.
#[test]
fn a_log_cut_off_anywhere_gives_back_whole_batches() {
    let tmp = tempfile::tempdir().unwrap();
    {
        let mut store = formed(&open(tmp.path()));
        write(&mut store, &entries(1..=2, 1));
        write(&mut store, &entries(3..=3, 1));
    }
    let path = filled_segment(tmp.path());
    let whole = fs::read(&path).unwrap();
    for length in 0..whole.len() {
        for other in segments(tmp.path()) {
            fs::remove_file(other).unwrap();
        }
        fs::write(&path, &whole[..length]).unwrap();
        let found = reopen(&open(tmp.path()));
        let count = found.entries.len();
        assert!(matches!(count, 0 | 2), "cut at {length}: {count} entries");
    }
}

#[test]
fn damage_in_the_middle_is_an_error_and_names_the_place() {
    let tmp = tempfile::tempdir().unwrap();
    {
        let mut store = formed(&open(tmp.path()));
        write(&mut store, &entries(1..=2, 1));
        write(&mut store, &entries(3..=3, 1));
    }
    let path = filled_segment(tmp.path());
    let mut bytes = fs::read(&path).unwrap();
    bytes[12] ^= 1;
    fs::write(&path, bytes).unwrap();
    let error = open(tmp.path()).open_group("g").unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Corrupt);
    assert!(error.to_string().contains("damaged at byte 0: wrong checksum"), "{error}");
}

#[test]
fn damage_to_a_log_that_was_only_opened_is_an_error() {
    let tmp = tempfile::tempdir().unwrap();
    {
        write(&mut formed(&open(tmp.path())), &entries(1..=2, 1));
    }
    reopen(&open(tmp.path()));
    let path = filled_segment(tmp.path());
    let whole = fs::read(&path).unwrap();
    for at in 0..whole.len() / 2 {
        let mut bytes = whole.clone();
        bytes[at] ^= 1;
        fs::write(&path, bytes).unwrap();
        let opened = open(tmp.path()).open_group("g");
        assert_eq!(opened.unwrap_err().kind(), ErrorKind::Corrupt, "byte {at}");
    }
}

#[test]
fn a_missing_entry_is_an_error_and_names_both_sides_of_the_gap() {
    let tmp = tempfile::tempdir().unwrap();
    {
        let mut store = formed(&open(tmp.path()));
        write(&mut store, &entries(1..=6, 1));
        write(&mut store, &snapshot_at(4, false));
        write(&mut store, &entries(7..=7, 1));
        write(&mut store, &snapshot_at(5, false));
        write(&mut store, &entries(8..=8, 1));
    }
    let middle = segments(tmp.path()).into_iter().nth(1).unwrap();
    fs::remove_file(middle).unwrap();
    let error = open(tmp.path()).open_group("g").unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Corrupt);
    let text = error.to_string();
    let gap = "entry 7 is missing: entry 8 comes here, after entry 6 in log-000000000001 at byte 0";
    assert!(text.contains(gap), "{text}");
    assert!(text.contains("log-000000000003: damaged at byte"), "{text}");
}

/// Guards against a restart after which nobody can say what the data directory held.
#[test]
fn an_open_says_what_it_found() {
    let tmp = tempfile::tempdir().unwrap();
    {
        let mut store = formed(&open(tmp.path()));
        write(&mut store, &entries(1..=2, 1));
        write(&mut store, &entries(3..=3, 1));
    }
    let path = filled_segment(tmp.path());
    let bytes = fs::metadata(&path).unwrap().len();
    fs::OpenOptions::new().append(true).open(&path).unwrap().set_len(bytes + 5).unwrap();
    let (store, _) = open(tmp.path()).open_group("g").unwrap();
    let found = store.found();
    assert_eq!((found.segments, found.frames, found.last_index), (1, 2, 3));
    assert_eq!((found.tail_bytes, found.torn_bytes), (bytes, 5));
    assert_eq!(found.rewritten_bytes, fs::metadata(&path).unwrap().len());
}

#[test]
fn a_damaged_snapshot_is_an_error() {
    let tmp = tempfile::tempdir().unwrap();
    formed(&open(tmp.path()));
    let path = tmp.path().join("g/snapshot");
    let bytes = fs::read(&path).unwrap();
    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).unwrap();
        let error = open(tmp.path()).open_group("g").unwrap_err();
        assert_eq!(error.kind(), ErrorKind::Corrupt, "cut at {length}");
    }
}

#[test]
fn a_failed_sync_is_an_error() {
    let tmp = tempfile::tempdir().unwrap();
    let mut store = formed(&open(tmp.path()));
    store.set_sync_fn(Box::new(|_| Err(io::Error::from(io::ErrorKind::StorageFull))));
    store.append(&entries(1..=1, 1)).unwrap();
    assert_eq!(store.sync().unwrap_err().kind(), ErrorKind::Io);
}

#[test]
fn a_commit_index_alone_needs_no_sync() {
    let tmp = tempfile::tempdir().unwrap();
    let mut store = formed(&open(tmp.path()));
    write(&mut store, &entries(1..=1, 1));
    let hard_state = Some(HardState { term: 1, vote: Some(1), commit: 1 });
    store.append(&Ready { hard_state, ..Ready::default() }).unwrap();
    assert!(!store.sync().unwrap());
}

#[test]
fn a_data_dir_has_one_owner_and_one_identity() {
    let tmp = tempfile::tempdir().unwrap();
    let member = {
        let dir = open(tmp.path());
        let second = DataDir::open(tmp.path(), "a-1", "zone-a", 8).unwrap_err();
        assert_eq!(second.kind(), ErrorKind::Usage);
        dir.identity().member
    };
    assert_eq!(DataDir::open(tmp.path(), "a-1", "zone-a", 9).unwrap().identity().member, member);
    let foreign = DataDir::open(tmp.path(), "b-1", "zone-a", 9).unwrap_err();
    assert!(foreign.to_string().contains("belongs to a-1 in zone-a, not to b-1"), "{foreign}");
    fs::remove_dir_all(tmp.path()).unwrap();
    assert_ne!(DataDir::open(tmp.path(), "a-1", "zone-a", 9).unwrap().identity().member, member);
}

#[test]
fn a_tail_of_zeros_is_torn_not_damaged() {
    let tmp = tempfile::tempdir().unwrap();
    {
        write(&mut formed(&open(tmp.path())), &entries(1..=2, 1));
    }
    let path = filled_segment(tmp.path());
    let file = OpenOptions::new().append(true).open(&path).unwrap();
    let length = file.metadata().unwrap().len();
    file.set_len(length + 4_096).unwrap();
    for torn in [4_096, 0] {
        let (store, found) = open(tmp.path()).open_group("g").unwrap();
        assert_eq!((store.found().torn_bytes, found.unwrap().entries.len()), (torn, 2));
    }
}

/// Writes a log whose last synced entry is 3, then appends more without a sync: twice a commit index
/// alone, then an entry. Returns the path of the open segment and its length at the sync.
fn log_with_unsynced_tail(dir: &DataDir, path: &Path) -> (PathBuf, usize) {
    let mut store = formed(dir);
    write(&mut store, &entries(1..=3, 1));
    let segment = segments(path).pop().unwrap();
    let synced = fs::metadata(&segment).unwrap().len() as usize;
    for commit in 1..=2 {
        let hard_state = Some(HardState { term: 1, vote: Some(1), commit });
        store.append(&Ready { hard_state, ..Ready::default() }).unwrap();
    }
    store.append(&entries(4..=4, 1)).unwrap();
    // Nothing waits for this sync any more: the power is lost while it runs.
    store.set_sync_fn(Box::new(|_| Ok(())));
    store.sync().unwrap();
    (segment, synced)
}

/// Guards against a host that never comes back after a power loss: of what was written since the
/// last sync, any bytes may be missing while later ones are there.
#[test]
fn any_part_of_what_was_not_synced_may_be_missing() {
    let tmp = tempfile::tempdir().unwrap();
    let dir = open(tmp.path());
    let (segment, synced) = log_with_unsynced_tail(&dir, tmp.path());
    let whole = fs::read(&segment).unwrap();
    assert!(whole.len() > synced, "nothing was written after the sync");
    let others = segments(tmp.path());
    for from in synced..whole.len() {
        for to in from + 1..=whole.len() {
            let mut torn = whole.clone();
            torn[from..to].fill(0);
            fs::write(&segment, torn).unwrap();
            let restored = dir.open_group("g");
            let (_, restored) = restored.unwrap_or_else(|e| panic!("{from} to {to} missing: {e}"));
            let found = indexes(&restored.unwrap());
            assert!(found.starts_with(&[(1, 1), (2, 1), (3, 1)]), "{from} to {to}: {found:?}");
            for new in segments(tmp.path()).into_iter().filter(|path| !others.contains(path)) {
                fs::remove_file(new).unwrap();
            }
        }
    }
}

/// Guards against entries of an older term behind a snapshot from the leader: the disk fails after
/// the snapshot was replaced and before the old log is gone. The old entries conflict with it.
#[test]
fn no_old_entries_stand_behind_a_snapshot_from_the_leader() {
    let tmp = tempfile::tempdir().unwrap();
    let dir = open(tmp.path());
    let mut store = formed(&dir);
    write(&mut store, &entries(1..=6, 1));
    let mut installed = snapshot_at(4, true);
    installed.snapshot.as_mut().unwrap().term = 3;
    installed.hard_state = Some(HardState { term: 3, vote: None, commit: 4 });
    store.set_sync_fn(Box::new(|_| Err(io::Error::from(io::ErrorKind::StorageFull))));
    assert!(store.append(&installed).is_err(), "the disk is full: the test is meaningless");
    drop(store);
    let found = reopen(&dir);
    assert_eq!(found.snapshot.index, 4);
    assert_eq!(indexes(&found), [], "entries of term 1 behind a snapshot of term 3");
}

/// Cuts off the last bytes of a file, as an interrupted write does.
fn tear(path: &Path) {
    let bytes = fs::read(path).unwrap();
    fs::write(path, &bytes[..bytes.len() - 3]).unwrap();
}

/// A log in two segments: entries 1 to 6, a snapshot at 4, and then entry 7.
fn log_in_two_segments(dir: &DataDir) -> GroupStore {
    let mut store = formed(dir);
    write(&mut store, &entries(1..=6, 1));
    write(&mut store, &snapshot_at(4, false));
    write(&mut store, &entries(7..=7, 1));
    store
}

#[test]
fn a_torn_frame_before_others_is_an_error() {
    let tmp = tempfile::tempdir().unwrap();
    drop(log_in_two_segments(&open(tmp.path())));
    tear(&segments(tmp.path())[0]);
    let error = open(tmp.path()).open_group("g").unwrap_err();
    assert!(error.to_string().contains("a frame is torn, but later segments exist"), "{error}");
}

/// Guards against a directory of an earlier version that opens without what it had acknowledged: each
/// of two processes was killed in a write, and both writes are torn.
#[test]
fn a_torn_frame_before_another_is_an_error() {
    let tmp = tempfile::tempdir().unwrap();
    let mut store = formed(&open(tmp.path()));
    write(&mut store, &entries(1..=4, 1));
    write(&mut store, &entries(5..=6, 1));
    write(&mut store, &snapshot_at(4, false));
    write(&mut store, &entries(7..=7, 1));
    drop(store);
    segments(tmp.path()).iter().for_each(|path| tear(path));
    let error = open(tmp.path()).open_group("g").unwrap_err();
    assert!(error.to_string().contains("a frame is torn, but later segments exist"), "{error}");
}

/// Guards against an intact directory that is refused: the entries that a snapshot from the leader has
/// replaced are of a later term than its last one, and the process was killed while it removed them.
#[test]
fn what_is_left_of_a_replaced_log_has_no_gap() {
    for (seed, changes) in (0..4).flat_map(|seed| (5..14).map(move |changes| (seed, changes))) {
        let disk = SimDisk::new(seed);
        let dir = |files| DataDir::open_unlocked(files, Path::new("/data"), "a-1", "zone-a", 7);
        let mut store = formed(&dir(disk.start_process()).unwrap());
        write(&mut store, &entries(1..=10, 1));
        write(&mut store, &entries(11..=11, 3));
        write(&mut store, &snapshot_at(5, false));
        write(&mut store, &entries(12..=12, 3));
        let mut installed = snapshot_at(10, true);
        installed.snapshot.as_mut().unwrap().term = 2;
        disk.kill_after(changes);
        let _ = store.append(&installed);
        let (_, found) = dir(disk.start_process()).unwrap().open_group("g").unwrap();
        let found = found.unwrap();
        assert_eq!(found.snapshot.index, 10);
        assert!([(11, 3), (12, 3)].starts_with(&indexes(&found)), "killed after {changes} changes");
    }
}

/// Guards against a disk that stays full with what the process itself could not finish.
#[test]
fn an_open_removes_what_was_not_renamed_into_place() {
    let tmp = tempfile::tempdir().unwrap();
    drop(log_in_two_segments(&open(tmp.path())));
    let names = ["snapshot.tmp", "log-000000000001.tmp"];
    names.iter().for_each(|name| fs::write(tmp.path().join("g").join(name), "partial").unwrap());
    reopen(&open(tmp.path()));
    assert!(names.iter().all(|name| !tmp.path().join("g").join(name).exists()));
}

/// Guards against directories that grow with each attempt to open them.
#[test]
fn a_refused_directory_stays_as_it_is() {
    let tmp = tempfile::tempdir().unwrap();
    drop(log_in_two_segments(&open(tmp.path())));
    fs::remove_file(&segments(tmp.path())[0]).unwrap();
    let before = segments(tmp.path());
    for _ in 0..3 {
        assert!(open(tmp.path()).open_group("g").is_err(), "entries 5 and 6 are missing");
    }
    assert_eq!(segments(tmp.path()), before);
}

/// Opens a directory of an earlier version, whose process was killed in its open: it had begun a
/// segment after the torn one and written nothing to it.
#[test]
fn a_torn_frame_that_nobody_has_acted_on_is_dropped() {
    let tmp = tempfile::tempdir().unwrap();
    {
        let mut store = formed(&open(tmp.path()));
        write(&mut store, &entries(1..=2, 1));
        write(&mut store, &entries(3..=3, 1));
    }
    let torn = filled_segment(tmp.path());
    tear(&torn);
    fs::write(torn.with_file_name("log-000000000009"), "").unwrap();
    assert_eq!(indexes(&reopen(&open(tmp.path()))), [(1, 1), (2, 1)]);
    assert_eq!(indexes(&reopen(&open(tmp.path()))), [(1, 1), (2, 1)]);
}

#[test]
fn a_torn_frame_that_a_snapshot_covers_is_dropped() {
    let tmp = tempfile::tempdir().unwrap();
    let mut store = log_in_two_segments(&open(tmp.path()));
    let first = segments(tmp.path()).remove(0);
    tear(&first);
    let torn = fs::read(&first).unwrap();
    write(&mut store, &snapshot_at(6, false));
    drop(store);
    assert!(!first.exists(), "the segment was needed: the test is meaningless");
    fs::write(&first, torn).unwrap();
    let found = reopen(&open(tmp.path()));
    assert_eq!((found.snapshot.index, indexes(&found)), (6, vec![(7, 1)]));
}

#[test]
fn a_log_without_its_snapshot_is_an_error() {
    let tmp = tempfile::tempdir().unwrap();
    {
        write(&mut formed(&open(tmp.path())), &entries(1..=2, 1));
    }
    fs::remove_file(tmp.path().join("g/snapshot")).unwrap();
    let error = open(tmp.path()).open_group("g").unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Corrupt);
    assert!(error.to_string().contains("a log exists, but no snapshot"), "{error}");
}

/// Guards against a vote of a member that has lost entries which it acknowledged.
#[test]
fn a_log_that_ends_before_what_was_committed_is_an_error() {
    let tmp = tempfile::tempdir().unwrap();
    {
        let mut store = formed(&open(tmp.path()));
        write(&mut store, &entries(1..=3, 1));
        let hard_state = Some(HardState { term: 1, vote: Some(1), commit: 3 });
        write(&mut store, &Ready { hard_state, ..snapshot_at(1, false) });
    }
    fs::write(&segments(tmp.path())[0], "").unwrap();
    let error = open(tmp.path()).open_group("g").unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Corrupt);
    let cause = "the log ends with entry 1, but 3 was committed";
    assert!(error.to_string().contains(cause), "{error}");
}

#[test]
fn a_store_whose_sync_failed_syncs_nothing_more() {
    let tmp = tempfile::tempdir().unwrap();
    let mut store = formed(&open(tmp.path()));
    store.append(&entries(1..=1, 1)).unwrap();
    store.set_sync_fn(Box::new(|_| Err(io::Error::from(io::ErrorKind::StorageFull))));
    assert!(store.sync().is_err());
    store.set_sync_fn(Box::new(|_| Ok(())));
    assert_eq!(store.sync().unwrap_err().kind(), ErrorKind::Io);
    store.append(&entries(2..=2, 1)).unwrap();
    assert!(store.sync().is_err(), "the entry before was lost");
}
