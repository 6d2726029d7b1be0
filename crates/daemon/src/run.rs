//! Starts the parts of the process and stops them in order.

use crate::args::{self, Action};
use crate::burn::BurnTracker;
use crate::clock::Clock;
use crate::engine::{Engine, SharedStats};
use crate::exchanges::EngineHandle;
use crate::http::{self, Shared};
use crate::metrics::Metrics;
use crate::peers::{self, PeerSenders};
use crate::upstreams::Upstreams;
use crate::{logs, Error};
use async_std::task;
use connections::Connections;
use host::Input;
use settings::Settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;
use types::HostId;

/// Interval at which a draining process checks whether it is drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs `ebonywalkd` with these command-line arguments until it has stopped.
pub fn run<I>(args: I) -> Result<(), Error>
where
    I: IntoIterator<Item = OsString>,
{
    match args::parse(args)? {
        Action::Run(settings) => start(*settings),
        Action::OnPlatform { metrics_port, bind_peers } => {
            // async-std reads the variable once, when its first task starts.
            std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
            logs::start_on_platform();
            Ok(platform::run(metrics_port, bind_peers)?)
        }
        Action::PrintSettings(settings) => {
            print!("{}", settings.to_yaml());
            Ok(())
        }
        Action::Nothing => Ok(()),
    }
}

/// Tokens that stop parts of the process, in the order in which they are cancelled.
#[derive(Clone)]
pub(crate) struct ShutdownTokens {
    /// Report that the host is not ready, and keep serving.
    pub(crate) drain: CancellationToken,
    /// Accept no new connections or requests.
    pub(crate) accept: CancellationToken,
    /// Stop all tasks and the engine.
    pub(crate) all: CancellationToken,
}

fn start(settings: Settings) -> Result<(), Error> {
    // async-std reads the variable once, when its first task starts.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", settings.limits.threads.to_string());
    logs::start(&settings.log);
    let shutdown = ShutdownTokens {
        drain: CancellationToken::new(),
        accept: CancellationToken::new(),
        all: CancellationToken::new(),
    };
    let clock = Clock::start();
    let (inputs, inputs_rx) = mpsc::channel();
    let handle = EngineHandle::new(inputs);
    let stats = SharedStats::default();
    let senders = PeerSenders::start(&settings.host, &peer_addresses(&settings), &shutdown.all);
    let engine = Engine::open(&settings, clock, inputs_rx, handle.clone(), senders, stats.clone())?;
    watch_signals(&shutdown)?;
    let engine = spawn_engine(engine, &shutdown);
    let shared = Arc::new(Shared {
        clock,
        handle: handle.clone(),
        upstreams: Upstreams::new(settings.limits.body),
        metrics: Metrics::new(&settings.host, &settings.zone),
        burn: BurnTracker::default(),
        stats: stats.clone(),
        connections: Connections::new("clients", request_memory(&settings)),
        shutdown: shutdown.clone(),
        settings,
    });
    let listening = task::block_on(listen(&shared));
    if listening.is_ok() {
        log::info!(host = shared.settings.host.as_str(), zone = shared.settings.zone.as_str();
            "entry host started");
        task::block_on(drain_on_request(&shared));
    }
    shutdown.accept.cancel();
    shutdown.all.cancel();
    let ended = engine
        .join()
        .unwrap_or_else(|_| Err(Error::Io(std::io::Error::other("engine thread panicked"))));
    listening.and(ended)
}

/// Memory that requests and answers may hold, in bytes.
fn request_memory(settings: &Settings) -> usize {
    usize::try_from(settings.limits.request_memory()).unwrap_or(usize::MAX)
}

fn peer_addresses(settings: &Settings) -> Vec<(HostId, SocketAddr)> {
    let others = settings.hosts.iter().filter(|entry| entry.host != settings.host);
    others.map(|entry| (entry.host.clone(), entry.peers)).collect()
}

fn spawn_engine(
    engine: Engine,
    shutdown: &ShutdownTokens,
) -> thread::JoinHandle<Result<(), Error>> {
    let shutdown = shutdown.clone();
    thread::spawn(move || {
        let ended = engine.run(&shutdown.all);
        if let Err(e) = &ended {
            log::error!("engine failed: {e}");
        }
        // Without the engine no request can be answered.
        shutdown.drain.cancel();
        shutdown.accept.cancel();
        shutdown.all.cancel();
        ended
    })
}

fn watch_signals(shutdown: &ShutdownTokens) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let drain = shutdown.drain.clone();
    thread::spawn(move || {
        for signal in signals.forever() {
            log::info!(signal = signal; "stop signal received");
            drain.cancel();
        }
    });
    Ok(())
}

async fn listen(shared: &Arc<Shared>) -> Result<(), Error> {
    let addr = shared.settings.listen.peers;
    peers::listen(addr, shared.settings.hosts.len(), shared.handle.clone())
        .await
        .map_err(|e| Error::Peers(addr, e))?;
    http::listen(shared)
}

/// Waits for a stop request and drains: reports not ready, keeps serving for `drain.notice`,
/// accepts nothing new, and finishes open requests within `drain.limit`.
async fn drain_on_request(shared: &Arc<Shared>) {
    shared.shutdown.drain.cancelled().await;
    if shared.shutdown.all.is_cancelled() {
        return;
    }
    let drain = &shared.settings.drain;
    shared.handle.send(Input::Drain);
    log::info!("draining: reporting not ready, still serving");
    task::sleep(drain.notice).await;
    shared.shutdown.accept.cancel();
    let until = Instant::now() + drain.limit;
    while Instant::now() < until && !is_drained(shared) {
        task::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let open = shared.handle.open_exchanges();
    if open > 0 {
        log::warn!(open = open; "drain.limit passed with requests in flight");
    }
    log::info!("drain finished");
}

fn is_drained(shared: &Shared) -> bool {
    let host = shared.stats.lock().expect("lock is not poisoned").drained;
    host && shared.handle.open_exchanges() == 0 && shared.open_requests() == 0
}
