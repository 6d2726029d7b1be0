//! Stand-ins for the review's scripts: the platform, minions, clients and the operator, which speak
//! what the users' pages say. Uses the standard library only. `CASE` is the first argument, the
//! folder for `record.txt` the second. The variable `TROUBLE=0` leaves the disruption out.
//!
//! Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

#[path = "standin_cases.rs"]
mod cases;
#[path = "standin_cell.rs"]
mod cell;
#[path = "standin_http.rs"]
mod http;
#[path = "standin_json.rs"]
mod json;
#[path = "standin_minion.rs"]
mod minion;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A script ends after this time at the latest, whatever state it is in.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Writes what was sent, answered and run, with the time since the start in seconds.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record(Arc::new((Mutex::new(File::create(path)?), Instant::now()))))
    }

    pub fn line(&self, text: &str) {
        let at = self.0 .1.elapsed().as_secs_f64();
        let mut file = self.0 .0.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{folder}/record.txt: {e}");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    std::thread::spawn({
        let record = record.clone();
        move || {
            std::thread::sleep(TIME_LIMIT);
            record.line("the time limit was reached");
            cell::kill_all();
            std::process::exit(2);
        }
    });
    let run = std::panic::catch_unwind(|| cases::run(case, trouble, &record));
    cell::kill_all();
    let code = match run {
        Ok(Ok(breaks)) if breaks.is_empty() => {
            record.line("verdict: the rule held");
            println!("the rule held");
            0
        }
        Ok(Ok(breaks)) => {
            for text in breaks.iter().take(20) {
                record.line(&format!("BROKEN: {text}"));
            }
            record.line(&format!("verdict: the rule was broken {} times", breaks.len()));
            println!("broken {} times, the first: {}", breaks.len(), breaks[0]);
            1
        }
        Ok(Err(cause)) => {
            record.line(&format!("verdict: the case could not run: {cause}"));
            println!("could not run: {cause}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(code);
}
