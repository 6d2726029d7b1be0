//! Wiring the parts, and stopping them in order.

use crate::args::{self, Asked};
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

/// How often a stopping process looks whether it is done.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Runs the program with its command line.
pub fn run<I>(args: I) -> Result<(), Error>
where
    I: IntoIterator<Item = OsString>,
{
    match args::parse(args)? {
        Asked::Run(settings) => start(*settings),
        Asked::OnPlatform { metrics_port, bind_peers } => {
            // Read once by the pool when its first task starts.
            std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
            logs::start_on_platform();
            Ok(platform::run(metrics_port, bind_peers)?)
        }
        Asked::Print(settings) => {
            print!("{}", settings.to_yaml());
            Ok(())
        }
        Asked::Nothing => Ok(()),
    }
}

/// Tokens that stop parts of the process, in the order in which they are cancelled.
#[derive(Clone)]
pub(crate) struct Stops {
    /// The process is to stop: tell the balancer and go on.
    pub(crate) drain: CancellationToken,
    /// Take no new connections or requests.
    pub(crate) accept: CancellationToken,
    /// Stop everything.
    pub(crate) all: CancellationToken,
}

fn start(settings: Settings) -> Result<(), Error> {
    // Read once by the pool when its first task starts.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", settings.limits.threads.to_string());
    logs::start(&settings.log);
    let stops = Stops {
        drain: CancellationToken::new(),
        accept: CancellationToken::new(),
        all: CancellationToken::new(),
    };
    let clock = Clock::start();
    let (inputs, inputs_rx) = mpsc::channel();
    let handle = EngineHandle::new(inputs);
    let stats = SharedStats::default();
    let senders = PeerSenders::start(&settings.host, &peer_addresses(&settings), &stops.all);
    let engine = Engine::open(&settings, clock, inputs_rx, handle.clone(), senders, stats.clone())?;
    watch_signals(&stops)?;
    let engine = spawn_engine(engine, &stops);
    let shared = Arc::new(Shared {
        clock,
        handle: handle.clone(),
        upstreams: Upstreams::new(settings.limits.body),
        metrics: Metrics::new(&settings.host, &settings.zone),
        burn: BurnTracker::default(),
        stats: stats.clone(),
        stops: stops.clone(),
        settings,
    });
    let listening = task::block_on(listen(&shared));
    if listening.is_ok() {
        log::info!(host = shared.settings.host.as_str(), zone = shared.settings.zone.as_str();
            "entry host started");
        task::block_on(drain_when_asked(&shared));
    }
    stops.accept.cancel();
    stops.all.cancel();
    let ended = engine
        .join()
        .unwrap_or_else(|_| Err(Error::Io(std::io::Error::other("the engine's thread panicked"))));
    listening.and(ended)
}

fn peer_addresses(settings: &Settings) -> Vec<(HostId, SocketAddr)> {
    let others = settings.hosts.iter().filter(|entry| entry.host != settings.host);
    others.map(|entry| (entry.host.clone(), entry.peers)).collect()
}

fn spawn_engine(engine: Engine, stops: &Stops) -> thread::JoinHandle<Result<(), Error>> {
    let stops = stops.clone();
    thread::spawn(move || {
        let ended = engine.run(&stops.all);
        if let Err(e) = &ended {
            log::error!("the engine stops: {e}");
        }
        // Without the engine nothing can be answered any more.
        stops.drain.cancel();
        stops.accept.cancel();
        stops.all.cancel();
        ended
    })
}

fn watch_signals(stops: &Stops) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let drain = stops.drain.clone();
    thread::spawn(move || {
        for signal in signals.forever() {
            log::info!(signal = signal; "asked to stop");
            drain.cancel();
        }
    });
    Ok(())
}

async fn listen(shared: &Arc<Shared>) -> Result<(), Error> {
    let addr = shared.settings.listen.peers;
    peers::listen(addr, shared.handle.clone()).await.map_err(|e| Error::Peers(addr, e))?;
    http::listen(shared).await
}

/// A planned stop: tell the balancer, go on for the notice, take nothing new, finish.
async fn drain_when_asked(shared: &Arc<Shared>) {
    shared.stops.drain.cancelled().await;
    if shared.stops.all.is_cancelled() {
        return;
    }
    let drain = &shared.settings.drain;
    shared.handle.input(Input::Drain);
    log::info!("draining: not ready any more, still answering");
    task::sleep(drain.notice).await;
    shared.stops.accept.cancel();
    let until = Instant::now() + drain.limit;
    while Instant::now() < until && !is_drained(shared) {
        task::sleep(DRAIN_POLL).await;
    }
    let left = shared.handle.open_exchanges();
    if left > 0 {
        log::warn!(open = left; "drain.limit is over with requests in flight");
    }
    log::info!("drained");
}

fn is_drained(shared: &Shared) -> bool {
    let host = shared.stats.lock().expect("no one panics with the lock").drained;
    host && shared.handle.open_exchanges() == 0 && shared.open_requests() == 0
}
