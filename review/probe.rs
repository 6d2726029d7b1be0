//! Stand-ins for a review: a small deployment of the daemon on loopback addresses, workers, callers
//! and an operator. Built by `build-3.sh` with the standard library alone.

#[path = "probe_cases.rs"]
mod cases;
#[path = "probe_cell.rs"]
mod cell;
#[path = "probe_http.rs"]
mod http;
#[path = "probe_json.rs"]
mod json;
#[path = "probe_worker.rs"]
mod worker;

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since the start of the case.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Writes a line to the record of the case.
pub fn note(line: &str) {
    let Some(record) = RECORD.get() else { return };
    let mut file = record.lock().unwrap();
    let _ = writeln!(file, "{:>7} ms  {line}", now_ms());
}

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    now_ms();
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: probe CASE RECORD");
        std::process::exit(2);
    };
    let Ok(file) = File::create(record) else {
        eprintln!("cannot write {record}");
        std::process::exit(2);
    };
    let _ = RECORD.set(Mutex::new(file));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    note(&format!("case {case}, {}", if trouble { "with the disruption" } else { "without it" }));
    let verdict = std::panic::catch_unwind(|| cases::run(case, trouble));
    let verdict = verdict.unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in failed".to_string()));
    let (line, code) = match verdict {
        Verdict::Held => ("held".to_string(), 0),
        Verdict::Broken(what) => (format!("BROKEN: {what}"), 1),
        Verdict::CouldNotRun(why) => (format!("could not run: {why}"), 2),
    };
    note(&line);
    println!("{case}: {line}");
    std::process::exit(code);
}
