//! A minion: announces itself to the control addresses, and runs tasks on orders, under leases.

use crate::cell::{Cell, SERVICE};
use crate::http::{self, Request};
use crate::json::{quote, Json};
use crate::{sleep_ms, unix_ms, Record};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// `holdMaxMs` of the settings.
const LEASE_MAX_MS: u64 = 6_000;
/// `beatMs` of the settings.
const BEAT_MS: u64 = 1_500;
/// An order that got no answer is carried out so much later; the pages say 2 to 12 s.
const LATE_BY: Duration = Duration::from_secs(11);
/// Ends in one listing: the pages say that they are returned 500 at a time.
const ENDS_A_LISTING: usize = 500;
pub const CPU: u64 = 32_000;
pub const MEM_MB: u64 = 131_072;

struct Run {
    /// When the task is done; `None` for one that lasts.
    done_at: Option<Instant>,
    began: Instant,
}

#[derive(Clone)]
struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
}

/// One life of a minion.
struct Life {
    born: u64,
    began: Instant,
    fence: u64,
    lease_until: u64,
    /// The last lease that has lapsed.
    lapsed: u64,
    runs: BTreeMap<(String, u32), Run>,
    highest: BTreeMap<String, u32>,
    /// Ends that are not taken note of.
    ends: Vec<End>,
    last_end: u64,
}

impl Life {
    fn new() -> Life {
        Life {
            born: unix_ms(),
            began: Instant::now(),
            fence: 0,
            lease_until: 0,
            lapsed: 0,
            runs: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1
    }

    fn renew(&mut self, until: Option<u64>) {
        let latest = self.clock() + LEASE_MAX_MS;
        self.lease_until = self.lease_until.max(until.unwrap_or(0).min(latest));
    }
}

/// What happened on minions, in order. The judge reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A task has begun on an order, which may have been carried out late.
    Started { minion: usize, task: String, run: u32, late: bool },
    /// A run has ended, and how.
    Ended { minion: usize, task: String, run: u32, how: &'static str },
    /// The end of a run was taken note of: `lastSeen` has reached it.
    Noted { minion: usize, task: String, run: u32, how: &'static str },
    /// The lease of a minion has lapsed.
    Lapsed { minion: usize },
    /// A minion has crashed with this run on it.
    Crashed { minion: usize, task: String, run: u32 },
}

pub struct Shared {
    pub index: usize,
    pub id: String,
    addr: SocketAddr,
    labels: String,
    /// How long a task takes, in milliseconds; `None` for one that lasts.
    duration: fn(&str) -> Option<u64>,
    life: Mutex<Life>,
    /// The minion is partitioned from all machines of the system.
    cut: AtomicBool,
    /// The minion's process is not there.
    down: AtomicBool,
    /// So many starts more get no answer and are carried out late.
    pub late_starts: AtomicU32,
    /// The minion crashes when it gets the next start.
    pub crash_on_start: AtomicBool,
    /// The minion is cut off once it has accepted the next start.
    pub cut_after_start: AtomicBool,
    /// Orders that got no answer, and all orders.
    pub unanswered: AtomicU32,
    pub orders: AtomicU32,
    pub draining: AtomicBool,
    /// When a heartbeat that says `draining` was first acknowledged.
    pub draining_ack: Mutex<Option<Instant>>,
    events: Arc<Mutex<Vec<(Instant, Event)>>>,
    record: Record,
}

/// Cheap to clone.
#[derive(Clone)]
pub struct Minion(pub Arc<Shared>);

pub type Events = Arc<Mutex<Vec<(Instant, Event)>>>;

impl Minion {
    pub fn start(
        cell: &Arc<Cell>,
        index: usize,
        labels: &[&str],
        duration: fn(&str) -> Option<u64>,
        events: &Events,
        record: &Record,
    ) -> Minion {
        let labels: Vec<String> = labels.iter().map(|label| quote(label)).collect();
        let minion = Minion(Arc::new(Shared {
            index,
            id: format!("i-{index:08x}"),
            addr: cell.minion(index),
            labels: labels.join(","),
            duration,
            life: Mutex::new(Life::new()),
            cut: AtomicBool::new(false),
            down: AtomicBool::new(false),
            late_starts: AtomicU32::new(0),
            crash_on_start: AtomicBool::new(false),
            cut_after_start: AtomicBool::new(false),
            unanswered: AtomicU32::new(0),
            orders: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            draining_ack: Mutex::new(None),
            events: events.clone(),
            record: record.clone(),
        }));
        let (serving, timing, beating) = (minion.clone(), minion.clone(), minion.clone());
        let cell = cell.clone();
        std::thread::spawn(move || serving.listen());
        std::thread::spawn(move || timing.run_timers());
        std::thread::spawn(move || beating.send_heartbeats(&cell));
        minion
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.0.life.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn say(&self, text: &str) {
        self.0.record.line(&format!("minion {}: {text}", self.0.index));
    }

    fn push(&self, event: Event) {
        self.0.events.lock().unwrap_or_else(|e| e.into_inner()).push((Instant::now(), event));
    }

    fn is(&self, flag: &AtomicBool) -> bool {
        flag.load(Ordering::SeqCst)
    }

    /// Partitions the minion from all machines, or heals that.
    pub fn set_cut(&self, cut: bool) {
        self.0.cut.store(cut, Ordering::SeqCst);
        self.say(if cut { "cut off" } else { "reachable again" });
    }

    /// The minion's process ends; its port has no listener. All that it runs is gone.
    pub fn crash(&self) {
        let gone: Vec<(String, u32)> = {
            let mut life = self.life();
            self.0.down.store(true, Ordering::SeqCst);
            std::mem::take(&mut life.runs).into_keys().collect()
        };
        self.say(&format!("crashed with {} runs", gone.len()));
        for (task, run) in gone {
            self.say(&format!("lost by the crash: {task} run {run}"));
            self.push(Event::Crashed { minion: self.0.index, task, run });
        }
    }

    /// The minion leaves for good. What it runs ends with it.
    pub fn leave(&self, cell: &Cell) {
        let path = format!("/api/instances/{}", self.0.id);
        self.crash();
        let limit = Duration::from_secs(1);
        let sent = http::call(cell.control(0), "DELETE", &path, "control", "", limit);
        self.say(&format!("DELETE {path}: {sent:?}"));
    }

    /// The minion starts again under its id. It knows nothing of before.
    pub fn restart(&self) {
        *self.life() = Life::new();
        self.0.down.store(false, Ordering::SeqCst);
        self.say("started again");
    }

    pub fn is_down(&self) -> bool {
        self.is(&self.0.down)
    }

    pub fn running(&self) -> Vec<(String, u32)> {
        self.life().runs.keys().cloned().collect()
    }

    pub fn unnoted_ends(&self) -> usize {
        self.life().ends.len()
    }

    fn listen(&self) {
        loop {
            while self.is(&self.0.down) {
                sleep_ms(5);
            }
            let Ok(listener) = TcpListener::bind(self.0.addr) else {
                sleep_ms(20);
                continue;
            };
            let _ = listener.set_nonblocking(true);
            while !self.is(&self.0.down) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let minion = self.clone();
                        std::thread::spawn(move || minion.serve(stream));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
        }
    }

    /// Serves one connection. A request that comes while the minion is cut off is lost, and so is the
    /// response to one that came before.
    fn serve(&self, stream: TcpStream) {
        let born = self.life().born;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            if self.is(&self.0.down) || self.life().born != born {
                return;
            }
            if reader.buffer().is_empty() {
                let mut byte = [0; 1];
                match reader.get_ref().peek(&mut byte) {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => continue,
                    Err(_) => return,
                }
            }
            let Ok(req) = http::read_request(&mut reader) else { return };
            let was_cut = self.is(&self.0.cut);
            let answer = if was_cut { None } else { self.answer(&req, born) };
            if was_cut || self.is(&self.0.cut) {
                while self.is(&self.0.cut) {
                    sleep_ms(20);
                }
                return;
            }
            match answer {
                Some((status, body)) => {
                    if self.is(&self.0.down) || http::write_response(&mut out, status, &body).is_err() {
                        return;
                    }
                    let is_start = req.path == "/api/run-start";
                    if is_start && self.0.cut_after_start.swap(false, Ordering::SeqCst) {
                        self.set_cut(true);
                    }
                }
                None => {
                    // Left unanswered: the connection stays open until the caller gives up.
                    for _ in 0..300 {
                        sleep_ms(20);
                        if self.is(&self.0.down) {
                            return;
                        }
                    }
                    return;
                }
            }
        }
    }

    /// Carries out an order; `None` if it is left unanswered.
    fn answer(&self, req: &Request, born: u64) -> Option<(u16, String)> {
        if req.header("x-expect-instance").is_some_and(|id| id != self.0.id) {
            return Some((421, "{}".to_string()));
        }
        let Some(params) = Json::parse(&req.body) else { return Some((400, "{}".to_string())) };
        self.0.orders.fetch_add(1, Ordering::SeqCst);
        let fence = params.number("fence").unwrap_or(0);
        if req.path == "/api/hold" {
            return self.hold(&params, fence, born);
        }
        let (task, run) = (params.text("task").to_string(), params.number("run").unwrap_or(0) as u32);
        let start = req.path == "/api/run-start";
        if start && self.0.crash_on_start.swap(false, Ordering::SeqCst) {
            self.crash();
            return None;
        }
        if start && self.0.late_starts.load(Ordering::SeqCst) > 0 {
            self.0.late_starts.fetch_sub(1, Ordering::SeqCst);
            self.0.unanswered.fetch_add(1, Ordering::SeqCst);
            self.say(&format!("start of {task} run {run} left unanswered"));
            let minion = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(LATE_BY);
                let answer = minion.run_order(&params, true, fence, true);
                minion.say(&format!("late start of {task} run {run}: {answer:?}"));
            });
            return None;
        }
        self.run_order(&params, start, fence, false)
    }

    /// Carries out a start or a stop.
    fn run_order(&self, params: &Json, start: bool, fence: u64, late: bool) -> Option<(u16, String)> {
        let (task, run) = (params.text("task").to_string(), params.number("run").unwrap_or(0) as u32);
        let mut life = self.life();
        if self.is(&self.0.down) {
            return None;
        }
        let clock = life.clock();
        let refused = |why: &str| Some((409, format!("{{\"clockMs\":{clock},\"reason\":\"{why}\"}}")));
        if fence < life.fence {
            return refused("fence");
        }
        life.fence = fence;
        let done = Some((200, format!("{{\"clockMs\":{clock}}}")));
        let key = (task.clone(), run);
        if start {
            if life.runs.contains_key(&key) {
                return done;
            }
            let until = params.number("deadlineMs");
            if life.highest.get(&task).is_some_and(|highest| run <= *highest) {
                life.renew(until);
                return refused("old");
            }
            if until.is_none_or(|until| until <= clock) {
                return refused("late");
            }
            life.renew(until);
            let began = Instant::now();
            let done_at = (self.0.duration)(&task).map(|ms| began + Duration::from_millis(ms));
            life.runs.insert(key, Run { done_at, began });
            self.push(Event::Started { minion: self.0.index, task: task.clone(), run, late });
            drop(life);
            self.say(&format!("started {task} run {run}"));
            return done;
        }
        let highest = life.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
        self.end(&mut life, &task, run, "stopped");
        done
    }

    fn end(&self, life: &mut Life, task: &str, run: u32, how: &'static str) {
        if life.runs.remove(&(task.to_string(), run)).is_none() {
            return;
        }
        let highest = life.highest.entry(task.to_string()).or_default();
        *highest = (*highest).max(run);
        life.last_end += 1;
        let number = life.last_end;
        life.ends.push(End { number, task: task.to_string(), run, how });
        self.push(Event::Ended { minion: self.0.index, task: task.to_string(), run, how });
        self.say(&format!("ended {task} run {run}: {how} (number {number})"));
    }

    fn hold(&self, params: &Json, fence: u64, born: u64) -> Option<(u16, String)> {
        {
            let mut life = self.life();
            if fence < life.fence {
                let clock = life.clock();
                return Some((409, format!("{{\"clockMs\":{clock},\"reason\":\"fence\"}}")));
            }
            life.fence = fence;
            life.renew(params.number("deadlineMs"));
            let seen = params.number("lastSeen").unwrap_or(0);
            let noted: Vec<End> = life.ends.iter().filter(|e| e.number <= seen).cloned().collect();
            life.ends.retain(|end| end.number > seen);
            for End { task, run, how, .. } in noted {
                self.push(Event::Noted { minion: self.0.index, task, run, how });
            }
        }
        let wait = Duration::from_millis(params.number("waitMs").unwrap_or(0).min(2_000));
        let began = Instant::now();
        while began.elapsed() < wait && self.life().ends.is_empty() {
            sleep_ms(5);
        }
        let life = self.life();
        if life.born != born {
            return None;
        }
        let percent = |run: &Run| match run.done_at {
            None => 100,
            Some(at) => {
                let whole = (at - run.began).as_millis().max(1);
                (run.began.elapsed().as_millis() * 100 / whole).min(99)
            }
        };
        let running = life.runs.iter();
        let running: Vec<String> = running
            .map(|((task, number), run)| format!("[{},{number},\"\",{}]", quote(task), percent(run)))
            .collect();
        let ended = life.ends.iter().take(ENDS_A_LISTING);
        let ended: Vec<String> = ended
            .map(|e| format!("[{},{},{},\"{}\",\"\"]", e.number, quote(&e.task), e.run, e.how))
            .collect();
        if life.ends.len() > ENDS_A_LISTING {
            let (all, listed) = (life.ends.len(), ended.len());
            self.say(&format!("listing: {} running, {listed} of {all} ends", running.len()));
        }
        let body = format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            life.clock(),
            life.born,
            running.join(","),
            ended.join(",")
        );
        Some((200, body))
    }

    /// Ends runs that are done, and all when the lease has expired.
    fn run_timers(&self) {
        loop {
            sleep_ms(5);
            if self.is(&self.0.down) {
                continue;
            }
            let mut life = self.life();
            let (now, lapsed) = (Instant::now(), life.clock() >= life.lease_until);
            let is_due = |run: &Run| lapsed || run.done_at.is_some_and(|at| now >= at);
            let due = life.runs.iter().filter(|(_, run)| is_due(run));
            let due: Vec<(String, u32)> = due.map(|(key, _)| key.clone()).collect();
            if lapsed && life.lapsed != life.lease_until {
                life.lapsed = life.lease_until;
                self.push(Event::Lapsed { minion: self.0.index });
                self.say("the lease lapsed");
            }
            for (task, run) in due {
                self.end(&mut life, &task, run, if lapsed { "lapsed" } else { "done" });
            }
        }
    }

    fn send_heartbeats(&self, cell: &Cell) {
        let mut turn = self.0.index;
        let mut seq = 0;
        loop {
            seq += 1;
            if !self.is(&self.0.down) && !self.is(&self.0.cut) {
                let draining = self.is(&self.0.draining);
                let (born, clock) = {
                    let life = self.life();
                    (life.born, life.clock())
                };
                let Shared { addr, labels, id, .. } = &*self.0;
                let body = format!(
                    "{{\"service\":\"{SERVICE}\",\"addr\":\"{addr}\",\"zone\":\"ch-west-a\",\
                     \"version\":\"v1\",\"slots\":8,\"state\":\"{}\",\"coldLeftMs\":0,\
                     \"capacity\":{{\"cpu\":{CPU},\"memMb\":{MEM_MB},\"gpu\":0}},\
                     \"labels\":[{labels}],\"clockMs\":{clock},\"born\":{born},\"seq\":{seq}}}",
                    if draining { "draining" } else { "ready" },
                );
                let path = format!("/api/instances/{id}");
                let limit = Duration::from_secs(1);
                let sent = http::call(cell.control(turn), "PUT", &path, "control", &body, limit);
                if !sent.is_ok_and(|(status, _)| status == 200) {
                    turn += 1;
                    sleep_ms(50);
                    continue;
                }
                if draining {
                    let mut ack = self.0.draining_ack.lock().unwrap_or_else(|e| e.into_inner());
                    if ack.is_none() {
                        *ack = Some(Instant::now());
                        self.say("draining was acknowledged");
                    }
                }
            }
            let draining = self.is(&self.0.draining);
            let began = Instant::now();
            // A minion that begins to drain says so at once.
            while began.elapsed() < Duration::from_millis(BEAT_MS)
                && self.is(&self.0.draining) == draining
            {
                sleep_ms(10);
            }
        }
    }
}
