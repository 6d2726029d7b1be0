//! Exchanges over connections that are kept.
//!
//! A connection carries one exchange at a time and is used again only after a whole answer.
//! Anything else closes it, so that a late answer can't reach another asker.

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
use std::time::Duration;
use types::SortedMap;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Why there is no answer.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// No byte of the request left this host.
        NotSent(cause: String) {
            display("not sent: {}", cause)
        }
        /// The request may have arrived.
        Lost(cause: String) {
            display("no whole answer: {}", cause)
        }
    }
}

/// A request as it is sent.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Idle connections to any number of servers, by `ip:port`.
pub struct Pool {
    idle: Mutex<SortedMap<String, Vec<TcpStream>>>,
    max_body: u64,
}

impl Pool {
    /// A pool whose answers may have bodies of so many bytes.
    pub fn new(max_body: u64) -> Pool {
        Pool { idle: Mutex::default(), max_body }
    }

    /// Makes one exchange within `limit`. At most `max_idle` connections to the server are kept.
    pub async fn exchange(
        &self,
        addr: &str,
        outgoing: &OutgoingRequest,
        limit: Duration,
        max_idle: usize,
    ) -> Result<Reply, ExchangeError> {
        let stream = self.connection(addr, limit).await;
        let stream = stream.map_err(|e| ExchangeError::NotSent(e.to_string()))?;
        // From here on the request may have arrived.
        let guard = CloseOnDrop(Some(stream.clone()));
        match timeout(limit, self.speak(stream, addr, outgoing)).await {
            Ok(Ok((reply, reusable))) => {
                if reusable {
                    self.keep(addr, guard, max_idle);
                }
                Ok(reply)
            }
            Ok(Err(e)) => Err(ExchangeError::Lost(e.to_string())),
            Err(_) => Err(ExchangeError::Lost("timed out".to_string())),
        }
    }

    /// Closes idle connections to servers for which `f` does not hold.
    pub fn retain<F>(&self, f: F)
    where
        F: Fn(&str) -> bool,
    {
        self.idle.lock().expect("no one panics with the lock").retain(|addr, _| f(addr));
    }

    /// An idle connection that is still open, or a new one.
    async fn connection(&self, addr: &str, limit: Duration) -> io::Result<TcpStream> {
        while let Some(stream) = self.take_idle(addr) {
            if is_open(&stream) {
                return Ok(stream);
            }
        }
        let limit = limit.min(CONNECT_TIMEOUT);
        let connecting = timeout(limit, TcpStream::connect(addr)).await;
        let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn take_idle(&self, addr: &str) -> Option<TcpStream> {
        self.idle.lock().expect("no one panics with the lock").get_mut(addr)?.pop()
    }

    fn keep(&self, addr: &str, mut guard: CloseOnDrop, max_idle: usize) {
        let mut idle = self.idle.lock().expect("no one panics with the lock");
        let kept = idle.get_or_insert_with(addr.to_string(), Vec::new);
        if kept.len() < max_idle {
            kept.extend(guard.0.take());
        }
    }

    /// Sends the request and reads the whole answer. True when the connection can be used again.
    async fn speak(
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

    /// Reads the body and checks that it is as long as was announced.
    async fn read_body(&self, res: &mut Response, method: Method) -> http_types::Result<Vec<u8>> {
        let announced: Option<u64> = match res.header(CONTENT_LENGTH) {
            Some(value) => Some(value.as_str().parse()?),
            None => None,
        };
        let no_body = method == Method::Head
            || matches!(res.status(), StatusCode::NoContent | StatusCode::NotModified);
        if no_body {
            return Ok(Vec::new());
        }
        if announced.is_none() && res.header(TRANSFER_ENCODING).is_none() {
            http_types::bail!("an answer without a length can't be told from one cut off");
        }
        if announced.is_some_and(|length| length > self.max_body) {
            http_types::bail!("the answer's body is too large");
        }
        let mut body = Vec::new();
        res.take_body().into_reader().take(self.max_body + 1).read_to_end(&mut body).await?;
        if body.len() as u64 > self.max_body {
            http_types::bail!("the answer's body is too large");
        }
        if announced.is_some_and(|length| length != body.len() as u64) {
            http_types::bail!("the answer ends early");
        }
        Ok(body)
    }
}

/// Closes a connection whose exchange did not end well.
struct CloseOnDrop(Option<TcpStream>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        if let Some(stream) = &self.0 {
            // It may be closed already, which is as well.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// An idle connection has nothing to read; anything else means that it is closed or out of step.
fn is_open(stream: &TcpStream) -> bool {
    let mut buf = [0; 1];
    stream.peek(&mut buf).now_or_never().is_none()
}
