//! A worker that behaves as the pages say.

use crate::http::{call, Request, Server};
use crate::json::Json;
use crate::{note, now_ms};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MAX_LEASE_MS: u64 = 6_000;
const BEAT: Duration = Duration::from_millis(1_500);
/// How late an order is carried out that is left unanswered.
const LATE: Duration = Duration::from_millis(8_000);
pub const CPU: u64 = 32_000;
const MEM_MB: u64 = 131_072;

struct Run {
    run: u32,
    began: Instant,
    lasts: Duration,
}

struct Life {
    id: String,
    born: u64,
    began: Instant,
    fence: u64,
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    highest: BTreeMap<String, u32>,
    ends: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
    draining: bool,
    seq: u64,
}

impl Life {
    fn new(id: &str) -> Life {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        Life {
            id: id.to_string(),
            born,
            began: Instant::now(),
            fence: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            draining: false,
            seq: 0,
        }
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1
    }

    fn renew(&mut self, until: Option<u64>) {
        let latest = self.clock() + MAX_LEASE_MS;
        self.lease_end = self.lease_end.max(until.unwrap_or(0).min(latest));
    }

    fn end(&mut self, name: &str, task: &str, how: &'static str, log: &Log) {
        let Some(run) = self.runs.remove(task) else { return };
        let highest = self.highest.entry(task.to_string()).or_default();
        *highest = (*highest).max(run.run);
        self.last_end += 1;
        self.ends.push((self.last_end, task.to_string(), run.run, how));
        log.add(name, task, run.run, how);
    }
}

/// What a worker did with a run.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: u64,
    pub worker: String,
    pub task: String,
    pub run: u32,
    /// `start`, or how the run ended.
    pub what: &'static str,
}

/// What all workers did.
#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<Vec<Event>>>);

impl Log {
    pub fn add(&self, worker: &str, task: &str, run: u32, what: &'static str) {
        note(&format!("{worker}: {what} {task} run {run}"));
        let (worker, task) = (worker.to_string(), task.to_string());
        self.0.lock().unwrap().push(Event { at: now_ms(), worker, task, run, what });
    }

    pub fn all(&self) -> Vec<Event> {
        self.0.lock().unwrap().clone()
    }

    /// Two runs of one task that were there at the same time, on workers that were up: the second
    /// start, and how long both ran, in milliseconds.
    pub fn doubles(&self) -> Vec<(Event, u64)> {
        let all = self.all();
        let end_of = |start: &Event| {
            let same = |e: &&Event| {
                (&e.worker, &e.task, e.run) == (&start.worker, &start.task, start.run)
                    && e.what != "start"
            };
            all.iter().find(same).map_or(now_ms(), |e| e.at)
        };
        let starts: Vec<&Event> = all.iter().filter(|e| e.what == "start").collect();
        let mut doubles = Vec::new();
        for (i, second) in starts.iter().enumerate() {
            for first in starts[..i].iter().filter(|e| e.task == second.task) {
                let both = end_of(first).min(end_of(second)).saturating_sub(second.at);
                if both > 0 {
                    doubles.push(((*second).clone(), both));
                }
            }
        }
        doubles
    }

    /// Starts of tasks whose names begin so.
    pub fn starts(&self, prefix: &str) -> Vec<Event> {
        let all = self.all().into_iter();
        all.filter(|e| e.what == "start" && e.task.starts_with(prefix)).collect()
    }
}

pub struct Worker {
    pub name: String,
    pub addr: SocketAddr,
    control: Vec<SocketAddr>,
    life: Mutex<Option<Life>>,
    server: Mutex<Option<Server>>,
    /// Start orders that are left unanswered and carried out late: how the name of the task
    /// begins, and how many are still to come.
    late: Mutex<(String, u32)>,
    counts: Mutex<(u32, u32)>,
    pub log: Log,
}

impl Worker {
    pub fn start(name: &str, addr: SocketAddr, control: &[SocketAddr], log: &Log) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            name: name.to_string(),
            addr,
            control: control.to_vec(),
            life: Mutex::new(None),
            server: Mutex::new(None),
            late: Mutex::default(),
            counts: Mutex::default(),
            log: log.clone(),
        });
        worker.begin(&format!("i-{name}-1"));
        let beats = worker.clone();
        thread::spawn(move || beats.send_beats());
        let timers = worker.clone();
        thread::spawn(move || timers.run_timers());
        worker
    }

    /// Begins a life.
    pub fn begin(self: &Arc<Worker>, id: &str) {
        *self.life.lock().unwrap() = Some(Life::new(id));
        let me = self.clone();
        let server = Server::start(self.addr, Arc::new(move |req| me.handle(&req)));
        match server {
            Ok(server) => *self.server.lock().unwrap() = Some(server),
            Err(e) => note(&format!("{}: cannot listen: {e}", self.name)),
        }
        note(&format!("{}: up as {id}", self.name));
    }

    /// Crashes: everything that runs here ends without a word.
    pub fn crash(&self) {
        let ended = self.life.lock().unwrap().take();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.end();
        }
        note(&format!("{}: CRASHED", self.name));
        for (task, run) in ended.map(|life| life.runs).unwrap_or_default() {
            self.log.add(&self.name, &task, run.run, "crashed");
        }
    }

    /// Is lost for good, silently: everything that runs here ends, and nothing is answered any more.
    pub fn go_dark(&self) {
        let ended = self.life.lock().unwrap().take();
        note(&format!("{}: LOST for good, silent", self.name));
        for (task, run) in ended.map(|life| life.runs).unwrap_or_default() {
            self.log.add(&self.name, &task, run.run, "crashed");
        }
    }

    /// A heartbeat of another writer that describes the process at this address as an instance of
    /// another service.
    pub fn heartbeat_of(&self, service: &str) -> String {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{born},\"seq\":1}}",
            self.addr
        )
    }

    pub fn beat_until_acknowledged(&self) -> Option<u64> {
        (0..10).any(|_| self.beat()).then(now_ms)
    }

    /// Number of orders that have come.
    pub fn orders(&self) -> u32 {
        self.counts.lock().unwrap().0
    }

    /// Number of orders that were left unanswered.
    pub fn orders_left_unanswered(&self) -> u32 {
        self.counts.lock().unwrap().1
    }

    /// Leaves the next start orders for such a task unanswered, and carries them out late.
    pub fn be_late(&self, prefix: &str, count: u32) {
        *self.late.lock().unwrap() = (prefix.to_string(), count);
    }

    /// Says goodbye to the hosts in this order until one acknowledges, and ends.
    pub fn leave(&self, control: &[SocketAddr]) {
        let id = self.life.lock().unwrap().as_ref().map(|life| life.id.clone()).unwrap_or_default();
        for addr in control {
            let path = format!("/api/instances/{id}");
            let answer = call(*addr, "DELETE", &path, "control", "", Duration::from_secs(1));
            note(&format!("{}: DELETE {id} at {addr} -> {answer:?}", self.name));
            if answer.is_ok_and(|(status, _)| status == 200) {
                break;
            }
        }
        let ended = self.life.lock().unwrap().take();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.end();
        }
        note(&format!("{}: ended", self.name));
        for (task, run) in ended.map(|life| life.runs).unwrap_or_default() {
            self.log.add(&self.name, &task, run.run, "ended with its worker");
        }
    }

    /// Says that it drains, until that is acknowledged. Returns when it was.
    pub fn drain(&self) -> Option<u64> {
        if let Some(life) = &mut *self.life.lock().unwrap() {
            life.draining = true;
        }
        for _ in 0..10 {
            if self.beat() {
                note(&format!("{}: draining is acknowledged", self.name));
                return Some(now_ms());
            }
        }
        None
    }

    fn send_beats(&self) {
        loop {
            self.beat();
            thread::sleep(BEAT);
        }
    }

    /// Sends a heartbeat to one host after the other. Returns whether it was acknowledged.
    fn beat(&self) -> bool {
        let (path, body) = {
            let mut life = self.life.lock().unwrap();
            let Some(life) = &mut *life else { return false };
            life.seq += 1;
            let state = if life.draining { "draining" } else { "ready" };
            let body = format!(
                "{{\"service\":\"svc\",\"addr\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"{state}\",\"coldLeftMs\":0,\"born\":{},\"capacity\":{{\"cpu\":{CPU},\
                 \"memMb\":{MEM_MB},\"gpu\":0}},\"labels\":[\"a\",\"r1\"],\"clockMs\":{},\"seq\":{}}}",
                self.addr,
                life.born,
                life.clock(),
                life.seq
            );
            (format!("/api/instances/{}", life.id), body)
        };
        for i in 0..self.control.len() {
            let addr = self.control[(self.turn() + i) % self.control.len()];
            let answer = call(addr, "PUT", &path, "control", &body, Duration::from_secs(1));
            if answer.is_ok_and(|(status, _)| status == 200) {
                return true;
            }
        }
        false
    }

    fn turn(&self) -> usize {
        self.name.bytes().map(usize::from).sum::<usize>()
    }

    /// The host that heartbeats go to first.
    pub fn first_host(&self) -> SocketAddr {
        self.control[self.turn() % self.control.len()]
    }

    fn run_timers(&self) {
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut life = self.life.lock().unwrap();
            let Some(life) = &mut *life else { continue };
            let lapsed = life.clock() >= life.lease_end;
            let due =
                life.runs.iter().filter(|(_, run)| lapsed || run.began.elapsed() >= run.lasts);
            let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
            for task in due {
                life.end(&self.name, &task, if lapsed { "lapsed" } else { "done" }, &self.log);
            }
        }
    }

    fn handle(self: &Arc<Worker>, req: &Request) -> Option<(u16, String)> {
        self.counts.lock().unwrap().0 += 1;
        let body = Json::parse(&req.body)?;
        if let Some(life) = &*self.life.lock().unwrap() {
            if !req.expected.is_empty() && req.expected != life.id {
                return Some((421, "{}".to_string()));
            }
        }
        match req.path.as_str() {
            "/api/hold" => self.hold(&body),
            "/api/run-stop" => self.stop(&body),
            _ if self.is_late(&body.text("task")) => {
                note(&format!("{}: start of {} left unanswered", self.name, body.text("task")));
                self.counts.lock().unwrap().1 += 1;
                let (me, born) = (self.clone(), self.life.lock().unwrap().as_ref()?.born);
                thread::spawn(move || {
                    thread::sleep(LATE);
                    let same = me.life.lock().unwrap().as_ref().is_some_and(|l| l.born == born);
                    let answer = same.then(|| me.begin_run(&body));
                    note(&format!("{}: late start carried out: {answer:?}", me.name));
                });
                None
            }
            _ => self.begin_run(&body),
        }
    }

    fn is_late(&self, task: &str) -> bool {
        let mut late = self.late.lock().unwrap();
        let is_late = late.1 > 0 && task.starts_with(&late.0);
        late.1 -= u32::from(is_late);
        is_late
    }

    fn stop(&self, body: &Json) -> Option<(u16, String)> {
        let mut life = self.life.lock().unwrap();
        let life = life.as_mut()?;
        let clock = life.clock();
        let fence = body.number("fence").unwrap_or(0);
        if fence < life.fence {
            return Some((409, format!("{{\"clockMs\":{clock},\"reason\":\"fence\"}}")));
        }
        life.fence = fence;
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0) as u32);
        let highest = life.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
        if life.runs.get(&task).is_some_and(|r| r.run <= run) {
            life.end(&self.name, &task, "stopped", &self.log);
        }
        Some((200, format!("{{\"clockMs\":{clock}}}")))
    }

    fn begin_run(&self, body: &Json) -> Option<(u16, String)> {
        let mut life = self.life.lock().unwrap();
        let life = life.as_mut()?;
        let clock = life.clock();
        let ok = Some((200, format!("{{\"clockMs\":{clock}}}")));
        let refused =
            |why: &str| Some((409, format!("{{\"clockMs\":{clock},\"reason\":\"{why}\"}}")));
        let fence = body.number("fence").unwrap_or(0);
        if fence < life.fence {
            return refused("fence");
        }
        life.fence = fence;
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0) as u32);
        let until = body.number("deadlineMs");
        if life.runs.get(&task).is_some_and(|r| r.run == run) {
            life.renew(until);
            return ok;
        }
        if life.highest.get(&task).is_some_and(|highest| run <= *highest) {
            life.renew(until);
            return refused("old");
        }
        if until.is_none_or(|until| until <= clock) {
            return refused("late");
        }
        life.renew(until);
        let spec = body.text("spec");
        let lasts = spec.split(' ').next().and_then(|ms| ms.parse().ok()).unwrap_or(500);
        self.log.add(&self.name, &task, run, "start");
        let lasts = Duration::from_millis(lasts);
        life.runs.insert(task, Run { run, began: Instant::now(), lasts });
        ok
    }

    fn hold(&self, body: &Json) -> Option<(u16, String)> {
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
        let (began, born) = (Instant::now(), self.life.lock().unwrap().as_ref()?.born);
        {
            let mut life = self.life.lock().unwrap();
            let life = life.as_mut()?;
            let fence = body.number("fence").unwrap_or(0);
            if fence < life.fence {
                let clock = life.clock();
                return Some((409, format!("{{\"clockMs\":{clock},\"reason\":\"fence\"}}")));
            }
            life.fence = fence;
            life.renew(body.number("deadlineMs"));
            let seen = body.number("lastSeen").unwrap_or(0);
            life.ends.retain(|end| end.0 > seen);
        }
        loop {
            if let Some(answer) = self.listing(born, began.elapsed() >= wait)? {
                return Some((200, answer));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// What runs here and what has ended; nothing yet if there is no end and the wait is not over.
    /// The outer `None` says that the life is over.
    fn listing(&self, born: u64, wait_is_over: bool) -> Option<Option<String>> {
        let life = self.life.lock().unwrap();
        let life = life.as_ref().filter(|life| life.born == born)?;
        if life.ends.is_empty() && !wait_is_over {
            return Some(None);
        }
        let running = life.runs.iter().map(|(task, run)| {
            let percent = run.began.elapsed().as_millis() * 100 / run.lasts.as_millis().max(1);
            format!("[\"{task}\",{},\"\",{},0]", run.run, percent.min(100))
        });
        let running = running.collect::<Vec<_>>().join(",");
        let ended = life.ends.iter().take(500);
        let ended =
            ended.map(|(n, task, run, how)| format!("[{n},\"{task}\",{run},\"{how}\",\"\"]"));
        let ended = ended.collect::<Vec<_>>().join(",");
        let clock = life.clock();
        Some(Some(format!(
            "{{\"clockMs\":{clock},\"born\":{born},\"running\":[{running}],\"ended\":[{ended}]}}"
        )))
    }
}
