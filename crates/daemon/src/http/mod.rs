//! The HTTP interfaces for callers, for workers and upstreams, and for operators.

mod body;
mod callers;
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
use connections::Connections;
use http_server::{Handler, Limits, ServerBuilder, Shutdown};
use http_types::{Response, StatusCode};
use rustix::process::{getrlimit, Resource};
use settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;

/// Part of the process's descriptors that connections on one address may take, as a divisor. The
/// rest of three such parts is for other hosts, upstreams, disk and logs.
const DESCRIPTOR_DIVISOR: u64 = 4;

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
    pub(crate) connections: Arc<Connections>,
}

impl Shared {
    /// Number of requests open in the host, as last published.
    pub(crate) fn open_requests(&self) -> usize {
        self.stats.lock().expect("lock is not poisoned").open_requests
    }
}

/// Binds all HTTP addresses and starts to accept connections.
pub(crate) fn listen(shared: &Arc<Shared>) -> Result<(), Error> {
    let listen = &shared.settings.listen;
    let callers = bind("callers", listen.callers)?;
    let platform = bind("platform", listen.platform)?;
    let operators = bind("operators", listen.operators)?;
    server(callers::app(shared.clone()), shared).check(callers::check()).spawn(callers);
    server(platform::app(shared.clone()), shared).spawn(platform);
    server(operators::app(shared.clone()), shared).check(operators::check(shared)).spawn(operators);
    Ok(())
}

fn bind(what: &'static str, addr: SocketAddr) -> Result<TcpListener, Error> {
    http_server::listen(addr).map_err(|e| Error::Listen(what, addr, e))
}

fn server(app: tide::Server<Arc<Shared>>, shared: &Arc<Shared>) -> ServerBuilder {
    let handler: Handler = Arc::new(move |req| {
        let app = app.clone();
        Box::pin(async move {
            let answered: Result<Response, _> = app.respond(req).await;
            answered.unwrap_or_else(|e| {
                log::error!("request handler failed: {e}");
                Response::new(StatusCode::InternalServerError)
            })
        })
    });
    let (limits, stop) = (limits(shared), &shared.shutdown);
    ServerBuilder::new(&shared.connections, handler)
        .limits(move || limits)
        .refusal(Arc::new(|e| reply::not_received(e).into()))
        .max_connections(max_connections(shared))
        .shutdown(&Shutdown::new(&stop.accept, &stop.accept, &stop.drain))
}

fn limits(shared: &Shared) -> Limits {
    let limits = &shared.settings.limits;
    Limits {
        head_bytes: usize::try_from(limits.head).unwrap_or(usize::MAX),
        body_bytes: limits.body,
        head_timeout: limits.read_timeout,
        stall_timeout: limits.read_timeout,
        idle_timeout: limits.idle_timeout,
    }
}

/// Maximum number of connections on one address, so that the process keeps descriptors for the rest.
fn max_connections(shared: &Shared) -> usize {
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let share = usize::try_from(descriptors / DESCRIPTOR_DIVISOR).unwrap_or(usize::MAX);
    shared.settings.limits.connections.min(share)
}
