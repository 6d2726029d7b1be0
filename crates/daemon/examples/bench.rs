//! A benchmark on this machine: proxied against direct requests, committed job submissions against
//! raw syncs, start-up time, and the resources of an idle entry host. Figures of one run only.

use async_std::task::{self, block_on};
use client::{Client, ClientBuilder, Method};
use futures::future::join_all;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use standin::{CellBuilder, Journal, Upstream};
use std::fs;
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

/// Requests per measurement.
const REQUESTS: usize = 2_000;
/// Requests in flight at a time.
const CONCURRENCY: usize = 4;

type BoxError = Box<dyn std::error::Error>;

fn main() -> Result<(), BoxError> {
    block_on(bench())
}

async fn bench() -> Result<(), BoxError> {
    let dir = tempfile::tempdir()?;
    let mut program = std::env::current_exe()?;
    program.pop();
    program.pop();
    program.push("ebonywalkd");
    let builder = CellBuilder::new(&program, dir.path()).log_level("warn");
    let mut cell = builder.zone("a", 1).zone("b", 1).zone("c", 1).build()?;
    let start = Instant::now();
    cell.start()?;
    wait_until_up(&cell.hosts[0].operator_client(), "/healthz").await;
    println!("start-up to the first answer: {:?}", start.elapsed());
    let note = json!({"base": 0, "services": [{"name": "desk", "timeout": "5s"}]});
    let body = json!({"request": "first", "note": note});
    while cell.hosts[0].operator_client().post::<_, Value>("/v1/release", &body).await.is_err() {
        task::sleep(Duration::from_millis(50)).await;
    }
    println!("start-up to the first release: {:?}", start.elapsed());

    idle(cell.hosts[0].id().ok_or("not running")?).await?;

    let journal = Journal::default();
    let upstream = Upstream::start("desk", "a", 8, &cell.platform_addrs("a"), &journal).await?;
    task::sleep(Duration::from_secs(12)).await;
    let direct = ClientBuilder::new(upstream.addr()).build();
    let proxied = cell.hosts[0].caller_client();
    let (d, p) = (load(&direct, "/x").await, load(&proxied, "/desk/x").await);
    print_load("direct", &d);
    print_load("proxied", &p);
    let added = p.1.value_at_quantile(0.5) as f64 - d.1.value_at_quantile(0.5) as f64;
    println!("added p50: {:.2} ms; rate: {:.2} of direct", added / 1e3, p.0 / d.0);

    let syncs = raw_syncs(dir.path())?;
    let operators = cell.hosts[0].operator_client();
    let start = Instant::now();
    let mut done = 0;
    while done < 2_000 {
        let jobs = (done..done + 50).map(|i| {
            let operators = operators.clone();
            let spec = json!({"team": "t", "name": format!("j{i}"), "class": "batch", "zone": "a",
                "resources": {"cpu": "1", "memory": "1GiB"}});
            async move { operators.post::<_, Value>("/v1/jobs", &spec).await.map(|_| ()) }
        });
        join_all(jobs).await.into_iter().collect::<Result<Vec<()>, _>>()?;
        done += 50;
    }
    let rate = done as f64 / start.elapsed().as_secs_f64();
    println!("committed submissions: {rate:.0}/s with 50 in flight; raw syncs: {syncs:.0}/s");
    Ok(())
}

/// Waits until the server answers.
async fn wait_until_up(client: &Client, path: &str) {
    while client.send(Method::Get, path, &[], Vec::new()).await.is_err() {
        task::sleep(Duration::from_millis(2)).await;
    }
}

/// Returns requests per second and their latencies in microseconds. Each request opens a connection
/// of its own, in both cases.
async fn load(client: &Client, path: &'static str) -> (f64, Histogram<u64>) {
    let start = Instant::now();
    let tasks = (0..CONCURRENCY).map(|_| {
        let client = client.clone();
        task::spawn(async move {
            let mut times = Vec::new();
            for _ in 0..REQUESTS / CONCURRENCY {
                let sent = Instant::now();
                let reply = client.send(Method::Get, path, &[], Vec::new()).await;
                assert_eq!(reply.map(|r| r.status).unwrap_or(0), 200);
                times.push(sent.elapsed().as_micros() as u64);
            }
            times
        })
    });
    let mut histogram = Histogram::new(3).expect("3 significant digits are valid");
    for times in join_all(tasks).await {
        times
            .into_iter()
            .for_each(|t| histogram.record(t).expect("an auto-resizing histogram takes any value"));
    }
    (REQUESTS as f64 / start.elapsed().as_secs_f64(), histogram)
}

fn print_load(name: &str, (rate, times): &(f64, Histogram<u64>)) {
    let ms = |q| times.value_at_quantile(q) as f64 / 1e3;
    println!("{name}: {rate:.0} requests/s, p50 {:.2} ms, p99 {:.2} ms", ms(0.5), ms(0.99));
}

/// Returns how many appends of 256 bytes, each followed by a sync, the disk does per second.
fn raw_syncs(dir: &Path) -> std::io::Result<f64> {
    let mut file = fs::File::create(dir.join("syncs"))?;
    let start = Instant::now();
    for _ in 0..200 {
        file.write_all(&[0; 256])?;
        file.sync_data()?;
    }
    Ok(200.0 / start.elapsed().as_secs_f64())
}

/// Prints memory, processor time, and loopback traffic while the hosts have nothing to do.
async fn idle(id: u32) -> Result<(), BoxError> {
    const SECONDS: u64 = 10;
    const TICKS_PER_SECOND: f64 = 100.0;
    let cpu = || -> Result<f64, BoxError> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        Ok(fields[11].parse::<f64>()? + fields[12].parse::<f64>()?)
    };
    let loopback = || -> Result<f64, BoxError> {
        let dev = fs::read_to_string("/proc/net/dev")?;
        let line = dev.lines().find(|l| l.trim_start().starts_with("lo:")).ok_or("no loopback")?;
        Ok(line.split_whitespace().nth(1).ok_or("no bytes")?.parse()?)
    };
    let (before, bytes) = (cpu()?, loopback()?);
    task::sleep(Duration::from_secs(SECONDS)).await;
    let used = (cpu()? - before) / TICKS_PER_SECOND / SECONDS as f64;
    let sent = (loopback()? - bytes) / SECONDS as f64;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line =
        |name: &str| status.lines().find(|l| l.starts_with(name)).unwrap_or("").trim().to_string();
    println!("idle: {:.2}% of a core, {}, {}", used * 100.0, line("VmRSS"), line("Threads"));
    // Three hosts send in six directions. Packet headers and acknowledgements are included.
    println!(
        "idle: {:.0} bytes/s on loopback, {:.0} for each direction of a pair",
        sent,
        sent / 6.0
    );
    Ok(())
}
