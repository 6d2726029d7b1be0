//! What the log and the metrics say about a data directory that is opened or can't be, with real
//! processes.

mod support;

use async_std::task::{block_on, sleep};
use client::{ClientBuilder, Method};
use standin::free_addrs;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};
use support::{is_ready, until, Harness};
use tempfile::TempDir;

/// Longest wait for an expected event. It is generous, so that a slow machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(60);
const SHUT: &str = "cannot open the data directory";
const OPENED: &str = "opened the data directory";
const RESTORED: &str = "restored the group from disk";

struct Process {
    child: Child,
    dir: TempDir,
    control: SocketAddr,
    metrics_port: u16,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(has_disk: bool) -> Process {
        let dir = tempfile::tempdir().unwrap();
        let addrs = free_addrs(5).unwrap();
        let (front, ready, control, peers) = (addrs[0], addrs[1], addrs[2], addrs[3].port());
        let mut text = format!(
            "node=n-1\nip=127.0.0.1\nzone=a\nlisten.front={front}\nlisten.ready={ready}\n\
             listen.control={control}\nportRange={peers},{peers}\nseeds={control}\n\
             bootstrap={has_disk}\nbounds.graceS=6\nlimits.memoryMb=256\n"
        );
        if has_disk {
            text += &format!("dataDir={}\n", dir.path().join("data").display());
        }
        fs::write(dir.path().join("settings.conf"), text).unwrap();
        let metrics_port = addrs[4].port();
        Process { child: spawn(dir.path(), metrics_port), dir, control, metrics_port }
    }

    /// Kills the process, runs `f` on the directory of its group, and starts it with a new log.
    fn restart<F>(&mut self, f: F)
    where
        F: FnOnce(&Path),
    {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        f(&self.group_dir());
        self.child = spawn(self.dir.path(), self.metrics_port);
    }

    fn group_dir(&self) -> PathBuf {
        self.dir.path().join("data/cell")
    }

    /// Lines with this message since the last start.
    fn lines(&self, message: &str) -> Vec<String> {
        let text = fs::read_to_string(self.dir.path().join("log")).unwrap();
        let message = format!("\"message\":\"{message}\"");
        text.lines().filter(|line| line.contains(&message)).map(str::to_string).collect()
    }

    /// Waits for a line with this message.
    async fn line(&self, message: &str) -> String {
        let began = Instant::now();
        while began.elapsed() < TIMEOUT {
            if let Some(line) = self.lines(message).pop() {
                return line;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("no line {message:?} after {TIMEOUT:?}");
    }

    /// The metric of a family for a kind; `None` if it is not there, or nothing is served.
    async fn metric(&self, family: &str, kind: &str) -> Option<u64> {
        let client = ClientBuilder::new(format!("127.0.0.1:{}", self.metrics_port)).build();
        let reply = client.send(Method::Get, "/metrics", &[], Vec::new()).await.ok()?;
        let kind = format!("kind=\"{kind}\"");
        let text = reply.text();
        let is_wanted = |line: &&str| line.starts_with(family) && line.contains(&kind);
        text.lines().find(is_wanted)?.rsplit_once(' ')?.1.parse().ok()
    }

    async fn until_metric<F>(&self, family: &str, kind: &str, f: F)
    where
        F: Fn(u64) -> bool,
    {
        let began = Instant::now();
        let mut last = None;
        while began.elapsed() < TIMEOUT {
            last = self.metric(family, kind).await;
            if last.is_some_and(&f) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("{family} {kind:?} is {last:?} after {TIMEOUT:?}");
    }

    /// Waits until the group is formed, and puts a configuration, which its log then holds.
    async fn configure(&self, version: u64) {
        self.until_metric("ebonywalk_now", "leads", |leads| leads == 1).await;
        let client = ClientBuilder::new(self.control.to_string()).build();
        let body = format!(r#"{{"version":{version},"routes":[],"services":[]}}"#).into_bytes();
        let reply = client.send(Method::Put, "/api/config", &[], body).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
}

fn spawn(dir: &Path, metrics_port: u16) -> Child {
    Command::new(env!("CARGO_BIN_EXE_ebonywalkd"))
        .args(["on-platform", "--metrics-port", &metrics_port.to_string()])
        .env("EBONYWALK_SETTINGS", dir.join("settings.conf"))
        .stdout(File::create(dir.join("log")).unwrap())
        .spawn()
        .unwrap()
}

/// The number in a field of a log line.
fn field(line: &str, name: &str) -> u64 {
    let (_, rest) = line.split_once(&format!("\"{name}\":")).unwrap_or_else(|| panic!("{line}"));
    let end = rest.find([',', '}']).unwrap();
    rest[..end].parse().unwrap_or_else(|e| panic!("{name}: {e}: {line}"))
}

/// Paths of the segments of the log, in ascending order.
fn segments(group: &Path) -> Vec<PathBuf> {
    let paths = fs::read_dir(group).unwrap().map(|entry| entry.unwrap().path());
    let is_segment = |path: &PathBuf| path.file_name().unwrap().to_str().unwrap().contains("log-");
    let mut paths: Vec<PathBuf> = paths.filter(is_segment).collect();
    paths.sort();
    paths
}

/// Inverts a byte of the contents of the first frame in the first segment.
fn flip(group: &Path) {
    let path = &segments(group)[0];
    let mut bytes = fs::read(path).unwrap();
    bytes[9] ^= 0xff;
    // A process that tries to open it must not read a part.
    let new = group.join("new");
    fs::write(&new, bytes).unwrap();
    fs::rename(new, path).unwrap();
}

/// Guards against a host that stays out of its group unseen, or that fills its log meanwhile.
#[test]
fn a_shut_directory_is_one_line_and_a_metric_until_it_opens() {
    block_on(async {
        let mut process = Process::start(true);
        process.configure(1).await;
        process.configure(2).await;
        assert_eq!(process.metric("ebonywalk_now", "data_directory_shut").await, Some(0));
        process.restart(flip);
        process.line(SHUT).await;
        sleep(Duration::from_secs(3)).await;
        let lines = process.lines(SHUT);
        assert_eq!(lines.len(), 1, "{lines:#?}");
        assert!(lines[0].contains("\"level\":\"ERROR\""), "{}", lines[0]);
        assert!(lines[0].contains(": damaged at byte 0"), "{}", lines[0]);
        assert_eq!((field(&lines[0], "attempts"), field(&lines[0], "shut_ms")), (1, 0));
        assert_eq!(process.metric("ebonywalk_now", "data_directory_shut").await, Some(1));
        let (family, kind) = ("ebonywalk_since_start", "data_directory_failures");
        process.until_metric(family, kind, |count| count >= 3).await;
        flip(&process.group_dir());
        let opened = process.line(OPENED).await;
        assert!(field(&opened, "attempts") > 3, "{opened}");
        assert!(field(&opened, "shut_ms") >= 2_000, "{opened}");
        process.until_metric("ebonywalk_now", "data_directory_shut", |shut| shut == 0).await;
        process.configure(3).await;
    });
}

#[test]
fn what_an_open_found_is_logged() {
    block_on(async {
        let mut process = Process::start(true);
        process.configure(1).await;
        process.restart(|_| ());
        let line = process.line(RESTORED).await;
        assert_eq!(field(&line, "segments"), 1, "{line}");
        assert_eq!(field(&line, "torn_bytes"), 0, "{line}");
        assert!(field(&line, "frames") > 0 && field(&line, "tail_bytes") > 0, "{line}");
        let (first, last) = (field(&line, "first"), field(&line, "last"));
        assert_eq!(last - first + 1, field(&line, "entries"), "{line}");
        field(&line, "took_ms");
        let opened = process.line(OPENED).await;
        assert_eq!((field(&opened, "attempts"), field(&opened, "shut_ms")), (1, 0));
        assert!(process.lines("cut off an interrupted write at the end of the log").is_empty());
        process.configure(2).await;
        process.restart(|group| {
            let path = segments(group).pop().unwrap();
            let whole = fs::read(&path).unwrap();
            fs::write(path, [&whole, &whole[..5]].concat()).unwrap();
        });
        let cut = process.line("cut off an interrupted write at the end of the log").await;
        assert!(cut.contains("\"level\":\"WARN\""), "{cut}");
        assert_eq!(field(&cut, "torn_bytes"), 5, "{cut}");
        assert_eq!(field(&process.line(RESTORED).await, "torn_bytes"), 5);
    });
}

#[test]
fn a_host_without_a_disk_has_no_shut_directory() {
    block_on(async {
        let process = Process::start(false);
        process.until_metric("ebonywalk_now", "data_directory_shut", |shut| shut == 0).await;
        let (family, kind) = ("ebonywalk_since_start", "data_directory_failures");
        process.until_metric(family, kind, |count| count == 0).await;
    });
}

#[test]
fn what_a_native_host_found_is_logged() {
    block_on(async {
        let mut harness = Harness::new(&[("a", 1)]);
        harness.start().await;
        let host = harness.cell.host("a-1");
        host.kill();
        host.start().unwrap();
        until("the host is back", || is_ready(host)).await;
        let log = fs::read_to_string(host.log_path()).unwrap();
        let restored = |line: &&str| line.contains("group restored group=cell ");
        let line = log.lines().find(restored).unwrap_or_else(|| panic!("{log}"));
        for part in ["first=1 ", " last=", " segments=1 ", " torn_bytes=0 ", " took_ms="] {
            assert!(line.contains(part), "{part}: {line}");
        }
        for part in [" frames=0 ", " tail_bytes=0 "] {
            assert!(!line.contains(part), "the release is in the log: {line}");
        }
    });
}
