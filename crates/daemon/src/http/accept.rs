//! The accept loop: bounded connections, bounded heads, an orderly end.

use super::guard::{BoundedStream, Phase};
use super::Shared;
use async_h1::server::{ConnectionStatus, Server};
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{select, Either};
use http_types::{Request, Response};
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Wait after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes beyond the body that a request may have: its head, and the framing of chunks.
const MAX_HEAD_BYTES: u64 = 64 << 10;
/// The answer to what is no HTTP request.
const BAD_REQUEST: &str = "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\n\
    connection: close\r\ncontent-length: 66\r\n\r\n\
    {\"kind\":\"bad-input\",\"message\":\"the head is no HTTP/1.1 request\"}\r\n";
/// The answer when there are too many connections.
const TOO_MANY: &str = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    ebonywalk-outcome: not-run\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Counts an open connection until it is dropped.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections until the process takes no more.
pub(crate) fn spawn(listener: TcpListener, app: tide::Server<Arc<Shared>>, shared: Arc<Shared>) {
    task::spawn(async move {
        let open = Arc::new(AtomicUsize::new(0));
        let stop = shared.stops.accept.clone();
        loop {
            let accepted = match select(pin!(stop.cancelled()), pin!(listener.accept())).await {
                Either::Left(_) => return,
                Either::Right((accepted, _)) => accepted,
            };
            let Ok((stream, _)) = accepted else {
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let before = open.fetch_add(1, Ordering::Relaxed);
            let slot = Slot(open.clone());
            if before >= shared.settings.limits.connections {
                task::spawn(turn_away(stream, slot));
                continue;
            }
            task::spawn(serve(stream, app.clone(), shared.clone(), slot));
        }
    });
}

async fn turn_away(mut stream: TcpStream, _slot: Slot) {
    let _ = stream.write_all(TOO_MANY.as_bytes()).await;
}

/// Serves the requests of one connection, one after another.
async fn serve(
    stream: TcpStream,
    app: tide::Server<Arc<Shared>>,
    shared: Arc<Shared>,
    _slot: Slot,
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
        let overstayed = pin!(phase.overstayed(limits.read_timeout));
        match select(served, overstayed).await {
            Either::Left((Ok(ConnectionStatus::KeepAlive), _)) => {}
            Either::Left((Err(e), _)) if phase.is_reading_head() => {
                log::debug!("a connection brings no request: {e}");
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
    phase.head_is_read();
    let mut res: Response = app.respond(req).await?;
    phase.answer_is_made();
    if shared.stops.drain.is_cancelled() {
        res.insert_header("connection", "close");
    }
    Ok(res)
}

/// Waits for the first byte of a request. False when none comes, or none is taken any more.
async fn has_request(stream: &TcpStream, shared: &Shared) -> bool {
    let mut buf = [0; 1];
    let first_byte = pin!(stream.peek(&mut buf));
    let stop = &shared.stops.accept;
    match select(first_byte, pin!(stop.cancelled())).await {
        Either::Left((peeked, _)) => matches!(peeked, Ok(n) if n > 0),
        Either::Right(_) => false,
    }
}
