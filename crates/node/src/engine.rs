//! The engine: the thread that owns the node and its data directory.

use crate::clock::Clock;
use crate::directory_log::DirectoryLog;
use crate::disk::{DataLocation, Disk};
use crate::handle::EngineHandle;
use crate::links::{self, Links};
use crate::metrics::Metrics;
use crate::Error;
use async_std::task;
use jobs::{Configuration, StepRef};
use scheduler::{Input, Node, NodeConfigBuilder, OrderEnvelope, Output, StartState};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use types::{HostId, Timestamp, WorkerId, ZoneName};
use wire::ServerLimits;

/// Largest number of inputs handled between two syncs of the disk.
const MAX_BATCH: usize = 512;
/// Longest wait for an input, so that cancellation is noticed.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Interval at which counts and gauges are published.
const STATS_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a data directory that failed is opened again.
const REOPEN_DELAY: Duration = Duration::from_secs(1);

/// Callbacks for the node's outputs to workers and to the advice service. They run on the engine's
/// thread and must not block; answers are sent back as inputs through the [`EngineHandle`].
pub struct OutputHandlers {
    /// Sends an order, with its number, to a worker.
    pub order: Box<dyn Fn(u64, OrderEnvelope) + Send>,
    /// Calls the advice service: number of the call, step, candidate workers and timeout.
    pub advise: Box<dyn Fn(u64, StepRef, Vec<WorkerId>, Duration) + Send>,
    /// Called with each new configuration that comes into force.
    pub configured: Box<dyn Fn(Arc<Configuration>) + Send>,
}

/// Configuration of an engine.
pub struct EngineConfig {
    /// Builder of the node; the engine sets whether the node has a disk.
    pub node: NodeConfigBuilder,
    /// Name of this host, which is its IP address.
    pub host: HostId,
    /// Availability zone of this host.
    pub zone: ZoneName,
    /// Data directory; `None` on a host without a disk.
    pub data: Option<PathBuf>,
    /// Address to listen on for other hosts. The port must be the same on all hosts.
    pub peers: SocketAddr,
    /// What other hosts may take together.
    pub peer_limits: ServerLimits,
}

/// A started engine.
pub struct RunningEngine {
    /// Handle to the engine.
    pub handle: EngineHandle,
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

impl RunningEngine {
    /// Stops the engine and waits until its thread has ended.
    pub fn stop(self) {
        self.stop.cancel();
        self.handle.send(Input::Tick);
        if self.thread.join().is_err() {
            log::error!("engine thread panicked");
        }
    }
}

/// Starts the engine: opens the data directory and listens for other hosts. `handlers` creates the
/// output callbacks from a handle to the engine.
///
/// # Errors
///
/// [`Error::Peers`] if the address for other hosts can't be used. A data directory that can't be
/// opened is no error: the engine runs without it and tries again.
pub fn start<F>(cfg: EngineConfig, handlers: F) -> Result<RunningEngine, Error>
where
    F: FnOnce(&EngineHandle) -> OutputHandlers,
{
    let clock = Clock::start();
    let (tx, rx) = mpsc::channel();
    let handle = EngineHandle::new(tx, clock, Metrics::new(&cfg.host, &cfg.zone));
    let stop = CancellationToken::new();
    let addr = cfg.peers;
    task::block_on(links::listen(addr, cfg.peer_limits, handle.clone()))
        .map_err(|e| Error::Peers(addr, e))?;
    let location = cfg.data.as_ref().map(|path| DataLocation {
        path: path.clone(),
        host: cfg.host.clone(),
        zone: cfg.zone.clone(),
    });
    let mut rng = fastrand::Rng::new();
    let node = Node::new(cfg.node.clone().build(), new_start_state(&mut rng, clock.now()));
    let mut engine = Engine {
        node,
        builder: cfg.node,
        disk: None,
        location,
        reopen_at: clock.now(),
        directory_log: DirectoryLog::default(),
        rng,
        clock,
        inputs: rx,
        handle: handle.clone(),
        links: Links::new(cfg.host, addr.port(), stop.clone()),
        handlers: handlers(&handle),
        next_stats: clock.now(),
    };
    engine.publish_disk();
    engine.open_disk_if_due();
    let token = stop.clone();
    let thread = thread::spawn(move || engine.run(&token));
    Ok(RunningEngine { handle, stop, thread })
}

/// State of a node that starts with a random member id and without a group.
fn new_start_state(rng: &mut fastrand::Rng, now: Timestamp) -> StartState {
    StartState { member: rng.u64(1..), process: rng.u64(1..), now, seed: rng.u64(..), group: None }
}

struct Engine {
    node: Node,
    builder: NodeConfigBuilder,
    disk: Option<Disk>,
    /// `None` on a host without a disk.
    location: Option<DataLocation>,
    reopen_at: Timestamp,
    directory_log: DirectoryLog,
    rng: fastrand::Rng,
    clock: Clock,
    inputs: Receiver<Input>,
    handle: EngineHandle,
    links: Links,
    handlers: OutputHandlers,
    next_stats: Timestamp,
}

impl Engine {
    fn run(mut self, stop: &CancellationToken) {
        while !stop.is_cancelled() {
            let wait = self.node.next_wakeup().saturating_sub(self.clock.now());
            match self.inputs.recv_timeout(wait.min(MAX_SLEEP)) {
                Ok(input) => self.handle_batch(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.node.set_wall_clock(Clock::wall());
            let outputs = self.node.finish(self.clock.now());
            if let Err(e) = self.process_outputs(outputs) {
                self.handle_disk_failure(&e);
            }
            self.open_disk_if_due();
            self.publish();
        }
    }

    /// Passes `first` and the inputs queued behind it to the node, up to a batch.
    fn handle_batch(&mut self, first: Input) {
        self.node.handle(self.clock.now(), first);
        for _ in 1..MAX_BATCH {
            let Ok(input) = self.inputs.try_recv() else { return };
            self.node.handle(self.clock.now(), input);
        }
    }

    /// Writes durable outputs, which come first, and syncs them once before any other output is
    /// sent: other hosts and callers may rely only on what is on disk.
    fn process_outputs(&mut self, outputs: Vec<Output>) -> Result<(), storage::Error> {
        let mut synced = false;
        for output in outputs {
            match output {
                Output::Persist(ready) => {
                    if let Some(disk) = &mut self.disk {
                        disk.append(&ready)?;
                    }
                }
                Output::FormGroup(config) => {
                    if let Some(disk) = &mut self.disk {
                        disk.form_group(&config)?;
                    }
                }
                other => {
                    if !synced {
                        self.sync()?;
                        synced = true;
                    }
                    self.emit(other);
                }
            }
        }
        if !synced {
            self.sync()?;
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), storage::Error> {
        let began = self.clock.now();
        if let Some(disk) = &mut self.disk {
            if disk.sync()? {
                self.handle.metrics().observe_sync(self.clock.now().saturating_sub(began));
            }
        }
        Ok(())
    }

    fn emit(&mut self, output: Output) {
        match output {
            Output::Send(to, message) => {
                self.handle.metrics().count_sent(message.kind(), message.approx_size());
                self.links.send(&to, message);
            }
            Output::Answer(exchange, answer) => self.handle.deliver(exchange, answer),
            Output::Order(number, order) => (self.handlers.order)(number, *order),
            Output::Advise { number, step, workers, timeout } => {
                (self.handlers.advise)(number, step, workers, timeout)
            }
            Output::Configured(configuration) => (self.handlers.configured)(configuration),
            Output::Persist(_) | Output::FormGroup(_) => {
                unreachable!("process_outputs handles durable outputs")
            }
        }
    }

    /// Drops the disk and continues with a new node that is no member of the group, because the
    /// old node's state in memory may be ahead of the disk.
    fn handle_disk_failure(&mut self, cause: &storage::Error) {
        let now = self.clock.now();
        if self.directory_log.disk_failed(now, &cause.to_string()) {
            log::error!(cause:display = cause, failures = self.directory_log.failures();
                "disk failed; leaving the group until the data directory opens again");
        }
        self.disk = None;
        self.publish_disk();
        self.reopen_at = now + REOPEN_DELAY;
        let cfg = self.builder.clone().disk(false).build();
        self.node = Node::new(cfg, new_start_state(&mut self.rng, now));
    }

    /// Opens the data directory if there is one, it is not open and the delay after the last
    /// failure has passed. The node then restarts as the member that the directory belongs to.
    fn open_disk_if_due(&mut self) {
        let now = self.clock.now();
        let Some(location) = self.location.as_ref().filter(|_| self.disk.is_none()) else { return };
        if now < self.reopen_at {
            return;
        }
        self.reopen_at = now + REOPEN_DELAY;
        match Disk::open(location, self.rng.u64(..)) {
            Ok(opened) => {
                if let Some(outage) = self.directory_log.opened(self.clock.now()) {
                    opened.log_found();
                    log::info!(member = opened.member, attempts = outage.attempts,
                        shut_ms = outage.lasted.as_millis() as u64; "opened the data directory");
                }
                let start = new_start_state(&mut self.rng, now);
                let cfg = self.builder.clone().disk(true).build();
                let start = StartState { member: opened.member, group: opened.group, ..start };
                self.node = Node::new(cfg, start);
                self.disk = Some(opened.disk);
            }
            Err(e) => {
                if let Some(outage) =
                    self.directory_log.open_failed(self.clock.now(), &e.to_string())
                {
                    log::error!(cause:display = e, attempts = outage.attempts,
                        shut_ms = outage.lasted.as_millis() as u64;
                        "cannot open the data directory");
                }
            }
        }
        self.publish_disk();
    }

    /// Sets the metrics of the data directory. Called when they change, since a host whose directory
    /// is shut may have nothing else to publish.
    fn publish_disk(&self) {
        let is_shut = self.location.is_some() && self.disk.is_none();
        let metrics = self.handle.metrics();
        metrics.set_now("data_directory_shut", is_shut.into());
        metrics.set_since_start("data_directory_failures", self.directory_log.failures());
    }

    /// Publishes the status after each batch, and the metrics once per [`STATS_INTERVAL`].
    fn publish(&mut self) {
        let now = self.clock.now();
        let (unready_reason, drained) = (self.node.unready_reason(), self.node.is_drained());
        let has_recent_configuration = self.node.has_recent_configuration();
        let pause_ended = self.node.pause_ended();
        let (confirmed_at, outdated) = (self.node.confirmed_at(), self.node.is_outdated());
        self.handle.publish(|status| {
            (status.unready_reason, status.drained, status.has_recent_configuration) =
                (unready_reason, drained, has_recent_configuration);
            (status.confirmed_at, status.outdated) = (confirmed_at, outdated);
            (status.at, status.pause_ended) = (now, pause_ended);
        });
        if now >= self.next_stats {
            self.next_stats = now + STATS_INTERVAL;
            self.handle.metrics().publish(self.node.stats());
        }
    }
}
