//! Tests of the `ebonywalk` command line against a running entry host: output and exit codes.

use async_std::task::{self, block_on};
use client::Method;
use standin::{Behaviour, Cell, CellBuilder, Journal, Upstream};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Longest time to wait for a command's expected exit code.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A cell of one entry host in a temporary directory.
struct Harness {
    cell: Cell,
    dir: TempDir,
}

/// Returns the path of `ebonywalkd`, which `./test` builds next to `ebonywalk`.
fn daemon() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_ebonywalk")).with_file_name("ebonywalkd");
    assert!(path.exists(), "run ./test, or `cargo build --workspace --bins` first");
    path
}

impl Harness {
    fn start() -> Harness {
        let dir = tempfile::tempdir().unwrap();
        let mut cell = CellBuilder::new(&daemon(), dir.path()).zone("a", 1).build().unwrap();
        cell.start().unwrap();
        Harness { cell, dir }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.path().join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    fn run(&self, args: &[&str]) -> Output {
        let (addr, token) = self.cell.hosts[0].operators_addr();
        Command::new(env!("CARGO_BIN_EXE_ebonywalk"))
            .args(args)
            .env("EBONYWALK_OPERATORS", addr.to_string())
            .env("EBONYWALK_TOKEN", token)
            .output()
            .unwrap()
    }

    /// Runs a command until it exits with this code, and returns its output.
    fn until(&self, args: &[&str], code: i32) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let output = self.run(args);
            let text = text(&output);
            if output.status.code() == Some(code) {
                return text;
            }
            assert!(Instant::now() < deadline, "{args:?}: {:?} {text}", output.status);
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn text(output: &Output) -> String {
    let all = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&all).into_owned()
}

const RELEASE: &str = "base: 0\nservices:\n  - {name: desk, timeout: 20s, objective: \
    {answer_within: 2s, target: 0.99}}\nadd:\n  - {team: t, name: web, class: service, \
    tasks: 2, resources: {cpu: 1, memory: 1GiB}}\n";
const JOB: &str =
    "team: t\nname: sync\nclass: batch\ntasks: 2\nresources: {cpu: 500m, memory: 256MiB}\n";

/// Every command must print what operators and scripts look for, and exit with the code of its
/// result: refused, invalid input, or no entry host reached.
#[test]
fn commands_print_results_and_exit_codes() {
    let harness = Harness::start();
    let release = harness.file("release.yaml", RELEASE);
    let job = harness.file("job.yaml", JOB);
    let bad = harness.file("bad.yaml", "base: 0\nadd:\n  - {team: t, name: X, class: batch}\n");
    harness.until(&["status"], 0);

    assert!(harness.until(&["release", "check", &release], 0).contains("good; based on version 0"));
    assert!(harness.until(&["release", "check", &bad], 2).contains("bad.yaml:3"));
    assert!(harness.until(&["release", "diff", &release], 0).contains("+ job t/web: 2 tasks"));
    let applied = harness.until(&["release", "apply", &release], 0);
    assert!(applied.contains("version 1 accepted; in force:"), "{applied}");
    // Applying the same file again is the same request and gets the same answer.
    assert!(harness.until(&["release", "apply", &release], 0).contains("version 1 accepted"));
    let late = harness.file("late.yaml", "base: 0\nquotas: [{team: t, weight: 2}]\n");
    assert!(harness.until(&["release", "apply", &late], 1).contains("version 1 is in force"));

    assert!(harness.until(&["submit", &job], 0).contains("t/sync submitted with 2 tasks"));
    let explained = harness.until(&["explain", "t/sync"], 0);
    assert!(explained.contains("no worker has enough room"), "{explained}");
    assert!(harness.until(&["explain", "t/nothing"], 1).contains("does not exist"));
    assert!(harness.until(&["explain", "nonsense"], 2).contains("write team/name"));
    assert!(harness.until(&["jobs"], 0).contains("t/web"));
    assert!(harness.until(&["cancel", "t/web"], 1).contains("withdraw it there"));
    assert!(harness.until(&["cancel", "t/sync"], 0).contains("cancelled"));
    assert!(harness.until(&["members"], 0).contains("Voter (leads)"));
    let json = harness.until(&["--output", "json", "status"], 0);
    assert!(json.contains("\"release\": 1"), "{json}");
    let unreachable = harness.run(&["--operators", "127.0.0.1:1", "status"]);
    assert_eq!(unreachable.status.code(), Some(3), "{}", text(&unreachable));
    let unauthorized = harness.run(&["--token", "wrong", "status"]);
    assert_eq!(unauthorized.status.code(), Some(1), "{}", text(&unauthorized));
}

/// Requests answered too late or with a server error must count as bad in their own columns and
/// raise the alarm.
#[test]
fn burn_report_counts_slow_and_failed_requests() {
    let harness = Harness::start();
    let release = harness.file("release.yaml", RELEASE);
    harness.until(&["release", "apply", &release], 0);
    let journal = Journal::default();
    let callers = harness.cell.hosts[0].caller_client();
    block_on(async {
        let hosts = harness.cell.platform_addrs("a");
        let upstream = Upstream::start("desk", "a", 8, &hosts, &journal).await.unwrap();
        let send = || callers.send(Method::Get, "/desk/x", &[], Vec::new());
        while send().await.map(|r| r.status).unwrap_or(0) != 200 {
            task::sleep(Duration::from_millis(50)).await;
        }
        upstream.set_behaviour(Behaviour::Answer(Duration::from_millis(2_200)));
        for _ in 0..3 {
            send().await.unwrap();
        }
        upstream.set_behaviour(Behaviour::Fail);
        for _ in 0..4 {
            send().await.unwrap();
        }
    });
    let page = harness.dir.path().join("burn.html").display().to_string();
    let report = harness.until(&["report", "burn", "--html", &page], 0);
    let line = report.lines().find(|l| l.contains("5m")).unwrap();
    let cells: Vec<&str> = line.split_whitespace().collect();
    assert_eq!((cells[3], cells[6]), ("3", "4"), "slow and failed: {report}");
    assert!(line.ends_with("FAST"), "{report}");
    let page = fs::read_to_string(page).unwrap();
    assert!(page.contains("<svg") && page.contains("bad requests by minute"));
}
