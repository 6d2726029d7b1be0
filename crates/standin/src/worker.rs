//! A stand-in worker. It holds a lease and simulates tasks with timers. When its lease expires, it
//! stops all tasks and registers as a new incarnation.
//!
//! The command of a task says how it ends: `run SECONDS` succeeds after this time, `fail` fails at
//! once, and any other command runs until it is stopped.

use crate::journal::{Journal, RunRecord};
use crate::upstream::clients;
use async_std::task;
use client::{Client, ErrorKind};
use host::{Heartbeat, HeartbeatResponse, StartRun};
use serde_json::{json, Value};
use state::RunEnd;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;
use types::{Fence, Incarnation, Resources, SortedMap, TaskOutcome};

/// Longest time that an entry host may hold back the response to a heartbeat.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between a response and the next heartbeat.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(50);

/// Options of a stand-in worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Name of the worker.
    pub name: String,
    /// Rack that the worker is in.
    pub rack: String,
    /// Capacity that the worker registers with. It is not enforced.
    pub capacity: Resources,
    /// Makes every task fail at once, whatever its command.
    pub fail_tasks: bool,
}

#[derive(Debug)]
struct RunningTask {
    outcome: Option<TaskOutcome>,
    ends_at: Option<Instant>,
    stopping: bool,
}

#[derive(Debug, Default)]
struct LifeState {
    /// Fencing tokens of all runs that this incarnation has started, or was told to stop before it
    /// had started them. A run in this set is not started again.
    seen: SortedMap<Fence, ()>,
    running: SortedMap<Fence, RunningTask>,
    ended: Vec<RunEnd>,
    lease_ends_at: Option<Instant>,
    /// The lease has expired, and the worker has to register as a new incarnation.
    lease_expired: bool,
}

/// A running stand-in worker. Cheap to clone.
#[derive(Clone)]
pub struct Worker {
    options: WorkerOptions,
    entry_hosts: Vec<Client>,
    life: Arc<Mutex<LifeState>>,
    journal: Journal,
    disconnected: CancellationToken,
    stop: CancellationToken,
}

impl Worker {
    /// Starts the worker and registers it with one of `entry_hosts`, which are platform addresses.
    /// After a failure it turns to the next one.
    pub fn start(options: WorkerOptions, entry_hosts: &[SocketAddr], journal: &Journal) -> Worker {
        let worker = Worker {
            options,
            entry_hosts: clients(entry_hosts),
            life: Arc::default(),
            journal: journal.clone(),
            disconnected: CancellationToken::new(),
            stop: CancellationToken::new(),
        };
        task::spawn(worker.clone().run_heartbeats());
        task::spawn(worker.clone().run_timers());
        worker
    }

    /// Name of the worker.
    pub fn name(&self) -> &str {
        &self.options.name
    }

    /// Disconnects the worker from the entry hosts for good. Its tasks run until its lease expires.
    pub fn disconnect(&self) {
        self.disconnected.cancel();
    }

    /// Stops the worker and all its tasks at once, like a crash.
    pub fn kill(&self) {
        self.stop.cancel();
        self.end_all();
    }

    fn life(&self) -> std::sync::MutexGuard<'_, LifeState> {
        self.life.lock().expect("lock is not poisoned")
    }

    fn is_disconnected(&self) -> bool {
        self.stop.is_cancelled() || self.disconnected.is_cancelled()
    }

    async fn run_heartbeats(self) {
        let mut incarnation: Incarnation = 0;
        let mut first: Option<Incarnation> = None;
        let mut turn = 0;
        while !self.is_disconnected() {
            if std::mem::take(&mut self.life().lease_expired) {
                incarnation = 0;
            }
            let host = self.entry_hosts[turn % self.entry_hosts.len()].clone();
            if incarnation == 0 {
                incarnation = self.register(&host, &mut first).await.unwrap_or(0);
                if incarnation == 0 {
                    turn += 1;
                    task::sleep(HEARTBEAT_PAUSE * 4).await;
                }
                continue;
            }
            match self.heartbeat(&host, incarnation).await {
                Ok(()) => task::sleep(HEARTBEAT_PAUSE).await,
                Err(ErrorKind::Refused) => {
                    // The entry hosts have refused this incarnation, so its tasks must not go on.
                    self.end_all();
                    incarnation = 0;
                }
                Err(_) => {
                    turn += 1;
                    task::sleep(HEARTBEAT_PAUSE * 2).await;
                }
            }
        }
    }

    /// Registers a new incarnation; `first` is the first one of this process.
    async fn register(
        &self,
        host: &Client,
        first: &mut Option<Incarnation>,
    ) -> Option<Incarnation> {
        self.end_all();
        *self.life() = LifeState::default();
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let incarnation = since.unwrap_or_default().as_millis() as Incarnation;
        let spec = json!({
            "worker": self.options.name,
            "rack": self.options.rack,
            "capacity": self.options.capacity,
            "incarnation": incarnation,
            "first_incarnation": first.get_or_insert(incarnation),
        });
        host.post::<_, Value>("/v1/workers", &spec).await.ok()?;
        Some(incarnation)
    }

    async fn heartbeat(&self, host: &Client, incarnation: Incarnation) -> Result<(), ErrorKind> {
        let sent = Instant::now();
        let heartbeat = self.next_heartbeat(incarnation);
        let answer = host.post::<_, HeartbeatResponse>("/v1/workers/heartbeat", &heartbeat).await;
        let response = match answer {
            Ok(response) => response,
            Err(e) if e.status() == Some(409) => return Err(ErrorKind::Refused),
            Err(_) => return Err(ErrorKind::Unknown),
        };
        if !self.is_disconnected() {
            self.apply_response(response, sent);
        }
        Ok(())
    }

    fn next_heartbeat(&self, incarnation: Incarnation) -> Heartbeat {
        let life = self.life();
        let stopping = life.running.iter().filter(|(_, t)| t.stopping).map(|(f, _)| *f);
        Heartbeat {
            worker: self.options.name.clone(),
            incarnation,
            running: life.running.keys().copied().collect(),
            stopping: stopping.collect(),
            ended: life.ended.clone(),
            wait: LONG_POLL_WAIT,
            ..Heartbeat::default()
        }
    }

    /// Renews the lease and carries out the instructions. A response whose lease has already
    /// expired, counted from when the heartbeat was sent, is dropped.
    fn apply_response(&self, response: HeartbeatResponse, sent: Instant) {
        let lease_ends_at = sent + response.lease;
        if Instant::now() >= lease_ends_at {
            return;
        }
        let mut life = self.life();
        life.lease_ends_at = Some(lease_ends_at);
        life.ended.retain(|end| !response.acknowledged.contains(&end.fence));
        for start in response.start {
            self.start_run(&mut life, start);
        }
        for fence in response.stop {
            if let Some(task) = life.running.get_mut(&fence) {
                task.stopping = true;
                task.outcome = Some(TaskOutcome::Stopped);
                task.ends_at = Some(Instant::now());
            } else if life.seen.insert(fence, ()).is_none() {
                // The run was not started. Its fencing token is recorded, so that a late order to
                // start it has no effect.
                life.ended.push(RunEnd { fence, outcome: TaskOutcome::Stopped });
            }
        }
    }

    fn start_run(&self, life: &mut LifeState, start: StartRun) {
        if life.seen.insert(start.fence, ()).is_some() {
            return;
        }
        let now = Instant::now();
        self.journal.begin_run(RunRecord {
            fence: start.fence,
            job: start.job.clone(),
            index: start.index,
            worker: self.options.name.clone(),
            began: now,
            ended: None,
        });
        let word = |i: usize| start.command.get(i).map(String::as_str);
        let (outcome, ends_at) = match word(0) {
            _ if self.options.fail_tasks => (Some(TaskOutcome::Failed), Some(now)),
            Some("fail") => (Some(TaskOutcome::Failed), Some(now)),
            Some("run") => {
                let seconds: f64 = word(1).and_then(|s| s.parse().ok()).unwrap_or(1.0);
                (Some(TaskOutcome::Succeeded), Some(now + Duration::from_secs_f64(seconds)))
            }
            _ => (None, None),
        };
        life.running.insert(start.fence, RunningTask { outcome, ends_at, stopping: false });
    }

    /// Ends tasks that are due, and all tasks when the lease expires.
    async fn run_timers(self) {
        while !self.stop.is_cancelled() {
            task::sleep(Duration::from_millis(5)).await;
            let now = Instant::now();
            if self.life().lease_ends_at.is_some_and(|end| now >= end) {
                self.end_all();
                self.life().lease_expired = true;
                continue;
            }
            let mut life = self.life();
            let due = life.running.iter().filter(|(_, t)| t.ends_at.is_some_and(|at| at <= now));
            let due: Vec<Fence> = due.map(|(fence, _)| *fence).collect();
            for fence in due {
                let task = life.running.remove(&fence).expect("due tasks are running");
                let outcome = task.outcome.unwrap_or(TaskOutcome::Stopped);
                life.ended.push(RunEnd { fence, outcome });
                self.journal.end_run(fence, &self.options.name);
            }
        }
    }

    /// Ends all tasks without reporting them to an entry host.
    fn end_all(&self) {
        let mut life = self.life();
        for fence in life.running.keys() {
            self.journal.end_run(*fence, &self.options.name);
        }
        life.running = SortedMap::default();
        life.lease_ends_at = None;
    }
}
