//! The command line against a running entry host: what it prints, and its exit codes.

use async_std::task::{self, block_on};
use client::Method;
use standin::{Behaviour, Cell, CellBuilder, Journal, Upstream};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const PATIENCE: Duration = Duration::from_secs(60);

struct Bench {
    cell: Cell,
    folder: TempDir,
}

/// `ebonywalkd`, which `./test` builds beside `ebonywalk`.
fn daemon() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_ebonywalk")).with_file_name("ebonywalkd");
    assert!(path.exists(), "run ./test, or `cargo build --workspace --bins` first");
    path
}

impl Bench {
    fn start() -> Bench {
        let folder = tempfile::tempdir().unwrap();
        let mut cell = CellBuilder::new(&daemon(), folder.path()).zone("a", 1).build().unwrap();
        cell.start().unwrap();
        Bench { cell, folder }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
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

    /// Runs a command until it ends with this code, and gives back what it printed.
    fn until(&self, args: &[&str], code: i32) -> String {
        let give_up = Instant::now() + PATIENCE;
        loop {
            let output = self.run(args);
            let text = text(&output);
            if output.status.code() == Some(code) {
                return text;
            }
            assert!(Instant::now() < give_up, "{args:?}: {:?} {text}", output.status);
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

#[test]
fn an_operator_finds_the_way() {
    let bench = Bench::start();
    let release = bench.file("release.yaml", RELEASE);
    let job = bench.file("job.yaml", JOB);
    let bad = bench.file("bad.yaml", "base: 0\nadd:\n  - {team: t, name: X, class: batch}\n");
    bench.until(&["status"], 0);

    assert!(bench.until(&["release", "check", &release], 0).contains("good; based on version 0"));
    assert!(bench.until(&["release", "check", &bad], 2).contains("bad.yaml:3"));
    assert!(bench.until(&["release", "diff", &release], 0).contains("+ job t/web: 2 tasks"));
    let applied = bench.until(&["release", "apply", &release], 0);
    assert!(applied.contains("version 1 accepted; in force:"), "{applied}");
    // The same file again is the same request, and hears the same.
    assert!(bench.until(&["release", "apply", &release], 0).contains("version 1 accepted"));
    let late = bench.file("late.yaml", "base: 0\nquotas: [{team: t, weight: 2}]\n");
    assert!(bench.until(&["release", "apply", &late], 1).contains("version 1 is in force"));

    assert!(bench.until(&["submit", &job], 0).contains("t/sync submitted with 2 tasks"));
    let explained = bench.until(&["explain", "t/sync"], 0);
    assert!(explained.contains("no worker has enough room"), "{explained}");
    assert!(bench.until(&["explain", "t/nothing"], 1).contains("does not exist"));
    assert!(bench.until(&["explain", "nonsense"], 2).contains("write team/name"));
    assert!(bench.until(&["jobs"], 0).contains("t/web"));
    assert!(bench.until(&["cancel", "t/web"], 1).contains("withdraw it there"));
    assert!(bench.until(&["cancel", "t/sync"], 0).contains("cancelled"));
    assert!(bench.until(&["members"], 0).contains("Voter (leads)"));
    let json = bench.until(&["--output", "json", "status"], 0);
    assert!(json.contains("\"release\": 1"), "{json}");
    let nobody = bench.run(&["--operators", "127.0.0.1:1", "status"]);
    assert_eq!(nobody.status.code(), Some(3), "{}", text(&nobody));
    let stranger = bench.run(&["--token", "wrong", "status"]);
    assert_eq!(stranger.status.code(), Some(1), "{}", text(&stranger));
}

#[test]
fn the_burn_report_shows_what_burned() {
    let bench = Bench::start();
    let release = bench.file("release.yaml", RELEASE);
    bench.until(&["release", "apply", &release], 0);
    let journal = Journal::default();
    let callers = bench.cell.hosts[0].caller_client();
    block_on(async {
        let hosts = bench.cell.platform_addrs("a");
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
    let page = bench.folder.path().join("burn.html").display().to_string();
    let report = bench.until(&["report", "burn", "--html", &page], 0);
    let line = report.lines().find(|l| l.contains("5m")).unwrap();
    let cells: Vec<&str> = line.split_whitespace().collect();
    assert_eq!((cells[3], cells[6]), ("3", "4"), "slow and failed: {report}");
    assert!(line.ends_with("FAST"), "{report}");
    let page = fs::read_to_string(page).unwrap();
    assert!(page.contains("<svg") && page.contains("bad requests by minute"));
}
