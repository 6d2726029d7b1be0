//! Stand-ins for the scripts of review cases 6 and later: minions, clients, the operator and the
//! platform, on loopback addresses and the real clock. Standard library only.
//!
//! `rig CASE RECORD` starts the processes of the deploy file, plays the case, writes what was sent,
//! answered and run to RECORD, and ends all processes that it started. It exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the disruption is left
//! out.

#[path = "rig_cases.rs"]
mod cases;
#[path = "rig_cell.rs"]
mod cell;
#[path = "rig_http.rs"]
mod http;
#[path = "rig_minion.rs"]
mod minion;
#[path = "rig_record.rs"]
mod record;

use std::process::exit;
use std::thread;
use std::time::Duration;

/// A script may run for 120 s.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(path) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write {path}: {e}");
            exit(2);
        }
    };
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.line("the case could not run: it took too long");
        cell::end_processes();
        exit(2);
    });
    let outcome = cases::play(case, trouble, &record);
    let code = match &outcome {
        Ok(None) => 0,
        Ok(Some(_)) => 1,
        Err(_) => 2,
    };
    let text = match outcome {
        Ok(None) => "the rule held".to_string(),
        Ok(Some(broken)) => format!("RULE BROKEN: {broken}"),
        Err(cause) => format!("the case could not run: {cause}"),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
