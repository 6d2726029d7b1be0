//! A stand-in worker: it holds a lease, runs tasks by waiting, and when its lease ends it stops
//! them and begins another life.
//!
//! The first word of a command says what a task does: `run SECONDS`, or `fail`; anything else runs
//! until it is stopped.

use crate::journal::{Journal, RunRecord};
use crate::upstream::clients;
use async_std::task;
use client::{Client, ErrorKind};
use host::{Heartbeat, HeartbeatResponse, StartRun};
use serde_json::Value;
use state::{RunEnd, WorkerSpec};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;
use types::{Fence, Incarnation, Resources, SortedMap, TaskOutcome};

/// Longest that an entry host may hold back an answer.
const WAIT: Duration = Duration::from_millis(1_000);
/// Least time between two heartbeats.
const PAUSE: Duration = Duration::from_millis(50);

/// What a stand-in worker is.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Its name.
    pub name: String,
    /// Its rack.
    pub rack: String,
    /// What it says that it can hold.
    pub capacity: Resources,
    /// Every task fails here.
    pub fail_tasks: bool,
}

#[derive(Debug)]
struct Task {
    outcome: Option<TaskOutcome>,
    ends: Option<Instant>,
    stopping: bool,
}

#[derive(Debug, Default)]
struct Tasks {
    /// Everything ever started in this life, so that no fence starts twice.
    seen: SortedMap<Fence, ()>,
    running: SortedMap<Fence, Task>,
    ended: Vec<RunEnd>,
    lease_ends: Option<Instant>,
    /// The lease ran out: the next call registers another life.
    is_over: bool,
}

/// A running stand-in.
#[derive(Clone)]
pub struct Worker {
    options: WorkerOptions,
    entry_hosts: Vec<Client>,
    tasks: Arc<Mutex<Tasks>>,
    journal: Journal,
    cut: CancellationToken,
    stop: CancellationToken,
}

impl Worker {
    /// Starts and registers with the entry hosts' platform addresses, in turn.
    pub fn start(options: WorkerOptions, entry_hosts: &[SocketAddr], journal: &Journal) -> Worker {
        let worker = Worker {
            options,
            entry_hosts: clients(entry_hosts),
            tasks: Arc::default(),
            journal: journal.clone(),
            cut: CancellationToken::new(),
            stop: CancellationToken::new(),
        };
        task::spawn(worker.clone().talk());
        task::spawn(worker.clone().watch());
        worker
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.options.name
    }

    /// From now on it hears and says nothing, but runs on until its lease ends.
    pub fn disconnect(&self) {
        self.cut.cancel();
    }

    /// Ends it and everything that it runs, as a crash would.
    pub fn kill(&self) {
        self.stop.cancel();
        self.end_all();
    }

    fn tasks(&self) -> std::sync::MutexGuard<'_, Tasks> {
        self.tasks.lock().expect("no one panics with the lock")
    }

    fn is_over(&self) -> bool {
        self.stop.is_cancelled() || self.cut.is_cancelled()
    }

    async fn talk(self) {
        let mut incarnation: Incarnation = 0;
        let mut turn = 0;
        while !self.is_over() {
            if std::mem::take(&mut self.tasks().is_over) {
                incarnation = 0;
            }
            let host = self.entry_hosts[turn % self.entry_hosts.len()].clone();
            if incarnation == 0 {
                incarnation = self.register(&host).await.unwrap_or(0);
                if incarnation == 0 {
                    turn += 1;
                    task::sleep(PAUSE * 4).await;
                }
                continue;
            }
            match self.heartbeat(&host, incarnation).await {
                Ok(()) => task::sleep(PAUSE).await,
                Err(ErrorKind::Refused) => {
                    // This life is over: whatever runs must not go on.
                    self.end_all();
                    incarnation = 0;
                }
                Err(_) => {
                    turn += 1;
                    task::sleep(PAUSE * 2).await;
                }
            }
        }
    }

    async fn register(&self, host: &Client) -> Option<Incarnation> {
        self.end_all();
        *self.tasks() = Tasks::default();
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let incarnation = since.unwrap_or_default().as_millis() as Incarnation;
        let spec = WorkerSpec {
            worker: self.options.name.clone(),
            rack: self.options.rack.clone(),
            capacity: self.options.capacity,
            incarnation,
        };
        host.post::<_, Value>("/v1/workers", &spec).await.ok()?;
        Some(incarnation)
    }

    async fn heartbeat(&self, host: &Client, incarnation: Incarnation) -> Result<(), ErrorKind> {
        let sent = Instant::now();
        let heartbeat = self.compose(incarnation);
        let answer = host.post::<_, HeartbeatResponse>("/v1/workers/heartbeat", &heartbeat).await;
        let orders = match answer {
            Ok(orders) => orders,
            Err(e) if e.status() == Some(409) => return Err(ErrorKind::Refused),
            Err(_) => return Err(ErrorKind::Unknown),
        };
        if !self.is_over() {
            self.obey(orders, sent);
        }
        Ok(())
    }

    fn compose(&self, incarnation: Incarnation) -> Heartbeat {
        let tasks = self.tasks();
        let stopping = tasks.running.iter().filter(|(_, t)| t.stopping).map(|(f, _)| *f);
        Heartbeat {
            worker: self.options.name.clone(),
            incarnation,
            running: tasks.running.keys().copied().collect(),
            stopping: stopping.collect(),
            ended: tasks.ended.clone(),
            wait: WAIT,
            ..Heartbeat::default()
        }
    }

    /// Follows orders, if the lease that came with them still lasts.
    fn obey(&self, orders: HeartbeatResponse, sent: Instant) {
        let lease_ends = sent + orders.lease;
        if Instant::now() >= lease_ends {
            return;
        }
        let mut tasks = self.tasks();
        tasks.lease_ends = Some(lease_ends);
        tasks.ended.retain(|end| !orders.acknowledged.contains(&end.fence));
        for start in orders.start {
            self.begin(&mut tasks, start);
        }
        for fence in orders.stop {
            if let Some(task) = tasks.running.get_mut(&fence) {
                task.stopping = true;
                task.outcome = Some(TaskOutcome::Stopped);
                task.ends = Some(Instant::now());
            } else if tasks.seen.insert(fence, ()).is_none() {
                // It was never started here, and never will be.
                tasks.ended.push(RunEnd { fence, outcome: TaskOutcome::Stopped });
            }
        }
    }

    fn begin(&self, tasks: &mut Tasks, start: StartRun) {
        if tasks.seen.insert(start.fence, ()).is_some() {
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
        let (outcome, ends) = match word(0) {
            _ if self.options.fail_tasks => (Some(TaskOutcome::Failed), Some(now)),
            Some("fail") => (Some(TaskOutcome::Failed), Some(now)),
            Some("run") => {
                let seconds: f64 = word(1).and_then(|s| s.parse().ok()).unwrap_or(1.0);
                (Some(TaskOutcome::Succeeded), Some(now + Duration::from_secs_f64(seconds)))
            }
            _ => (None, None),
        };
        tasks.running.insert(start.fence, Task { outcome, ends, stopping: false });
    }

    /// Ends tasks whose time is over, and all of them when the lease is.
    async fn watch(self) {
        while !self.stop.is_cancelled() {
            task::sleep(Duration::from_millis(5)).await;
            let now = Instant::now();
            if self.tasks().lease_ends.is_some_and(|end| now >= end) {
                self.end_all();
                self.tasks().is_over = true;
                continue;
            }
            let mut tasks = self.tasks();
            let due = tasks.running.iter().filter(|(_, t)| t.ends.is_some_and(|at| at <= now));
            let due: Vec<Fence> = due.map(|(fence, _)| *fence).collect();
            for fence in due {
                let task = tasks.running.remove(&fence).expect("taken from the tasks");
                let outcome = task.outcome.unwrap_or(TaskOutcome::Stopped);
                tasks.ended.push(RunEnd { fence, outcome });
                self.journal.end_run(fence, &self.options.name);
            }
        }
    }

    /// Ends everything without a report.
    fn end_all(&self) {
        let mut tasks = self.tasks();
        for fence in tasks.running.keys() {
            self.journal.end_run(*fence, &self.options.name);
        }
        tasks.running = SortedMap::default();
        tasks.lease_ends = None;
    }
}
