//! HTTP exchanges over pooled connections.
//!
//! A connection carries one exchange at a time and is reused only after a complete response. After
//! anything else it is closed, so that a late response can't be taken for that of another request.

use crate::Reply;
use async_std::future::timeout;
use async_std::io::{self, ReadExt};
use async_std::net::TcpStream;
use futures::FutureExt;
use http_types::headers::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use quick_error::quick_error;
use std::net::Shutdown;
use std::sync::Mutex;
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

/// Pool of idle connections to any number of servers, by `ip:port`.
pub struct Pool {
    idle: Mutex<SortedMap<String, Vec<Connection>>>,
    max_body: u64,
}

/// An open connection, and since when it is open.
#[derive(Clone)]
struct Connection {
    stream: TcpStream,
    opened: Instant,
}

impl Pool {
    /// Creates a pool that accepts responses with bodies of at most `max_body` bytes.
    pub fn new(max_body: u64) -> Pool {
        Pool { idle: Mutex::default(), max_body }
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
        let connection = self.connection(addr, limit).await;
        let connection = connection.map_err(|e| match e.kind() {
            io::ErrorKind::ConnectionRefused => ExchangeError::Refused(e.to_string()),
            _ => ExchangeError::NotSent(e.to_string()),
        })?;
        // From here on the request may have been sent.
        let guard = CloseOnDrop(Some(connection.clone()));
        let Connection { stream, opened } = connection;
        match timeout(limit, self.send_and_receive(stream, addr, outgoing)).await {
            Ok(Ok((reply, reusable))) => {
                if reusable {
                    self.put_back(addr, guard, max_idle);
                }
                Ok(reply)
            }
            Ok(Err(e)) => Err(ExchangeError::Lost(e.to_string(), opened.elapsed())),
            Err(_) => Err(ExchangeError::Lost("timed out".to_string(), opened.elapsed())),
        }
    }

    /// Closes the idle connections to servers for which `f` returns false.
    pub fn retain<F>(&self, f: F)
    where
        F: Fn(&str) -> bool,
    {
        self.idle.lock().expect("lock is not poisoned").retain(|addr, _| f(addr));
    }

    /// Returns an idle connection that is still open, or opens a new one.
    async fn connection(&self, addr: &str, limit: Duration) -> io::Result<Connection> {
        while let Some(idle) = self.take_idle(addr) {
            if is_reusable(&idle.stream) {
                return Ok(idle);
            }
        }
        let limit = limit.min(CONNECT_TIMEOUT);
        let connecting = timeout(limit, TcpStream::connect(addr)).await;
        let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, opened: Instant::now() })
    }

    fn take_idle(&self, addr: &str) -> Option<Connection> {
        self.idle.lock().expect("lock is not poisoned").get_mut(addr)?.pop()
    }

    fn put_back(&self, addr: &str, mut guard: CloseOnDrop, max_idle: usize) {
        let mut idle = self.idle.lock().expect("lock is not poisoned");
        let kept = idle.get_or_insert_with(addr.to_string(), Vec::new);
        if kept.len() < max_idle {
            kept.extend(guard.0.take());
        }
    }

    /// Sends the request and reads the complete response. Also returns whether the connection can
    /// be reused.
    async fn send_and_receive(
        &self,
        stream: TcpStream,
        addr: &str,
        outgoing: &OutgoingRequest,
    ) -> http_types::Result<(Reply, bool)> {
        let url = format!("http://{addr}{}", outgoing.path);
        let mut req = Request::new(outgoing.method, Url::parse(&url)?);
        for (name, value) in &outgoing.headers {
            req.append_header(name.as_str(), value.as_str());
        }
        req.set_body(Body::from_bytes(outgoing.body.clone()));
        let mut res = async_h1::connect(stream, req).await?;
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

/// Shuts a connection down when dropped, unless it was taken out for reuse.
struct CloseOnDrop(Option<Connection>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            // An error means that the connection is closed already.
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }
}

/// Returns whether an idle connection can be reused. A connection with something to read was closed
/// by the server or holds bytes that belong to no request.
fn is_reusable(stream: &TcpStream) -> bool {
    let mut buf = [0; 1];
    stream.peek(&mut buf).now_or_never().is_none()
}
