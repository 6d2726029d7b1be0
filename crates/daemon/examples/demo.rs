//! A demonstration on this machine: three entry hosts in three zones, two upstreams and three
//! workers.
//!
//! It starts the entry hosts as processes, with stand-ins for upstreams and workers, applies a
//! release note that declares a service job, sends a request, submits a batch job and an
//! all-at-once job, prints their runs, and stops the hosts gracefully. It exits with a failure if a
//! step did not succeed in time.

use async_std::task;
use client::Client;
use serde_json::{json, Value};
use standin::{CellBuilder, Journal, Upstream, Worker, WorkerOptions};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use types::Resources;

const ZONES: [&str; 3] = ["stgo-a", "stgo-b", "valpo-c"];
/// Longest time to wait for a step.
const TIMEOUT: Duration = Duration::from_secs(30);

type BoxError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    match task::block_on(demo()) {
        Ok(()) => {
            println!("done");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("demo: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn demo() -> Result<(), BoxError> {
    let dir = tempfile::tempdir()?;
    let builder = CellBuilder::new(&program()?, dir.path());
    let builder = ZONES.iter().fold(builder, |builder, zone| builder.zone(zone, 1));
    let mut cell = builder.build()?;
    cell.start()?;
    println!("entry hosts: {}", names(&cell.hosts));
    let operators = cell.hosts[0].operator_client();

    let version = apply_release(&operators).await?;
    println!("release {version} accepted");
    for host in &cell.hosts {
        let operators = host.operator_client();
        until("the release is in force", || ready(&operators)).await?;
    }
    println!("release {version} in force on all hosts");

    let journal = Journal::default();
    let mut upstreams = Vec::new();
    for zone in &ZONES[..2] {
        let hosts = cell.platform_addrs(zone);
        upstreams.push(Upstream::start("lead-desk", zone, 8, &hosts, &journal).await?);
    }
    let workers: Vec<Worker> = ZONES
        .iter()
        .zip(["r1", "r2", "r3"])
        .map(|(zone, rack)| start_worker(zone, rack, &cell.platform_addrs(zone), &journal))
        .collect();
    println!("upstreams: {}", upstreams.iter().map(Upstream::addr).collect::<Vec<_>>().join(", "));
    println!("workers: {}", workers.iter().map(Worker::name).collect::<Vec<_>>().join(", "));

    let callers = cell.hosts[2].caller_client();
    let reply = until("a request is answered", || ask(&callers)).await?;
    println!("request answered: {}", reply.trim());

    submit(&operators, "nightly-sync", "batch", 3, &["run", "0.2"]).await?;
    submit(&operators, "venue-match", "all-at-once", 2, &["run", "0.2"]).await?;
    let expected =
        [("planning/desk", 3), ("planning/nightly-sync", 3), ("planning/venue-match", 2)];
    for (job, runs) in expected {
        until(job, || async { (journal.runs_of(job).len() >= runs).then_some(()) }).await?;
        for run in journal.runs_of(job) {
            println!("{job} task {} ran on {} (fence {})", run.index, run.worker, run.fence);
        }
    }
    if !journal.overlapping_runs().is_empty() {
        return Err("a task ran in two places".into());
    }
    for host in &mut cell.hosts {
        let code = host.stop()?;
        println!("{} stopped with exit code {code:?}", host.name);
        if code != Some(0) {
            return Err(format!("{} did not stop gracefully", host.name).into());
        }
    }
    Ok(())
}

/// Returns the path of `ebonywalkd`, which is built next to the examples.
fn program() -> Result<PathBuf, BoxError> {
    let mut path = std::env::current_exe()?;
    path.pop();
    path.pop();
    path.push("ebonywalkd");
    if !path.exists() {
        return Err(format!("{} is missing: build the workspace first", path.display()).into());
    }
    Ok(path)
}

fn names(hosts: &[standin::HostProcess]) -> String {
    hosts.iter().map(|h| h.name.as_str()).collect::<Vec<_>>().join(", ")
}

fn start_worker(
    zone: &str,
    rack: &str,
    hosts: &[std::net::SocketAddr],
    journal: &Journal,
) -> Worker {
    let capacity = Resources { cpu: 8_000, memory: 16 << 30, accelerators: 0 };
    let options = WorkerOptions {
        name: format!("{zone}-w1"),
        rack: rack.to_string(),
        capacity,
        fail_tasks: false,
    };
    Worker::start(options, hosts, journal)
}

async fn apply_release(operators: &Client) -> Result<u64, BoxError> {
    let note = json!({
        "base": 0,
        "services": [{"name": "lead-desk", "timeout": "5s",
            "objective": {"answer_within": "250ms", "target": 0.99}}],
        "add": [{"team": "planning", "name": "desk", "class": "service", "tasks": 3,
            "resources": {"cpu": "1", "memory": "1GiB"}, "command": ["serve"]}],
        "quotas": [{"team": "planning", "weight": 1.0}],
    });
    let body = json!({"request": "demo-1", "note": note});
    let outcome = until("the release is accepted", || async {
        operators.post::<_, Value>("/v1/release", &body).await.ok()
    })
    .await?;
    Ok(outcome.pointer("/Accepted/version").and_then(Value::as_u64).ok_or("not accepted")?)
}

async fn ready(operators: &Client) -> Option<()> {
    let reply = operators.send(client::Method::Get, "/readyz", &[], Vec::new()).await.ok()?;
    (reply.status == 200).then_some(())
}

async fn ask(callers: &Client) -> Option<String> {
    let path = "/lead-desk/inquiries/17";
    let headers = [("idempotency-key", "demo-17")];
    let reply = callers.send(client::Method::Post, path, &headers, b"hello".to_vec()).await.ok()?;
    let ran = reply.status == 200 && reply.header("ebonywalk-outcome") == Some("ran");
    ran.then(|| reply.text())
}

async fn submit(
    operators: &Client,
    name: &str,
    class: &str,
    tasks: u32,
    command: &[&str],
) -> Result<(), BoxError> {
    let spec = json!({
        "team": "planning", "name": name, "class": class, "tasks": tasks,
        "resources": {"cpu": "500m", "memory": "256MiB"}, "command": command, "run_time": "1s",
    });
    let _: Value = operators.post("/v1/jobs", &spec).await?;
    println!("submitted planning/{name}");
    Ok(())
}

/// Polls `f` until it returns a value; fails after [`TIMEOUT`].
async fn until<F, Fut, T>(what: &str, f: F) -> Result<T, BoxError>
where
    F: Fn() -> Fut,
    Fut: std::future::Future<Output = Option<T>>,
{
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        if let Some(value) = f().await {
            return Ok(value);
        }
        task::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("{what}: did not happen within {TIMEOUT:?}").into())
}
