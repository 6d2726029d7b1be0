//! Helpers for tests with real processes.

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

/// A generous limit: a test waits for what it expects and fails only when it does not come.
const PATIENCE: Duration = Duration::from_secs(60);

static ONE_CELL_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A cell in a folder of its own. Cells run one after another, so that ports don't clash.
pub(crate) struct Lab {
    pub(crate) cell: Cell,
    pub(crate) journal: Journal,
    folder: TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl Lab {
    /// A cell with so many hosts in each zone; nothing runs yet.
    pub(crate) fn new(zones: &[(&str, usize)]) -> Lab {
        let turn = ONE_CELL_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let folder = tempfile::tempdir().unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_ebonywalkd"));
        let builder = CellBuilder::new(program, folder.path());
        let builder = zones.iter().fold(builder, |b, (zone, count)| b.zone(zone, *count));
        let cell = builder.build().unwrap();
        Lab { cell, journal: Journal::default(), folder, _turn: turn }
    }

    /// Starts all hosts and puts a first release with the service `desk` in force.
    pub(crate) async fn start(&mut self) {
        self.cell.start().unwrap();
        let note = json!({"base": 0, "services": [{"name": "desk", "timeout": "3s"}]});
        let outcome = apply(&self.cell.hosts[0], "first", &note).await;
        assert_eq!(outcome.pointer("/Accepted/version"), Some(&json!(1)), "{outcome}");
        for host in &self.cell.hosts {
            until("the release is in force", || is_ready(host)).await;
        }
    }

    pub(crate) async fn upstream(&self, zone: &str) -> Upstream {
        let hosts = self.cell.platform_addrs(zone);
        Upstream::start("desk", zone, 8, &hosts, &self.journal).await.unwrap()
    }

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

/// Sends a release note until there is an answer.
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

pub(crate) async fn release_version(host: &HostProcess) -> Option<u64> {
    let release: Value = host.operator_client().get("/v1/release").await.ok()?;
    release["version"].as_u64()
}

pub(crate) async fn is_ready(host: &HostProcess) -> Option<()> {
    let reply = host.operator_client().send(Method::Get, "/readyz", &[], Vec::new()).await.ok()?;
    (reply.status == 200).then_some(())
}

/// Sends a request to a host; with a key, as one that must run at most once.
pub(crate) async fn ask(callers: &Client, path: &str, key: Option<&str>) -> Option<Reply> {
    let headers: Vec<(&str, &str)> = key.map(|key| ("idempotency-key", key)).into_iter().collect();
    let path = format!("/desk{path}");
    callers.send(Method::Post, &path, &headers, path.clone().into_bytes()).await.ok()
}

/// Waits for something that must happen.
pub(crate) async fn until<F, Fut, T>(what: &str, f: F) -> T
where
    F: Fn() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let give_up = Instant::now() + PATIENCE;
    while Instant::now() < give_up {
        if let Some(value) = f().await {
            return value;
        }
        task::sleep(Duration::from_millis(30)).await;
    }
    panic!("{what}: did not happen within {PATIENCE:?}");
}

pub(crate) async fn submit(host: &HostProcess, spec: &Value) {
    let operators = host.operator_client();
    until("the job is taken", || async { operators.post::<_, Value>("/v1/jobs", spec).await.ok() })
        .await;
}

/// A job of `planning`.
pub(crate) fn spec(name: &str, class: &str, tasks: u32, zone: &str, command: &[&str]) -> Value {
    json!({
        "team": "planning", "name": name, "class": class, "tasks": tasks, "zone": zone,
        "resources": {"cpu": "500m", "memory": "256MiB"}, "command": command,
    })
}

/// Puts relays between all hosts. The result has `(from, to, relay)` for each direction.
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

/// Opens a raw connection, writes, and reads what comes until the end.
pub(crate) async fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    use async_std::io::{ReadExt, WriteExt};
    let mut stream = async_std::net::TcpStream::connect(addr).await.unwrap();
    // The other side may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = async_std::future::timeout(PATIENCE, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

impl Drop for Lab {
    /// Shows what the processes said when a test fails.
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
