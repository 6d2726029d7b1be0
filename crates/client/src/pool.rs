//! HTTP exchanges over pooled connections.
//!
//! A connection carries one exchange at a time and is reused only after a complete response. After
//! anything else it is closed, so that a late response can't be taken for that of another request.

use crate::Reply;
use async_lock::{Semaphore, SemaphoreGuardArc};
use async_std::future::timeout;
use async_std::io::{self, ReadExt};
use async_std::net::TcpStream;
use futures::FutureExt;
use http_types::headers::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use quick_error::quick_error;
use std::net::Shutdown;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use types::SortedMap;

/// Longest time to open a connection; shorter if the exchange's own limit is.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Why an exchange brought no response.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// The server's host refused the connection: no process listens there.
        Refused(cause: String) {
            display("refused: {}", cause)
        }
        /// No byte of the request was sent.
        NotSent(cause: String) {
            display("not sent: {}", cause)
        }
        /// The request may have arrived, but no complete response was received. Also says how long
        /// the connection had been open by then.
        Lost(cause: String, connected_for: Duration) {
            display("no complete answer: {}", cause)
        }
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers as name and value; the client adds `host` and `content-length`.
    pub headers: Vec<(String, String)>,
    /// Body; may be empty.
    pub body: Vec<u8>,
}

/// What a connection leads to, as its user has found out over it.
pub type Label = u64;

/// Connections to any number of servers, by `ip:port`: those that are idle, and how many a server may
/// be sent requests on in turn.
pub struct Pool {
    servers: Mutex<SortedMap<String, Server>>,
    max_body: u64,
}

/// What is kept for one server.
#[derive(Default)]
struct Server {
    idle: Vec<Connection>,
    /// Made by the first request that takes a turn.
    turns: Option<Arc<Semaphore>>,
}

/// A connection that carries no exchange. It is closed when dropped.
pub struct Connection {
    stream: TcpStream,
    addr: String,
    opened: Instant,
    /// How long it took to open the connection.
    connecting: Duration,
    label: Option<Label>,
    max_body: u64,
}

impl Pool {
    /// Creates a pool that accepts responses with bodies of at most `max_body` bytes.
    pub fn new(max_body: u64) -> Pool {
        Pool { servers: Mutex::default(), max_body }
    }

    /// Sends a request and reads the response. `limit` applies to connecting and to the exchange
    /// itself. The connection is kept if fewer than `max_idle` to this server are idle.
    pub async fn exchange(
        &self,
        addr: &str,
        outgoing: &OutgoingRequest,
        limit: Duration,
        max_idle: usize,
    ) -> Result<Reply, ExchangeError> {
        let connection = match self.take(addr, None) {
            Some(idle) => idle,
            None => self.connect(addr, limit).await?,
        };
        let (reply, connection) = connection.exchange(outgoing, limit).await?;
        if let Some(connection) = connection {
            self.put_back(connection, max_idle);
        }
        Ok(reply)
    }

    /// Closes the idle connections to servers for which `f` returns false.
    pub fn retain<F>(&self, f: F)
    where
        F: Fn(&str) -> bool,
    {
        self.lock().retain(|addr, _| f(addr));
    }

    /// Waits for one of the `turns` of a server. Requests that take turns use at most so many of its
    /// connections at a time.
    pub async fn turn(&self, addr: &str, turns: usize) -> SemaphoreGuardArc {
        let semaphore = {
            let mut servers = self.lock();
            let server = servers.get_or_insert_with(addr.to_string(), Server::default);
            server.turns.get_or_insert_with(|| Arc::new(Semaphore::new(turns))).clone()
        };
        semaphore.acquire_arc().await
    }

    /// Takes an idle connection that is still open: one with this label if there is one, otherwise
    /// one without a label. Those with another label are closed. Without `label` it is the one that
    /// was used last.
    pub fn take(&self, addr: &str, label: Option<Label>) -> Option<Connection> {
        loop {
            let idle = {
                let mut servers = self.lock();
                let idle = &mut servers.get_mut(addr)?.idle;
                if label.is_some() {
                    idle.retain(|c| c.label.is_none() || c.label == label);
                }
                let best = idle.iter().rposition(|c| label.is_some() && c.label == label);
                match best {
                    Some(i) => idle.remove(i),
                    None => idle.pop()?,
                }
            };
            if is_reusable(&idle.stream) {
                return Some(idle);
            }
        }
    }

    /// Opens a connection within `limit`, or a second if that is shorter.
    pub async fn connect(&self, addr: &str, limit: Duration) -> Result<Connection, ExchangeError> {
        let limit = limit.min(CONNECT_TIMEOUT);
        let began = Instant::now();
        let connected = timeout(limit, TcpStream::connect(addr)).await;
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = connected.and_then(|stream| stream.set_nodelay(true).map(|()| stream));
        let stream = stream.map_err(|e| match e.kind() {
            io::ErrorKind::ConnectionRefused => ExchangeError::Refused(e.to_string()),
            _ => ExchangeError::NotSent(e.to_string()),
        })?;
        let (addr, opened) = (addr.to_string(), Instant::now());
        let connecting = opened - began;
        Ok(Connection { stream, addr, opened, connecting, label: None, max_body: self.max_body })
    }

    /// Keeps a connection for later requests. If `max_idle` to its server are idle, closes the one
    /// that has been idle longest.
    pub fn put_back(&self, connection: Connection, max_idle: usize) {
        let mut servers = self.lock();
        let server = servers.get_or_insert_with(connection.addr.clone(), Server::default);
        server.idle.push(connection);
        let excess = server.idle.len().saturating_sub(max_idle);
        server.idle.drain(..excess);
    }

    fn lock(&self) -> MutexGuard<'_, SortedMap<String, Server>> {
        self.servers.lock().expect("lock is not poisoned")
    }
}

impl Connection {
    /// What the connection leads to, if that is known.
    pub fn label(&self) -> Option<Label> {
        self.label
    }

    /// How long it took to open the connection, which is a round trip.
    pub fn connecting(&self) -> Duration {
        self.connecting
    }

    /// Sets what the connection leads to.
    pub fn set_label(&mut self, label: Label) {
        self.label = Some(label);
    }

    /// Sends a request and reads the response within `limit`. Also returns the connection if it can
    /// carry another exchange.
    pub async fn exchange(
        self,
        outgoing: &OutgoingRequest,
        limit: Duration,
    ) -> Result<(Reply, Option<Connection>), ExchangeError> {
        let outcome = timeout(limit, self.send_and_receive(outgoing)).await;
        match outcome {
            Ok(Ok((reply, reusable))) => Ok((reply, reusable.then_some(self))),
            Ok(Err(e)) => Err(ExchangeError::Lost(e.to_string(), self.opened.elapsed())),
            Err(_) => Err(ExchangeError::Lost("timed out".to_string(), self.opened.elapsed())),
        }
    }

    /// Sends the request and reads the complete response. Also returns whether the connection can
    /// be reused.
    async fn send_and_receive(
        &self,
        outgoing: &OutgoingRequest,
    ) -> http_types::Result<(Reply, bool)> {
        let url = format!("http://{}{}", self.addr, outgoing.path);
        let mut req = Request::new(outgoing.method, Url::parse(&url)?);
        for (name, value) in &outgoing.headers {
            req.append_header(name.as_str(), value.as_str());
        }
        req.set_body(Body::from_bytes(outgoing.body.clone()));
        let mut res = async_h1::connect(self.stream.clone(), req).await?;
        let body = self.read_body(&mut res, outgoing.method).await?;
        let closes = res
            .header(CONNECTION)
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        let headers = res.iter().flat_map(|(name, values)| {
            values.iter().map(|v| (name.as_str().to_string(), v.as_str().to_string()))
        });
        let reply = Reply { status: res.status().into(), headers: headers.collect(), body };
        Ok((reply, !closes))
    }

    /// Reads the body. Fails if it is larger than `max_body`, if its length differs from
    /// `Content-Length`, or if the response announces no length, since a broken connection would
    /// then look like the end of the body.
    async fn read_body(&self, res: &mut Response, method: Method) -> http_types::Result<Vec<u8>> {
        let content_length: Option<u64> = match res.header(CONTENT_LENGTH) {
            Some(value) => Some(value.as_str().parse()?),
            None => None,
        };
        let no_body = method == Method::Head
            || matches!(res.status(), StatusCode::NoContent | StatusCode::NotModified);
        if no_body {
            return Ok(Vec::new());
        }
        if content_length.is_none() && res.header(TRANSFER_ENCODING).is_none() {
            http_types::bail!("the answer has no length, so a truncated body would go unnoticed");
        }
        if content_length.is_some_and(|length| length > self.max_body) {
            http_types::bail!("the answer's body is too large");
        }
        let mut body = Vec::new();
        res.take_body().into_reader().take(self.max_body + 1).read_to_end(&mut body).await?;
        if body.len() as u64 > self.max_body {
            http_types::bail!("the answer's body is too large");
        }
        if content_length.is_some_and(|length| length != body.len() as u64) {
            http_types::bail!("the answer is shorter than its content-length");
        }
        Ok(body)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // An error means that the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Returns whether an idle connection can be reused. A connection with something to read was closed
/// by the server or holds bytes that belong to no request.
fn is_reusable(stream: &TcpStream) -> bool {
    let mut buf = [0; 1];
    stream.peek(&mut buf).now_or_never().is_none()
}
