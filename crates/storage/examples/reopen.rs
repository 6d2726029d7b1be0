//! Measures how long the open of a data directory takes, by the size of its log.

use consensus::{Config, Entry, HardState, Member, Payload, Ready, Role};
use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};
use storage::DataDir;

const ROUNDS: u32 = 10;

/// Writes a log of `count` entries of `bytes` each, 16 to a frame.
fn write_log(path: &Path, count: u64, bytes: usize) -> Result<(), Box<dyn Error>> {
    let dir = DataDir::open(path, "a-1", "zone-a", 7)?;
    let (mut store, _) = dir.open_group("cell")?;
    let me = Member { id: dir.identity().member, host: "a-1".into(), role: Role::Voter };
    store.form_group(&Config::new(vec![me]))?;
    for first in (1..=count).step_by(16) {
        let last = count.min(first + 15);
        let entry = |index| Entry { index, term: 1, payload: Payload::Command(vec![7; bytes]) };
        let hard_state = Some(HardState { term: 1, vote: None, commit: 0 });
        let entries = (first..=last).map(entry).collect();
        store.append(&Ready { entries, hard_state, ..Ready::default() })?;
        store.sync()?;
    }
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("entries  bytes each    first ms    later ms");
    for (count, bytes) in [(16, 200), (1_000, 200), (5_096, 200), (5_096, 3_300)] {
        let tmp = std::env::temp_dir().join(format!("reopen-{}", std::process::id()));
        write_log(&tmp, count, bytes)?;
        let began = Instant::now();
        DataDir::open(&tmp, "a-1", "zone-a", 7)?.open_group("cell")?;
        let first = began.elapsed();
        for _ in 0..ROUNDS {
            DataDir::open(&tmp, "a-1", "zone-a", 7)?.open_group("cell")?;
        }
        let later = (began.elapsed() - first) / ROUNDS;
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        println!("{count:7}  {bytes:10}  {:10.2}  {:10.2}", ms(first), ms(later));
        std::fs::remove_dir_all(&tmp)?;
    }
    Ok(())
}
