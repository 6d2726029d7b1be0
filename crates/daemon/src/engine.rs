//! The engine: the thread that owns the host and its data directory.

use crate::clock::Clock;
use crate::config::{host_config, own_groups};
use crate::exchanges::EngineHandle;
use crate::peers::PeerSenders;
use crate::Error;
use consensus::Restored;
use host::{GroupId, Host, HostStats, Input, Output, StartState};
use settings::Settings;
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use storage::{DataDir, GroupStore};
use tokio_util::sync::CancellationToken;
use types::{Release, SortedMap, Timestamp, Version};

/// Largest number of inputs handled between two syncs of the disk.
const MAX_BATCH: usize = 512;
/// Longest wait for an input, so that cancellation is noticed.
const MAX_SLEEP: Duration = Duration::from_millis(200);
/// Most waiting times kept for the next scrape of the metrics. Beyond it the oldest are dropped.
const MAX_WAITS: usize = 20_000;
/// Interval at which counts and gauges are published.
const STATS_INTERVAL: Duration = Duration::from_secs(1);

/// Counts and gauges of the host, published at [`STATS_INTERVAL`] and with each new release.
pub(crate) type SharedStats = Arc<Mutex<HostStats>>;

/// The data directory and the stores of the host's groups.
struct Disk {
    /// `None` on a host without a data directory.
    data_dir: Option<DataDir>,
    stores: SortedMap<GroupId, GroupStore>,
}

/// The host and what its thread needs to carry out its outputs.
pub(crate) struct Engine {
    host: Host,
    disk: Disk,
    clock: Clock,
    inputs: Receiver<Input>,
    handle: EngineHandle,
    peers: PeerSenders,
    stats: SharedStats,
    next_stats: Timestamp,
    /// Version of the release when the statistics were last published.
    published_release: Version,
}

impl Engine {
    /// Opens the data directory and builds the host from what was stored there.
    pub(crate) fn open(
        settings: &Settings,
        clock: Clock,
        inputs: Receiver<Input>,
        handle: EngineHandle,
        peers: PeerSenders,
        stats: SharedStats,
    ) -> Result<Engine, Error> {
        let mut disk = Disk { data_dir: None, stores: SortedMap::default() };
        let mut rng = fastrand::Rng::new();
        let mut start = StartState {
            member: rng.u64(1..),
            process: rng.u64(1..),
            now: clock.now(),
            seed: rng.u64(..),
            ..StartState::default()
        };
        if let Some(path) = &settings.data {
            disk.open(path, settings, &mut start)?;
        }
        log::info!(host = settings.host.as_str(), member = start.member; "data directory opened");
        let host = Host::new(host_config(settings), start);
        let next_stats = clock.now();
        let published_release = 0;
        Ok(Engine {
            host,
            disk,
            clock,
            inputs,
            handle,
            peers,
            stats,
            next_stats,
            published_release,
        })
    }

    /// Runs until `stop` is cancelled. An error means that the disk failed; no output has been sent
    /// since the failure.
    pub(crate) fn run(mut self, stop: &CancellationToken) -> Result<(), Error> {
        while !stop.is_cancelled() {
            let sleep = self.clock.until(self.host.next_wakeup()).min(MAX_SLEEP);
            match self.inputs.recv_timeout(sleep) {
                Ok(input) => self.handle_batch(input),
                Err(RecvTimeoutError::Timeout) => self.host.handle(self.clock.now(), Input::Tick),
                Err(RecvTimeoutError::Disconnected) => break,
            }
            let outputs = self.host.finish(self.clock.now());
            self.carry_out(outputs)?;
            self.publish();
        }
        Ok(())
    }

    fn handle_batch(&mut self, first: Input) {
        self.host.handle(self.clock.now(), first);
        for _ in 1..MAX_BATCH {
            let Ok(input) = self.inputs.try_recv() else { return };
            self.host.handle(self.clock.now(), input);
        }
    }

    /// Carries out the outputs of one batch. Durable outputs come first and are synced before any other
    /// output is sent.
    fn carry_out(&mut self, outputs: Vec<Output>) -> Result<(), Error> {
        let mut synced = false;
        for output in outputs {
            if output.is_durable() {
                if matches!(output, Output::SaveRelease(_)) {
                    self.disk.sync()?;
                }
                self.disk.write(output)?;
                continue;
            }
            if !synced {
                self.disk.sync()?;
                synced = true;
            }
            self.send(output);
        }
        if !synced {
            self.disk.sync()?;
        }
        Ok(())
    }

    fn send(&self, output: Output) {
        match output {
            Output::Send(to, message) => self.peers.send(&to, message),
            Output::Answer(exchange, _)
            | Output::Deliver(exchange)
            | Output::Replay(exchange, _)
            | Output::Forward { exchange, .. }
            | Output::GiveUp { exchange, .. } => self.handle.deliver(exchange, output),
            Output::Persist(..) | Output::FormGroup(..) | Output::SaveRelease(_) => {
                unreachable!("durable outputs are written to disk")
            }
        }
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        // A new release is published at once, because its objectives apply from now on.
        let release = self.host.release().version;
        if now < self.next_stats && release == self.published_release {
            return;
        }
        self.published_release = release;
        self.next_stats = now + STATS_INTERVAL;
        let mut next = self.host.take_stats();
        let mut shared = self.stats.lock().expect("lock is not poisoned");
        log_leadership(&shared, &next);
        next.waits.splice(0..0, std::mem::take(&mut shared.waits));
        let excess = next.waits.len().saturating_sub(MAX_WAITS);
        next.waits.drain(..excess);
        *shared = next;
    }
}

impl Disk {
    fn open(
        &mut self,
        path: &Path,
        settings: &Settings,
        start: &mut StartState,
    ) -> Result<(), Error> {
        let data_dir = DataDir::open(path, &settings.host, &settings.zone, start.seed)?;
        start.member = data_dir.identity().member;
        start.release = data_dir.read_release()?.unwrap_or_else(Release::default);
        for id in own_groups(settings, &data_dir) {
            let began = Instant::now();
            let (store, stored) = data_dir.open_group(&id.to_string())?;
            log_found(&id, &store, stored.as_ref(), began.elapsed());
            self.stores.insert(id.clone(), store);
            if let Some(restored) = stored {
                start.groups.insert(id, restored);
            }
        }
        self.data_dir = Some(data_dir);
        Ok(())
    }

    fn write(&mut self, output: Output) -> Result<(), Error> {
        match output {
            Output::Persist(id, ready) => {
                if let Some(store) = self.stores.get_mut(&id) {
                    store.append(&ready)?;
                }
            }
            Output::FormGroup(id, config) => {
                if let Some(store) = self.stores.get_mut(&id) {
                    store.form_group(&config)?;
                }
                log::info!(group = id.to_string().as_str(); "group formed");
            }
            Output::SaveRelease(release) => {
                if let Some(data_dir) = &self.data_dir {
                    data_dir.save_release(&release)?;
                }
                log::info!(version = release.version, digest = release.digest.as_str();
                    "release in force");
            }
            _ => {}
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), Error> {
        for store in self.stores.values_mut() {
            store.sync()?;
        }
        Ok(())
    }
}

fn log_leadership(before: &HostStats, now: &HostStats) {
    if before.leads_zone != now.leads_zone {
        log::info!(term = now.zone_term, leads = now.leads_zone; "zone leadership changed");
    }
    if before.leads_cell != now.leads_cell {
        log::info!(leads = now.leads_cell; "cell leadership changed");
    }
    if before.workers_lost != now.workers_lost {
        log::warn!(term = now.zone_term, since_start = now.workers_lost; "workers lost");
    }
}

/// Logs the state of a group and what the open of its store, which took `took`, found of its log.
fn log_found(id: &GroupId, store: &GroupStore, stored: Option<&Restored>, took: Duration) {
    let (id, found, took_ms) = (id.to_string(), store.found(), took.as_millis() as u64);
    if let Some(restored) = stored {
        log::info!(
            group = id.as_str(),
            term = restored.hard_state.term,
            snapshot = restored.snapshot.index,
            entries = restored.entries.len(),
            first = restored.entries.first().map_or(0, |e| e.index),
            last = found.last_index,
            segments = found.segments,
            frames = found.frames,
            tail_bytes = found.tail_bytes,
            torn_bytes = found.torn_bytes,
            rewritten_bytes = found.rewritten_bytes,
            took_ms = took_ms;
            "group restored"
        );
    } else if found.segments > 0 {
        log::info!(
            group = id.as_str(),
            last = found.last_index,
            segments = found.segments,
            frames = found.frames,
            tail_bytes = found.tail_bytes,
            torn_bytes = found.torn_bytes,
            took_ms = took_ms;
            "found a log on disk, but the group was not formed"
        );
    }
    if found.torn_bytes > 0 {
        log::warn!(group = id.as_str(), torn_bytes = found.torn_bytes, last = found.last_index;
            "cut off an interrupted write at the end of the log");
    }
}
