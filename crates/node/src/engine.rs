//! The engine: the one thread that owns the node and its data folder.

use crate::clock::Clock;
use crate::disk::{Disk, Place};
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

/// Inputs handled between two writes to the disk.
const MAX_BATCH: usize = 512;
/// Longest sleep, so that cancellation is noticed.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);
/// How often counts and gauges are published.
const STATS_EVERY: Duration = Duration::from_secs(1);
/// Wait before a data folder that failed is opened again.
const REOPEN_AFTER: Duration = Duration::from_secs(1);

/// What carries the node's outputs to the outside. Each must return at once; answers come back
/// as inputs through the [`EngineHandle`].
pub struct OutputHandlers {
    /// Sends an order to a worker.
    pub order: Box<dyn Fn(u64, OrderEnvelope) + Send>,
    /// Makes a call to the advice service.
    pub advise: Box<dyn Fn(u64, StepRef, Vec<WorkerId>, Duration) + Send>,
    /// Takes the configuration that is in force from now on.
    pub configured: Box<dyn Fn(Arc<Configuration>) + Send>,
}

/// What the engine is started with.
pub struct EngineConfig {
    /// The node, without its disk.
    pub node: NodeConfigBuilder,
    /// IP address of this host, by which others know it.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Data folder, where there is a disk.
    pub data: Option<PathBuf>,
    /// Port on which hosts talk to each other, the same on all.
    pub peers: SocketAddr,
}

/// A running engine.
pub struct RunningEngine {
    /// The way to it.
    pub handle: EngineHandle,
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

impl RunningEngine {
    /// Stops the engine and waits for its end.
    pub fn stop(self) {
        self.stop.cancel();
        self.handle.send(Input::Tick);
        if self.thread.join().is_err() {
            log::error!("the engine's thread panicked");
        }
    }
}

/// Opens the data folder, listens for other hosts and starts the engine. `carriers` is given the
/// way to the engine.
pub fn start<F>(setup: EngineConfig, carriers: F) -> Result<RunningEngine, Error>
where
    F: FnOnce(&EngineHandle) -> OutputHandlers,
{
    let clock = Clock::start();
    let (tx, rx) = mpsc::channel();
    let handle = EngineHandle::new(tx, clock, Metrics::new(&setup.host, &setup.zone));
    let stop = CancellationToken::new();
    let addr = setup.peers;
    task::block_on(links::listen(addr, handle.clone())).map_err(|e| Error::Peers(addr, e))?;
    let place = setup.data.as_ref().map(|path| Place {
        path: path.clone(),
        host: setup.host.clone(),
        zone: setup.zone.clone(),
    });
    let mut rng = fastrand::Rng::new();
    let node = Node::new(setup.node.clone().build(), fresh_start(&mut rng, clock.now()));
    let mut engine = Engine {
        node,
        builder: setup.node,
        disk: None,
        place,
        reopen_at: clock.now(),
        rng,
        clock,
        inputs: rx,
        handle: handle.clone(),
        links: Links::new(setup.host, addr.port(), stop.clone()),
        carriers: carriers(&handle),
        next_stats: clock.now(),
    };
    engine.open_disk_if_due();
    let token = stop.clone();
    let thread = thread::spawn(move || engine.run(&token));
    Ok(RunningEngine { handle, stop, thread })
}

fn fresh_start(rng: &mut fastrand::Rng, now: Timestamp) -> StartState {
    StartState { member: rng.u64(1..), process: rng.u64(1..), now, seed: rng.u64(..), group: None }
}

struct Engine {
    node: Node,
    builder: NodeConfigBuilder,
    disk: Option<Disk>,
    /// The data folder, where there is one.
    place: Option<Place>,
    reopen_at: Timestamp,
    rng: fastrand::Rng,
    clock: Clock,
    inputs: Receiver<Input>,
    handle: EngineHandle,
    links: Links,
    carriers: OutputHandlers,
    next_stats: Timestamp,
}

impl Engine {
    fn run(mut self, stop: &CancellationToken) {
        while !stop.is_cancelled() {
            let wait = self.node.next_wakeup().saturating_sub(self.clock.now());
            match self.inputs.recv_timeout(wait.min(LONGEST_SLEEP)) {
                Ok(input) => self.handle_batch(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.node.set_wall_clock(Clock::wall());
            let outputs = self.node.finish(self.clock.now());
            if let Err(e) = self.carry_out(outputs) {
                self.disk_failed(&e);
            }
            self.open_disk_if_due();
            self.publish();
        }
    }

    fn handle_batch(&mut self, first: Input) {
        self.node.handle(self.clock.now(), first);
        for _ in 1..MAX_BATCH {
            let Ok(input) = self.inputs.try_recv() else { return };
            self.node.handle(self.clock.now(), input);
        }
    }

    /// Durable outputs come first and are synced once, before anything leaves.
    fn carry_out(&mut self, outputs: Vec<Output>) -> Result<(), storage::Error> {
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
                        disk.form(&config)?;
                    }
                }
                other => {
                    if !synced {
                        self.sync()?;
                        synced = true;
                    }
                    self.let_out(other);
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

    fn let_out(&mut self, output: Output) {
        match output {
            Output::Send(to, message) => self.links.send(&to, message),
            Output::Answer(exchange, answer) => self.handle.deliver(exchange, answer),
            Output::Order(number, details) => (self.carriers.order)(number, *details),
            Output::Advise { number, step, workers, timeout } => {
                (self.carriers.advise)(number, step, workers, timeout)
            }
            Output::Configured(configuration) => (self.carriers.configured)(configuration),
            Output::Persist(_) | Output::FormGroup(_) => {
                unreachable!("durable outputs are written")
            }
        }
    }

    /// The host goes on without its membership: what it had in memory may not be on the disk.
    fn disk_failed(&mut self, cause: &storage::Error) {
        log::error!(cause:display = cause; "the disk failed; this host leaves the group for now");
        self.disk = None;
        self.reopen_at = self.clock.now() + REOPEN_AFTER;
        let cfg = self.builder.clone().disk(false).build();
        self.node = Node::new(cfg, fresh_start(&mut self.rng, self.clock.now()));
    }

    fn open_disk_if_due(&mut self) {
        let now = self.clock.now();
        let Some(place) = self.place.as_ref().filter(|_| self.disk.is_none()) else { return };
        if now < self.reopen_at {
            return;
        }
        self.reopen_at = now + REOPEN_AFTER;
        match Disk::open(place, self.rng.u64(..)) {
            Ok((disk, member, group)) => {
                let start = fresh_start(&mut self.rng, now);
                let cfg = self.builder.clone().disk(true).build();
                self.node = Node::new(cfg, StartState { member, group, ..start });
                self.disk = Some(disk);
                log::info!(member = member; "data folder open");
            }
            Err(e) => log::error!(cause:display = e; "the data folder can't be opened"),
        }
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let (not_ready, drained) = (self.node.unready_reason(), self.node.is_drained());
        let in_touch = self.node.has_recent_configuration();
        self.handle.publish(|shared| {
            (shared.not_ready, shared.drained, shared.in_touch) = (not_ready, drained, in_touch);
        });
        if now >= self.next_stats {
            self.next_stats = now + STATS_EVERY;
            self.handle.metrics().publish(self.node.stats());
        }
    }
}
