//! The accept loop. It limits connections and request heads, and on shutdown it closes connections
//! between requests.

use super::guard::{BoundedStream, Phase};
use super::Shared;
use async_h1::server::{ConnectionStatus, Server};
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{select, Either};
use http_types::{Request, Response};
use request_body::BodyState;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Bytes that a request may have in addition to its body, for its head and the framing of chunks.
const MAX_HEAD_BYTES: u64 = 64 << 10;
/// Response to a head that is too large or not HTTP/1.1.
const BAD_REQUEST: &str = "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\n\
    connection: close\r\ncontent-length: 66\r\n\r\n\
    {\"kind\":\"bad-input\",\"message\":\"the head is no HTTP/1.1 request\"}\r\n";
/// Response to a connection beyond `limits.connections`.
const TOO_MANY_CONNECTIONS: &str = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    ebonywalk-outcome: not-run\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Counts a connection as open until dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections until `shutdown.accept` is cancelled.
pub(crate) fn spawn(listener: TcpListener, app: tide::Server<Arc<Shared>>, shared: Arc<Shared>) {
    task::spawn(async move {
        let open = Arc::new(AtomicUsize::new(0));
        let stop = shared.shutdown.accept.clone();
        loop {
            let accepted = match select(pin!(stop.cancelled()), pin!(listener.accept())).await {
                Either::Left(_) => return,
                Either::Right((accepted, _)) => accepted,
            };
            let Ok((stream, _)) = accepted else {
                task::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let before = open.fetch_add(1, Ordering::Relaxed);
            let guard = ConnectionGuard(open.clone());
            if before >= shared.settings.limits.connections {
                task::spawn(reject(stream, guard));
                continue;
            }
            task::spawn(serve(stream, app.clone(), shared.clone(), guard));
        }
    });
}

async fn reject(mut stream: TcpStream, _guard: ConnectionGuard) {
    let _ = stream.write_all(TOO_MANY_CONNECTIONS.as_bytes()).await;
}

/// Serves the requests of one connection in sequence.
async fn serve(
    stream: TcpStream,
    app: tide::Server<Arc<Shared>>,
    shared: Arc<Shared>,
    _guard: ConnectionGuard,
) {
    let _ = stream.set_nodelay(true);
    let limits = &shared.settings.limits;
    let bounded = BoundedStream::new(stream.clone());
    while has_request(&stream, &shared).await {
        bounded.allow(limits.body + MAX_HEAD_BYTES);
        let phase = Phase::default();
        let endpoint = |req: Request| answer(req, app.clone(), shared.clone(), phase.clone());
        let mut server = Server::new(bounded.clone(), endpoint);
        let served = pin!(server.accept_one());
        let timed_out = pin!(phase.timed_out(limits.read_timeout));
        match select(served, timed_out).await {
            Either::Left((Ok(ConnectionStatus::KeepAlive), _)) => {}
            Either::Left((Err(e), _)) if phase.is_reading_head() => {
                log::debug!("request head can't be read: {e}");
                let _ = (&stream).write_all(BAD_REQUEST.as_bytes()).await;
                return;
            }
            _ => return,
        }
    }
}

async fn answer(
    req: Request,
    app: tide::Server<Arc<Shared>>,
    shared: Arc<Shared>,
    phase: Phase,
) -> http_types::Result<Response> {
    phase.start_handling();
    let mut req = req;
    let body = BodyState::attach(&mut req);
    let mut res: Response = app.respond(req).await?;
    body.close_if_unread(&mut res);
    phase.start_writing();
    if shared.shutdown.drain.is_cancelled() {
        res.insert_header("connection", "close");
    }
    Ok(res)
}

/// Waits for the first byte of a request. Returns false if the connection was closed or the process
/// accepts no more requests.
async fn has_request(stream: &TcpStream, shared: &Shared) -> bool {
    let mut buf = [0; 1];
    let first_byte = pin!(stream.peek(&mut buf));
    let stop = &shared.shutdown.accept;
    match select(first_byte, pin!(stop.cancelled())).await {
        Either::Left((peeked, _)) => matches!(peeked, Ok(n) if n > 0),
        Either::Right(_) => false,
    }
}
