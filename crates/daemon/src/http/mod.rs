//! The HTTP interfaces for callers, for workers and upstreams, and for operators.

mod accept;
mod body;
mod callers;
mod guard;
mod operators;
mod platform;
mod reply;

use crate::burn::BurnTracker;
use crate::clock::Clock;
use crate::engine::SharedStats;
use crate::exchanges::EngineHandle;
use crate::metrics::Metrics;
use crate::run::ShutdownTokens;
use crate::upstreams::Upstreams;
use crate::Error;
use async_std::net::TcpListener;
use settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;

/// State shared by all handlers.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) handle: EngineHandle,
    pub(crate) upstreams: Upstreams,
    pub(crate) metrics: Metrics,
    pub(crate) burn: BurnTracker,
    pub(crate) stats: SharedStats,
    pub(crate) shutdown: ShutdownTokens,
}

impl Shared {
    /// Number of requests open in the host, as last published.
    pub(crate) fn open_requests(&self) -> usize {
        self.stats.lock().expect("lock is not poisoned").open_requests
    }
}

/// Binds all HTTP addresses and starts to accept connections.
pub(crate) async fn listen(shared: &Arc<Shared>) -> Result<(), Error> {
    let listen = &shared.settings.listen;
    let callers = bind("callers", listen.callers).await?;
    let platform = bind("platform", listen.platform).await?;
    let operators = bind("operators", listen.operators).await?;
    accept::spawn(callers, callers::app(shared.clone()), shared.clone());
    accept::spawn(platform, platform::app(shared.clone()), shared.clone());
    accept::spawn(operators, operators::app(shared.clone()), shared.clone());
    Ok(())
}

async fn bind(what: &'static str, addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.map_err(|e| Error::Listen(what, addr, e))
}
