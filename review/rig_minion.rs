//! A stand-in minion, as PROTOCOL.md describes it under "Running tasks" and "Service discovery".
//! A task's spec says what it does: `serve` works until it is stopped, `work MS` ends `done` after
//! that time or up to 2.4 times as long.

use crate::cell::SERVICE;
use crate::http::{call, serve, Json, Request, Server};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const HOLD_MAX_MS: u64 = 6_000;
const TICK: Duration = Duration::from_millis(10);
/// `drainMs`, and a little longer.
const DRAIN: Duration = Duration::from_millis(2_300);
/// Without an acknowledgement it ends after this time.
const DRAIN_WITHOUT_ACK: Duration = Duration::from_secs(6);
pub const CPU: u64 = 32_000;
const MEM_MB: u64 = 131_072;

struct Run {
    started: Instant,
    /// `None` for a task that works until it is stopped.
    work: Option<Duration>,
}

struct Life {
    id: String,
    born: u64,
    started: Instant,
    fence: u64,
    lease_end: u64,
    runs: BTreeMap<(String, u64), Run>,
    highest_ended: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    seq: u64,
    /// Since when it drains.
    draining: Option<Instant>,
    /// When its draining was acknowledged.
    drain_acked: Option<Instant>,
    /// When it sends its first beat.
    beats_from: Instant,
}

impl Life {
    fn new(id: String) -> Life {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        Life {
            id,
            born: born as u64,
            started: Instant::now(),
            fence: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            highest_ended: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            seq: 0,
            draining: None,
            drain_acked: None,
            beats_from: Instant::now(),
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn renew(&mut self, until: Option<u64>) {
        let latest = self.clock() + HOLD_MAX_MS;
        self.lease_end = self.lease_end.max(until.unwrap_or(0).min(latest));
    }
}

/// What has happened to tasks on all minions.
#[derive(Clone, Default)]
pub struct Events(Arc<Mutex<Vec<Event>>>);

#[derive(Clone, Debug)]
pub struct Event {
    pub task: String,
    pub what: &'static str,
}

impl Events {
    fn add(&self, task: &str, what: &'static str) {
        let event = Event { task: task.to_string(), what };
        self.0.lock().expect("lock is not poisoned").push(event);
    }

    /// Events of all tasks of a job, oldest first.
    pub fn of_job(&self, job: &str) -> Vec<Event> {
        let events = self.0.lock().expect("lock is not poisoned");
        events.iter().filter(|event| event.task.starts_with(job)).cloned().collect()
    }
}

#[derive(Clone)]
pub struct Minion {
    pub index: usize,
    addr: SocketAddr,
    controls: Vec<SocketAddr>,
    /// `None` while the minion is down.
    life: Arc<Mutex<Option<Life>>>,
    /// It has left and does not come back.
    left: Arc<AtomicBool>,
    /// The next hold that acknowledges an end gets no answer and is carried out after this time.
    late_hold: Arc<Mutex<Option<Duration>>>,
    /// Its kind, which is its first label.
    kind: &'static str,
    server: Arc<Mutex<Option<Server>>>,
    events: Events,
    record: Record,
}

impl Minion {
    pub fn start(
        index: usize,
        addr: SocketAddr,
        controls: Vec<SocketAddr>,
        events: &Events,
        record: &Record,
    ) -> Result<Minion, String> {
        let listener = TcpListener::bind(addr).map_err(|e| format!("{addr}: {e}"))?;
        let minion = Minion {
            index,
            addr,
            controls,
            life: Arc::new(Mutex::new(Some(Life::new(format!("i-{index:02}-0"))))),
            left: Arc::default(),
            late_hold: Arc::default(),
            kind: if index == 0 { "b" } else { "a" },
            server: Arc::default(),
            events: events.clone(),
            record: record.clone(),
        };
        let serving = minion.clone();
        let server = serve(listener, move |req| serving.handle(&req)).map_err(|e| e.to_string())?;
        *minion.server.lock().expect("lock is not poisoned") = Some(server);
        let timers = minion.clone();
        thread::spawn(move || timers.run_timers());
        let beats = minion.clone();
        thread::spawn(move || beats.send_beats());
        Ok(minion)
    }

    /// The minion crashes: it runs nothing, answers nothing and sends nothing.
    pub fn crash(&self) {
        let life = self.life.lock().expect("lock is not poisoned").take();
        let Some(life) = life else { return };
        let runs: Vec<String> = life.runs.keys().map(|(task, run)| format!("{task}/{run}")).collect();
        self.record.line(&format!("minion {} CRASHES, running: {}", life.id, runs.join(" ")));
        for (task, _) in life.runs.keys() {
            self.events.add(task, "lost");
        }
    }

    /// A new incarnation starts at the same address, under a new id.
    pub fn come_back(&self, count: usize) {
        let id = format!("i-{:02}-{count}", self.index);
        self.record.line(&format!("minion {id} starts"));
        *self.life.lock().expect("lock is not poisoned") = Some(Life::new(id));
    }

    /// A new incarnation starts under the same id. It sends its first beat after `beat_in`.
    pub fn come_back_as(&self, id: &str, beat_in: Duration) {
        self.record.line(&format!("minion {id} starts again under its id"));
        let mut life = Life::new(id.to_string());
        life.beats_from += beat_in;
        *self.life.lock().expect("lock is not poisoned") = Some(life);
    }

    /// Leaves the next hold that acknowledges an end unanswered, and carries it out after `delay`.
    pub fn delay_next_acknowledgement(&self, delay: Duration) {
        *self.late_hold.lock().expect("lock is not poisoned") = Some(delay);
    }

    /// Whether such a hold has come.
    pub fn has_delayed_one(&self) -> bool {
        self.late_hold.lock().expect("lock is not poisoned").is_none()
    }

    /// Carries a hold out that came `delay` before.
    fn hold_late(&self, delay: Duration, fence: u64, until: Option<u64>, last_seen: u64) {
        sleep(delay);
        let mut guard = self.life.lock().expect("lock is not poisoned");
        let Some(life) = guard.as_mut().filter(|life| fence >= life.fence) else {
            self.record.line("the late hold is refused: its fence is too low, or nobody is there");
            return;
        };
        life.fence = fence;
        life.renew(until);
        self.record.line(&format!("the late hold with lastSeen {last_seen} is carried out"));
        self.forget_ends(life, last_seen);
    }

    fn forget_ends(&self, life: &mut Life, last_seen: u64) {
        for (_, task, ..) in life.ended.iter().filter(|end| end.0 <= last_seen && end.3 == "done") {
            self.events.add(task, "noted");
        }
        life.ended.retain(|(number, ..)| *number > last_seen);
    }

    /// Begins a planned end: the minion reports `draining`, works on for [`DRAIN`] after the
    /// acknowledgement, says that it leaves, and ends.
    pub fn drain(&self) {
        if let Some(life) = self.life.lock().expect("lock is not poisoned").as_mut() {
            life.draining = Some(Instant::now());
            self.record.line(&format!("minion {} drains", life.id));
        }
    }

    fn leave(&self, id: &str) {
        let path = format!("/api/instances/{id}");
        let mut controls = self.controls.iter().cycle().skip(self.index).take(3);
        let acked = controls.any(|addr| {
            let answer = call(*addr, "DELETE", &path, &[], "", Duration::from_secs(1));
            answer.is_some_and(|(status, _)| (200..300).contains(&status))
        });
        self.record.line(&format!("minion {id} leaves, acknowledged: {acked}"));
        self.left.store(true, Ordering::SeqCst);
        *self.life.lock().expect("lock is not poisoned") = None;
        if let Some(server) = self.server.lock().expect("lock is not poisoned").take() {
            server.close();
        }
    }

    pub fn has_left(&self) -> bool {
        self.left.load(Ordering::SeqCst)
    }

    /// Its id; empty while it is down.
    pub fn id(&self) -> String {
        let life = self.life.lock().expect("lock is not poisoned");
        life.as_ref().map_or_else(String::new, |life| life.id.clone())
    }

    /// Whether it runs a task of this job.
    pub fn runs(&self, job: &str) -> bool {
        let life = self.life.lock().expect("lock is not poisoned");
        life.as_ref().is_some_and(|life| life.runs.keys().any(|(task, _)| task.starts_with(job)))
    }

    /// Processors that its runs use: all tasks of the cases ask for 500 millicores.
    pub fn in_use(&self) -> u64 {
        let life = self.life.lock().expect("lock is not poisoned");
        life.as_ref().map_or(0, |life| life.runs.len() as u64 * 500)
    }

    /// For how long it has run a task of this job.
    pub fn runs_for(&self, job: &str) -> Option<Duration> {
        let life = self.life.lock().expect("lock is not poisoned");
        let mut runs = life.as_ref()?.runs.iter();
        runs.find(|((task, _), _)| task.starts_with(job)).map(|(_, run)| run.started.elapsed())
    }

    fn end_run(&self, life: &mut Life, task: &str, run: u64, how: &'static str) {
        if life.runs.remove(&(task.to_string(), run)).is_none() {
            return;
        }
        let highest = life.highest_ended.entry(task.to_string()).or_default();
        *highest = (*highest).max(run);
        life.last_end += 1;
        life.ended.push((life.last_end, task.to_string(), run, how));
        self.record.line(&format!("minion {} run {task}/{run} ends {how}", life.id));
        self.events.add(task, how);
    }

    fn run_timers(self) {
        while !self.has_left() {
            sleep(TICK);
            let mut guard = self.life.lock().expect("lock is not poisoned");
            let Some(life) = guard.as_mut() else { continue };
            let lapsed = life.clock() >= life.lease_end;
            let is_due = |run: &Run| run.work.is_some_and(|work| run.started.elapsed() >= work);
            let due = life.runs.iter().filter(|(_, run)| lapsed || is_due(run));
            let due: Vec<((String, u64), bool)> =
                due.map(|(key, run)| (key.clone(), is_due(run))).collect();
            for ((task, run), done) in due {
                self.end_run(life, &task, run, if done { "done" } else { "lapsed" });
            }
        }
    }

    fn send_beats(self) {
        let mut turn = self.index;
        while !self.has_left() {
            let beat = {
                let mut guard = self.life.lock().expect("lock is not poisoned");
                let due = |life: &&mut Life| Instant::now() >= life.beats_from;
                guard.as_mut().filter(due).map(|life| {
                    life.seq += 1;
                    (life.id.clone(), life.born, life.draining, self.beat_body(life))
                })
            };
            let Some((id, born, draining, body)) = beat else {
                sleep(Duration::from_millis(20));
                continue;
            };
            let addr = self.controls[turn % self.controls.len()];
            let path = format!("/api/instances/{id}");
            let sent = call(addr, "PUT", &path, &[], &body, Duration::from_secs(1));
            if !sent.is_some_and(|(status, _)| (200..300).contains(&status)) {
                if draining.is_some_and(|since: Instant| since.elapsed() >= DRAIN_WITHOUT_ACK) {
                    return self.leave(&id);
                }
                turn += 1;
                sleep(Duration::from_millis(100));
                continue;
            }
            // What changes is reported at once: a new incarnation, or that it drains.
            let start = Instant::now();
            loop {
                let mut guard = self.life.lock().expect("lock is not poisoned");
                let Some(life) = guard.as_mut().filter(|life| life.id == id && life.born == born)
                else {
                    break;
                };
                if draining.is_some() {
                    let acked = *life.drain_acked.get_or_insert_with(Instant::now);
                    if acked.elapsed() >= DRAIN {
                        drop(guard);
                        return self.leave(&id);
                    }
                }
                if life.draining != draining || start.elapsed() >= BEAT_INTERVAL {
                    break;
                }
                drop(guard);
                sleep(Duration::from_millis(20));
            }
        }
    }

    fn beat_body(&self, life: &Life) -> String {
        let zone = ["zone-a", "zone-b", "zone-c"][self.index % 3];
        format!(
            r#"{{"service":"{SERVICE}","addr":"{}","zone":"{zone}","version":"v1","slots":8,"state":"{}","coldLeftMs":0,"born":{},"capacity":{{"cpu":{CPU},"memMb":{MEM_MB},"gpu":0}},"labels":["{}","r1-{}"],"clockMs":{},"seq":{}}}"#,
            self.addr,
            if life.draining.is_some() { "draining" } else { "ready" },
            life.born,
            self.kind,
            self.index / 8,
            life.clock(),
            life.seq
        )
    }

    fn handle(&self, req: &Request) -> Option<(u16, String)> {
        let params = Json::parse(&req.body).unwrap_or(Json::Null);
        let mut guard = self.life.lock().expect("lock is not poisoned");
        let Some(life) = guard.as_mut() else {
            // Nobody is there: no answer, as from a machine without power.
            drop(guard);
            sleep(Duration::from_secs(20));
            return None;
        };
        let clock = life.clock();
        let refused = |status: u16, why: &str| {
            Some((status, format!(r#"{{"clockMs":{clock},"reason":"{why}"}}"#)))
        };
        if req.headers.get("x-expect-instance").is_some_and(|id| *id != life.id) {
            return refused(421, "instance");
        }
        if req.path == "/health" {
            return Some((200, "{}".to_string()));
        }
        let fence = params.number("fence").unwrap_or(0);
        if fence < life.fence {
            return refused(409, "fence");
        }
        life.fence = fence;
        let (task, run) = (params.text("task"), params.number("run").unwrap_or(0));
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/api/hold") => {}
            ("POST", "/api/run-stop") => {
                let highest = life.highest_ended.entry(task.clone()).or_default();
                *highest = (*highest).max(run);
                self.end_run(life, &task, run, "stopped");
                return Some((200, format!(r#"{{"clockMs":{clock}}}"#)));
            }
            ("POST", "/api/run-start") => return self.start_run(life, &params, &task, run),
            _ => return Some((404, "{}".to_string())),
        }
        let last_seen = params.number("lastSeen").unwrap_or(0);
        let until = params.number("deadlineMs");
        let mut late = self.late_hold.lock().expect("lock is not poisoned");
        if let Some(delay) = late.take_if(|_| last_seen > 0) {
            self.record.line(&format!("a hold with lastSeen {last_seen} is left unanswered"));
            drop((late, guard));
            let minion = self.clone();
            thread::spawn(move || minion.hold_late(delay, fence, until, last_seen));
            sleep(Duration::from_secs(20));
            return None;
        }
        drop(late);
        life.renew(until);
        self.forget_ends(life, last_seen);
        let (id, born, start) = (life.id.clone(), life.born, Instant::now());
        let wait = Duration::from_millis(params.number("waitMs").unwrap_or(0).min(2_000));
        drop(guard);
        loop {
            let guard = self.life.lock().expect("lock is not poisoned");
            let life = guard.as_ref().filter(|life| life.id == id && life.born == born);
            let Some(life) = life else {
                drop(guard);
                sleep(Duration::from_secs(20));
                return None;
            };
            if !life.ended.is_empty() || start.elapsed() >= wait {
                return Some((200, listing(life)));
            }
            drop(guard);
            sleep(TICK);
        }
    }

    fn start_run(
        &self,
        life: &mut Life,
        params: &Json,
        task: &str,
        run: u64,
    ) -> Option<(u16, String)> {
        let clock = life.clock();
        let refused =
            |why: &str| Some((409, format!(r#"{{"clockMs":{clock},"reason":"{why}"}}"#)));
        let accepted = Some((200, format!(r#"{{"clockMs":{clock}}}"#)));
        if life.runs.contains_key(&(task.to_string(), run)) {
            return accepted;
        }
        let until = params.number("deadlineMs");
        if life.highest_ended.get(task).is_some_and(|highest| run <= *highest) {
            life.renew(until);
            return refused("old");
        }
        if until.is_none_or(|until| until <= clock) {
            return refused("late");
        }
        life.renew(until);
        let spec = params.text("spec");
        let work: Option<u64> = spec.strip_prefix("work ").and_then(|ms| ms.parse().ok());
        // No two of eight tasks in a row take the same time.
        let index: u64 = task.rsplit('.').next().and_then(|index| index.parse().ok()).unwrap_or(0);
        let work = work.map(|ms| Duration::from_millis(ms * (100 + 20 * (index % 8)) / 100));
        let run_state = Run { started: Instant::now(), work };
        life.runs.insert((task.to_string(), run), run_state);
        self.record.line(&format!("minion {} run {task}/{run} starts ({spec})", life.id));
        self.events.add(task, "started");
        accepted
    }
}

fn listing(life: &Life) -> String {
    let percent = |run: &Run| match run.work {
        None => 100,
        Some(work) => (run.started.elapsed().as_millis() * 100 / work.as_millis().max(1)).min(99),
    };
    let running = life.runs.iter().map(|((task, number), run)| {
        format!(r#"["{task}",{number},"",{},0]"#, percent(run))
    });
    let ended = life.ended.iter().take(500);
    let ended = ended.map(|(n, task, run, how)| format!(r#"[{n},"{task}",{run},"{how}",""]"#));
    format!(
        r#"{{"clockMs":{},"born":{},"running":[{}],"ended":[{}]}}"#,
        life.clock(),
        life.born,
        running.collect::<Vec<_>>().join(","),
        ended.collect::<Vec<_>>().join(",")
    )
}
