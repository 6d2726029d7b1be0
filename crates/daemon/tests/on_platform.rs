//! One process with the platform's settings file, over real sockets: invalid input, the answers
//! for a job from submission to cancellation, an invalid settings file on reload, and a graceful
//! stop.

use async_std::task::{block_on, sleep};
use client::{Client, ClientBuilder, Method, Reply};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Longest wait for an expected event. It is generous, so that a slow machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(60);
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r","host":"q.example","prefix":"/q/",
    "timeoutMs":3000,"sloMs":250,"prio":0,"service":"s","attempts":3,"stretch":1.5}],
    "services":[{"name":"s"}],"limits":{"bodyBytes":262144}}"#;
const JOB: &str = r#"{"spec":"x","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":50}]}"#;
const HOST: [(&str, &str); 1] = [("host", "q.example")];

/// Memory of the machine, in MB.
const MEMORY_MB: u64 = 256;

struct Process {
    child: Child,
    callers: SocketAddr,
    control: SocketAddr,
    metrics_port: u16,
    settings: PathBuf,
    _dir: TempDir,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start() -> Process {
    start_with_output(Stdio::null())
}

fn start_with_output(stdout: Stdio) -> Process {
    let dir = tempfile::tempdir().unwrap();
    let ports = standin::free_addrs(5).unwrap();
    let (callers, ready, control, peers) = (ports[0], ports[1], ports[2], ports[3].port());
    let text = format!(
        "node=n-1\nip=127.0.0.1\nzone=a\nlisten.front={callers}\nlisten.ready={ready}\n\
         listen.control={control}\nportRange={peers},{peers}\nseeds={control}\nbootstrap=true\n\
         dataDir={}\nbounds.graceS=6\nlimits.memoryMb={MEMORY_MB}\n",
        dir.path().join("data").display()
    );
    let settings = dir.path().join("settings.conf");
    fs::write(&settings, text).unwrap();
    let metrics_port = ports[4].port();
    let child = spawn(&settings, metrics_port, stdout);
    Process { child, callers, control, metrics_port, settings, _dir: dir }
}

fn spawn(settings: &Path, metrics_port: u16, stdout: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_ebonywalkd"))
        .args(["on-platform", "--metrics-port", &metrics_port.to_string()])
        .env("EBONYWALK_SETTINGS", settings)
        .stdout(stdout)
        .spawn()
        .unwrap()
}

impl Process {
    fn callers(&self) -> Client {
        ClientBuilder::new(self.callers.to_string()).build()
    }

    fn control(&self) -> Client {
        ClientBuilder::new(self.control.to_string()).build()
    }

    /// Puts the configuration until it is in force and callers are served.
    async fn configure(&self) {
        let began = Instant::now();
        while began.elapsed() < TIMEOUT {
            let body = CONFIG.as_bytes().to_vec();
            let sent = self.control().send(Method::Put, "/api/config", &[], body).await;
            let counted = self.callers().send(Method::Get, "/q/", &HOST, Vec::new()).await;
            let is_ok = |reply: &Reply| reply.status == 200;
            if sent.is_ok_and(|reply| is_ok(&reply)) && counted.is_ok_and(|reply| is_ok(&reply)) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("no configuration in force after {TIMEOUT:?}");
    }

    /// Kills the process and starts it again with what is on its disk.
    fn crash(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = spawn(&self.settings, self.metrics_port, Stdio::null());
    }

    async fn post(&self, id: &str, body: &[u8]) -> Reply {
        let path = format!("/q/{id}");
        self.callers().send(Method::Post, &path, &HOST, body.to_vec()).await.unwrap()
    }

    fn resident_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

/// Invalid jobs must be refused with the field and the cause and leave nothing behind, and
/// oversized bodies must not make the process grow.
#[test]
fn bad_input_is_refused_and_the_process_stays_up() {
    block_on(async {
        let process = start();
        process.configure().await;
        let id = "5c0e7a21d94b36f8";
        let steps = |step: &str| format!(r#"{{"spec":"x","steps":[{step}]}}"#);
        let cases: [(&str, String, u16, &str); 8] = [
            ("5c0e", JOB.to_string(), 400, "id: must be 16"),
            ("zz0e7a21d94b36f8", JOB.to_string(), 400, "id: must be 16"),
            (id, steps(r#"{"count":0}"#), 400, "steps[0].count: must not be 0"),
            (id, steps(r#"{"count":1000000}"#), 400, "steps[0].count: 1000000"),
            (id, steps(r#"{"count":1,"after":[0]}"#), 400, "steps[0].after"),
            (id, steps(r#"{"count":1,"colour":1}"#), 400, "unknown field"),
            (id, "{".to_string(), 400, "EOF"),
            (id, "x".repeat(300 << 10), 413, "body: over 262144 bytes"),
        ];
        for (id, body, status, cause) in &cases {
            let reply = process.post(id, body.as_bytes()).await;
            assert_eq!(reply.status, *status, "{}", reply.text());
            assert!(reply.text().contains(cause), "{}", reply.text());
        }
        cut_short(process.callers);
        let before = process.resident_kib();
        for _ in 0..40 {
            process.post(id, "x".repeat(300 << 10).as_bytes()).await;
        }
        let grown = process.resident_kib().saturating_sub(before);
        assert!(grown < 16 << 10, "memory grew by {grown} KiB");
        let state = |reply: Reply| (reply.status, reply.text());
        let get = process.callers().send(Method::Get, &format!("/q/{id}"), &HOST, Vec::new()).await;
        assert_eq!(state(get.unwrap()).0, 410, "no invalid job was accepted");
    });
}

/// Guards against accepted jobs that end each process for good (review/12): the largest jobs, as many
/// as are accepted, must leave the process well below its machine's memory, also after a restart.
#[test]
fn the_largest_jobs_end_no_process() {
    let step = r#"{"count":10000,"cpu":1,"memMb":1,"estimateMs":50}"#;
    let largest = format!(r#"{{"spec":"x","steps":[{}]}}"#, vec![step; 256].join(","));
    let id = |n: u64| format!("{n:016x}");
    block_on(async {
        let mut process = start();
        process.configure().await;
        assert_eq!(process.post(&id(0xa9), JOB.as_bytes()).await.status, 200);
        let mut refused = None;
        let mut accepted = 0;
        let limit = MEMORY_MB * 1_024 / 2;
        while refused.is_none() && process.resident_kib() < limit {
            let reply = process.post(&id(0x1000 + accepted), largest.as_bytes()).await;
            match reply.status {
                200 => accepted += 1,
                _ => refused = Some(reply),
            }
        }
        let resident = process.resident_kib();
        println!("{accepted} jobs are accepted; {resident} KiB");
        assert!(resident < limit, "{resident} KiB with {accepted} jobs");
        let refused = refused.expect("the loop ends with a refusal");
        assert_eq!(refused.status, 503, "{}", refused.text());
        assert!(refused.text().contains("no room"), "{}", refused.text());
        assert!(refused.header("retry-after").is_some(), "no time to come back");
        assert!(accepted > 4, "only {accepted} are accepted");
        process.crash();
        process.configure().await;
        let resident = process.resident_kib();
        assert!(resident < limit, "{resident} KiB after a restart");
        let send = |method, n: u64| {
            let callers = process.callers();
            let path = format!("/q/{}", id(n));
            async move { callers.send(method, &path, &HOST, Vec::new()).await.unwrap() }
        };
        for n in [0xa9, 0x1000, 0x1000 + accepted - 1] {
            assert_eq!(send(Method::Get, n).await.text(), r#"{"state":"queued"}"#);
        }
        assert_eq!(process.post(&id(1), largest.as_bytes()).await.status, 503);
        for n in 0..2 {
            assert_eq!(send(Method::Delete, 0x1000 + n).await.status, 200);
        }
        assert_eq!(process.post(&id(1), largest.as_bytes()).await.status, 200, "room is free");
    });
}

/// Guards against a log that fills disk and memory because it is compacted by its number of entries
/// alone: large jobs come and are cancelled.
#[test]
fn the_log_of_large_jobs_is_compacted_by_its_size() {
    const JOBS: u64 = 500;
    /// Half of the disk of the smallest machine with one.
    const DISK_BYTES: u64 = 64 << 20;
    let image = "x".repeat(900);
    let step = format!(r#"{{"count":1,"cpu":1,"memMb":1,"estimateMs":50,"image":"{image}"}}"#);
    let job = format!(r#"{{"spec":"x","steps":[{}]}}"#, vec![step; 250].join(","));
    block_on(async {
        let process = start();
        process.configure().await;
        let mut most = 0;
        for n in 0..JOBS {
            let id = format!("{n:016x}");
            let reply = process.post(&id, job.as_bytes()).await;
            assert_eq!(reply.status, 200, "job {n}: {}", reply.text());
            let path = format!("/q/{id}");
            let cancel = process.callers().send(Method::Delete, &path, &HOST, Vec::new()).await;
            assert_eq!(cancel.unwrap().status, 200);
            most = most.max(disk_bytes(&process.settings.with_file_name("data")));
        }
        let resident = process.resident_kib();
        println!("{most} bytes of disk at most, {resident} KiB");
        assert!(most < DISK_BYTES, "{most} bytes of disk");
        assert!(resident < MEMORY_MB * 1_024 / 2, "{resident} KiB");
    });
}

/// Size of all files below a directory.
fn disk_bytes(dir: &Path) -> u64 {
    let entries = fs::read_dir(dir).into_iter().flatten().flatten();
    let size = |entry: fs::DirEntry| match entry.metadata() {
        Ok(found) if found.is_dir() => disk_bytes(&entry.path()),
        Ok(found) => found.len(),
        // It was removed meanwhile.
        Err(_) => 0,
    };
    entries.map(size).sum()
}

/// Sends a body that is shorter than its `Content-Length`.
fn cut_short(addr: SocketAddr) {
    let mut stream = TcpStream::connect(addr).unwrap();
    let head =
        "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nhost: q.example\r\ncontent-length: 500\r\n\r\n{";
    stream.write_all(head.as_bytes()).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    // Closing a connection with unread bytes resets it, which may discard the answer.
    let _ = stream.read_to_string(&mut answer);
    assert!(answer.is_empty() || answer.contains(" 400 "), "{answer}");
}

/// Guards against a request that is taken for the rest of a body that nobody has read.
#[test]
fn a_request_after_one_whose_body_was_not_read_is_answered() {
    block_on(async {
        let process = start();
        process.configure().await;
        let mut stream = TcpStream::connect(process.callers).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let head = "POST /q/5c0e HTTP/1.1\r\nhost: q.example\r\ncontent-length: 4\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        let mut buf = [0; 4_096];
        let read = stream.read(&mut buf).unwrap();
        let refused = String::from_utf8_lossy(&buf[..read]).to_lowercase();
        assert!(refused.starts_with("http/1.1 400"), "{refused}");
        if refused.contains("connection: close") {
            return;
        }
        let next = "bodyGET /q/ HTTP/1.1\r\nhost: q.example\r\n\r\n";
        stream.write_all(next.as_bytes()).unwrap();
        let read = stream.read(&mut buf).expect("the next request is answered");
        let answer = String::from_utf8_lossy(&buf[..read]);
        assert!(answer.contains(r#"{"waiting":"#), "{answer}");
    });
}

/// A job sent twice must be accepted once; its state and the count of waiting jobs must follow it
/// to its cancellation. A configuration with an older version must not replace a newer one.
#[test]
fn a_job_is_accepted_once_seen_counted_and_cancelled() {
    block_on(async {
        let process = start();
        process.configure().await;
        let id = "00000000000000a1";
        for _ in 0..2 {
            assert_eq!(process.post(id, JOB.as_bytes()).await.status, 200);
        }
        let callers = process.callers();
        let path = format!("/q/{id}");
        let send = |method, path: String| {
            let callers = callers.clone();
            async move { callers.send(method, &path, &HOST, Vec::new()).await.unwrap() }
        };
        let seen = send(Method::Get, path.clone()).await;
        assert_eq!((seen.status, seen.text().as_str()), (200, r#"{"state":"queued"}"#));
        let counted = send(Method::Get, "/q/".to_string()).await;
        assert_eq!(counted.text(), r#"{"waiting":1}"#, "the same id is one job");
        assert_eq!(send(Method::Delete, path.clone()).await.status, 200);
        assert_eq!(send(Method::Get, path).await.text(), r#"{"state":"cancelled"}"#);
        assert_eq!(send(Method::Delete, "/q/00000000000000ff".to_string()).await.status, 410);
        assert_eq!(send(Method::Get, "/none/00000000000000a1".to_string()).await.status, 404);
        let read =
            process.control().send(Method::Get, "/api/config", &[], Vec::new()).await.unwrap();
        assert_eq!(read.text(), CONFIG, "the configuration is read back as sent");
        let older = CONFIG.replace("\"version\":3", "\"version\":2").replace("\"s\"", "\"t\"");
        let put = process.control().send(Method::Put, "/api/config", &[], older.into_bytes()).await;
        assert_eq!(put.unwrap().status, 200, "an older version is acknowledged");
        let read =
            process.control().send(Method::Get, "/api/config", &[], Vec::new()).await.unwrap();
        assert_eq!(read.text(), CONFIG, "an older version changes nothing");
    });
}

/// A reload with an invalid settings file must keep the settings in force, and SIGTERM must end the
/// process with exit code 0.
#[test]
fn a_bad_settings_file_changes_nothing_and_a_stop_ends_in_order() {
    block_on(async {
        let mut process = start();
        process.configure().await;
        fs::write(&process.settings, "node\n").unwrap();
        signal(&process, "HUP");
        assert_eq!(process.post("00000000000000a2", JOB.as_bytes()).await.status, 200);
        signal(&process, "TERM");
        let began = Instant::now();
        let ended = loop {
            if let Some(status) = process.child.try_wait().unwrap() {
                break status;
            }
            assert!(began.elapsed() < TIMEOUT, "the process does not stop");
            sleep(Duration::from_millis(50)).await;
        };
        assert!(ended.success(), "{ended}");
    });
}

/// Guards against a reload signal that ends a process which is still starting.
#[test]
fn a_reload_signal_during_the_start_does_not_end_the_process() {
    block_on(async {
        let mut process = start_with_output(Stdio::piped());
        let mut lines = BufReader::new(process.child.stdout.take().unwrap()).lines();
        assert!(lines.any(|line| line.unwrap().contains("starting")), "the start is not logged");
        signal(&process, "HUP");
        // The process must be able to write on.
        let reader = thread::spawn(move || lines.count());
        process.configure().await;
        assert_eq!(process.post("00000000000000a3", JOB.as_bytes()).await.status, 200);
        drop(process);
        reader.join().unwrap();
    });
}

/// Guards against clients that fill the log with what they send.
#[test]
fn a_long_path_is_cut_in_the_log() {
    block_on(async {
        let mut process = start_with_output(Stdio::piped());
        let mut lines = BufReader::new(process.child.stdout.take().unwrap()).lines();
        let reader = thread::spawn(move || {
            let lines = lines.by_ref().map(|line| line.unwrap());
            lines.into_iter().find(|line| line.contains("\"status\":400"))
        });
        process.configure().await;
        assert_eq!(process.post(&"a".repeat(5_000), JOB.as_bytes()).await.status, 400);
        let line = reader.join().unwrap().expect("the request is logged");
        assert!(line.contains("/q/aaaa") && line.len() < 1_000, "{} bytes", line.len());
    });
}

/// Guards against jobs that run for callers who have given up while the host was frozen: their
/// submissions wait in its sockets, and it can't know of a cancelling elsewhere (review/15).
#[test]
fn a_submission_whose_caller_left_while_the_host_was_frozen_is_dropped() {
    const GONE: &str = "00000000000000a5";
    const WAITING: &str = "00000000000000a6";
    block_on(async {
        let process = start();
        process.configure().await;
        signal(&process, "STOP");
        let submit = |id: &str| {
            let mut stream = TcpStream::connect(process.callers).unwrap();
            let head = format!(
                "POST /q/{id} HTTP/1.1\r\nhost: q.example\r\ncontent-length: {}\r\n\r\n",
                JOB.len()
            );
            stream.write_all([head.as_bytes(), JOB.as_bytes()].concat().as_slice()).unwrap();
            stream
        };
        let mut waiting = submit(WAITING);
        drop(submit(GONE));
        sleep(Duration::from_millis(2_500)).await;
        signal(&process, "CONT");
        waiting.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut buf = [0; 4_096];
        let read = waiting.read(&mut buf).unwrap();
        let answer = String::from_utf8_lossy(&buf[..read]);
        assert!(answer.starts_with("HTTP/1.1 200"), "a caller that waits is served: {answer}");
        sleep(Duration::from_millis(500)).await;
        let path = format!("/q/{GONE}");
        let seen = process.callers().send(Method::Get, &path, &HOST, Vec::new()).await.unwrap();
        assert_eq!(seen.status, 410, "{}", seen.text());
    });
}

/// Guards against a job that starts after its cancelling was acknowledged (review/15).
#[test]
fn a_submission_of_a_cancelled_job_is_refused() {
    block_on(async {
        let process = start();
        process.configure().await;
        let path = "/q/00000000000000a7";
        let send = |method| {
            let callers = process.callers();
            async move { callers.send(method, path, &HOST, Vec::new()).await.unwrap().status }
        };
        assert_eq!(send(Method::Delete).await, 410);
        let refused = process.post("00000000000000a7", JOB.as_bytes()).await;
        assert_eq!(refused.status, 409, "{}", refused.text());
        assert!(refused.text().contains("cancelled before"), "{}", refused.text());
        assert_eq!(send(Method::Get).await, 410, "nobody is shown a job that never ran");
        assert_eq!(send(Method::Delete).await, 410);
    });
}

fn signal(process: &Process, name: &str) {
    let pid = process.child.id().to_string();
    let status = Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap();
    assert!(status.success());
}

/// Guards against a process that ends, or that hears its workers no longer, after an odd heartbeat.
#[test]
fn an_odd_heartbeat_is_refused_and_the_next_ones_are_heard() {
    const WORKER: &str = r#"{"service":"s","addr":"127.0.0.1:9","zone":"a","state":"ready",
        "born":1790000000000,"capacity":{"cpu":1000,"memMb":1000,"gpu":0},"labels":["a","r1"],
        "clockMs":482113}"#;
    block_on(async {
        let mut process = start();
        process.configure().await;
        let put = |name: &str, body: String| {
            let (control, path) = (process.control(), format!("/api/instances/{name}"));
            async move { control.send(Method::Put, &path, &[], body.into_bytes()).await.unwrap() }
        };
        let odd = [
            ("addr", "127.0.0.1:9", "127.0.0.1:99999".to_string()),
            ("addr", "127.0.0.1:9", "127.0.0.1:0".to_string()),
            ("clock", "482113", "1e300".to_string()),
            ("clock", "482113", u64::MAX.to_string()),
            ("born", "1790000000000", u64::MAX.to_string()),
            ("cpu", ":1000,\"mem", format!(":{},\"mem", u64::MAX)),
            ("labels", "[\"a\",\"r1\"]", "[".repeat(1 << 20)),
            ("state", "\"ready\"", "{\"a\":".repeat(1 << 18)),
        ];
        for (field, part, value) in odd {
            for name in ["i-1", "i-other"] {
                assert!(WORKER.contains(part), "{part}");
                let reply = put(name, WORKER.replace(part, &value)).await;
                assert_eq!(reply.status, 400, "{field}: {}", reply.text());
                assert!(reply.text().contains(field), "{field}: {}", reply.text());
            }
            let reply = put("i-1", WORKER.to_string()).await;
            assert_eq!(reply.status, 200, "after an odd {field}: {}", reply.text());
        }
        assert_eq!(process.post("00000000000000a4", JOB.as_bytes()).await.status, 200);
        assert!(process.child.try_wait().unwrap().is_none(), "the process has ended");
    });
}
