//! Harness for tests that run `ebonywalkd` as real processes.

#![allow(dead_code)]

mod relay;

use async_std::task;
use client::{Client, Method, Reply};
pub(crate) use relay::Relay;
use serde_json::{json, Value};
use standin::{Cell, CellBuilder, HostProcess, Journal, Upstream, Worker, WorkerOptions};
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use types::Resources;

/// Longest wait for an expected event. It is generous, so that a slow machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(60);

static ONE_CELL_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A cell in a temporary directory of its own. Cells of one test binary run one after another, so
/// that their ports don't collide.
pub(crate) struct Harness {
    pub(crate) cell: Cell,
    pub(crate) journal: Journal,
    dir: TempDir,
    _guard: MutexGuard<'static, ()>,
}

impl Harness {
    /// Creates a cell from zones and their number of hosts. Nothing is started.
    pub(crate) fn new(zones: &[(&str, usize)]) -> Harness {
        let guard = ONE_CELL_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let dir = tempfile::tempdir().unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_ebonywalkd"));
        let builder = CellBuilder::new(program, dir.path());
        let builder = zones.iter().fold(builder, |b, (zone, count)| b.zone(zone, *count));
        let cell = builder.build().unwrap();
        Harness { cell, journal: Journal::default(), dir, _guard: guard }
    }

    /// Starts all hosts, applies a release with the service `desk`, and waits until all are ready.
    pub(crate) async fn start(&mut self) {
        self.cell.start().unwrap();
        let note = json!({"base": 0, "services": [{"name": "desk", "timeout": "3s"}]});
        let outcome = apply(&self.cell.hosts[0], "first", &note).await;
        assert_eq!(outcome.pointer("/Accepted/version"), Some(&json!(1)), "{outcome}");
        for host in &self.cell.hosts {
            until("the release is in force", || is_ready(host)).await;
        }
    }

    /// Starts an upstream of `desk` in a zone.
    pub(crate) async fn upstream(&self, zone: &str) -> Upstream {
        let hosts = self.cell.platform_addrs(zone);
        Upstream::start("desk", zone, 8, &hosts, &self.journal).await.unwrap()
    }

    /// Starts a worker in a zone, on a rack of its own.
    pub(crate) fn worker(&self, zone: &str, name: &str) -> Worker {
        let options = WorkerOptions {
            name: name.to_string(),
            rack: format!("rack-{name}"),
            capacity: Resources { cpu: 8_000, memory: 16 << 30, accelerators: 0 },
            fail_tasks: false,
        };
        Worker::start(options, &self.cell.platform_addrs(zone), &self.journal)
    }
}

/// Sends a release note until it is accepted or refused as a conflict, and returns the answer.
pub(crate) async fn apply(host: &HostProcess, request: &str, note: &Value) -> Value {
    let body = json!({"request": request, "note": note});
    let operators = host.operator_client();
    until("the release note is answered", || async {
        match operators.post::<_, Value>("/v1/release", &body).await {
            Ok(value) => Some(value),
            Err(client::Error::Refused(409, _, body)) => serde_json::from_str(&body).ok(),
            Err(_) => None,
        }
    })
    .await
}

/// Returns the version of the release in force at a host.
pub(crate) async fn release_version(host: &HostProcess) -> Option<u64> {
    let release: Value = host.operator_client().get("/v1/release").await.ok()?;
    release["version"].as_u64()
}

/// Returns `Some` if the host reports that it is ready.
pub(crate) async fn is_ready(host: &HostProcess) -> Option<()> {
    let reply = host.operator_client().send(Method::Get, "/readyz", &[], Vec::new()).await.ok()?;
    (reply.status == 200).then_some(())
}

/// Sends a request for `desk` to a host, with an idempotency key if one is given. Returns `None` if
/// no complete answer arrived.
pub(crate) async fn ask(callers: &Client, path: &str, key: Option<&str>) -> Option<Reply> {
    let headers: Vec<(&str, &str)> = key.map(|key| ("idempotency-key", key)).into_iter().collect();
    let path = format!("/desk{path}");
    callers.send(Method::Post, &path, &headers, path.clone().into_bytes()).await.ok()
}

/// Polls `f` until it returns a value. Panics after [`TIMEOUT`].
pub(crate) async fn until<F, Fut, T>(what: &str, f: F) -> T
where
    F: Fn() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        if let Some(value) = f().await {
            return value;
        }
        task::sleep(Duration::from_millis(30)).await;
    }
    panic!("{what}: did not happen within {TIMEOUT:?}");
}

/// Submits a job, and retries until it is accepted.
pub(crate) async fn submit(host: &HostProcess, spec: &Value) {
    let operators = host.operator_client();
    until("the job is accepted", || async {
        operators.post::<_, Value>("/v1/jobs", spec).await.ok()
    })
    .await;
}

/// Returns the spec of a job of the team `planning`.
pub(crate) fn spec(name: &str, class: &str, tasks: u32, zone: &str, command: &[&str]) -> Value {
    json!({
        "team": "planning", "name": name, "class": class, "tasks": tasks, "zone": zone,
        "resources": {"cpu": "500m", "memory": "256MiB"}, "command": command,
    })
}

/// Puts a relay between each pair of hosts and into their settings. Returns `(from, to, relay)` for
/// each direction.
pub(crate) async fn relay_all(cell: &Cell) -> Vec<(String, String, Relay)> {
    let mut relays = Vec::new();
    for from in &cell.hosts {
        for to in cell.hosts.iter().filter(|to| to.name != from.name) {
            let relay = Relay::start(to.peers_addr()).await;
            let (old, new) = (to.peers_addr().to_string(), relay.addr().to_string());
            let entry = format!("host: {}, zone: {}, peers: ", to.name, to.zone);
            from.edit_settings(|text| {
                text.replace(&format!("{entry}{old}"), &format!("{entry}{new}"))
            })
            .unwrap();
            relays.push((from.name.clone(), to.name.clone(), relay));
        }
    }
    relays
}

/// Opens a TCP connection, writes `bytes`, and returns what was read until the connection ended.
pub(crate) async fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    use async_std::io::{ReadExt, WriteExt};
    let mut stream = async_std::net::TcpStream::connect(addr).await.unwrap();
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = async_std::future::timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

impl Drop for Harness {
    /// Prints the last log lines of each host if the test failed.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for host in &self.cell.hosts {
            let log = std::fs::read_to_string(host.log_path()).unwrap_or_default();
            let lines: Vec<&str> = log.lines().rev().take(12).collect();
            println!("last lines of {}:", host.name);
            lines.iter().rev().for_each(|line| println!("  {line}"));
        }
    }
}
