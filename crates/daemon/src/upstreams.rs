//! Sending requests to upstreams, over connections that are kept.
//!
//! A connection carries one exchange at a time and is used again only after a whole answer.
//! Anything else closes it, so that a late answer can't reach another caller.

use async_std::future::timeout;
use async_std::io::{self, ReadExt};
use async_std::net::TcpStream;
use futures::FutureExt;
use http_types::headers::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Body, Method, Request, Response, StatusCode};
use routing::AttemptResult;
use std::net::Shutdown;
use std::sync::Mutex;
use std::time::Duration;
use types::{SortedMap, UpstreamId};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// With this header and value an upstream says that it did not start the request.
const STARTED_HEADER: &str = "ebonywalk-started";

/// A request as it is sent, once for each attempt.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// Headers that belong to one connection and are not handed on.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

pub(crate) fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.contains(&name)
}

/// Connections to upstreams that are idle.
pub(crate) struct Upstreams {
    idle: Mutex<SortedMap<UpstreamId, Vec<TcpStream>>>,
    max_body: u64,
}

impl Upstreams {
    pub(crate) fn new(max_body: u64) -> Upstreams {
        Upstreams { idle: Mutex::default(), max_body }
    }

    /// Makes one attempt.
    pub(crate) async fn send(
        &self,
        upstream: &UpstreamId,
        outgoing: &Outgoing,
        limit: Duration,
        max_idle: u32,
    ) -> (AttemptResult, Option<Incoming>) {
        let stream = match self.connection(upstream, limit).await {
            Ok(stream) => stream,
            Err(e) => {
                log::debug!(upstream = upstream.as_str(); "not reached: {e}");
                return (AttemptResult::NotSent, None);
            }
        };
        // From here on the request may have arrived.
        let guard = CloseOnDrop(Some(stream.clone()));
        let exchanged = timeout(limit, self.exchange(stream, upstream, outgoing)).await;
        match exchanged {
            Ok(Ok((incoming, reusable))) => {
                if reusable {
                    self.keep(upstream, guard, max_idle);
                }
                classify(incoming)
            }
            Ok(Err(e)) => {
                log::debug!(upstream = upstream.as_str(); "no whole answer: {e}");
                (AttemptResult::Lost, None)
            }
            Err(_) => (AttemptResult::Lost, None),
        }
    }

    /// An idle connection that is still open, or a new one.
    async fn connection(&self, upstream: &UpstreamId, limit: Duration) -> io::Result<TcpStream> {
        while let Some(stream) = self.take_idle(upstream) {
            if is_open(&stream) {
                return Ok(stream);
            }
        }
        let limit = limit.min(CONNECT_TIMEOUT);
        let connecting = timeout(limit, TcpStream::connect(upstream.as_str())).await;
        let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn take_idle(&self, upstream: &UpstreamId) -> Option<TcpStream> {
        self.idle.lock().expect("no one panics with the lock").get_mut(upstream)?.pop()
    }

    fn keep(&self, upstream: &UpstreamId, mut guard: CloseOnDrop, max_idle: u32) {
        let mut idle = self.idle.lock().expect("no one panics with the lock");
        let kept = idle.get_or_insert_with(upstream.clone(), Vec::new);
        if kept.len() < max_idle as usize {
            kept.extend(guard.0.take());
        }
    }

    /// Sends the request and reads the whole answer. True when the connection can be used again.
    async fn exchange(
        &self,
        stream: TcpStream,
        upstream: &UpstreamId,
        outgoing: &Outgoing,
    ) -> http_types::Result<(Incoming, bool)> {
        let url = format!("http://{upstream}{}", outgoing.path_and_query);
        let mut req = Request::new(outgoing.method, http_types::Url::parse(&url)?);
        for (name, value) in &outgoing.headers {
            req.append_header(name.as_str(), value.as_str());
        }
        req.set_body(Body::from_bytes(outgoing.body.clone()));
        let mut res = async_h1::connect(stream, req).await?;
        let body = self.read_body(&mut res, outgoing.method).await?;
        let closes = res
            .header(CONNECTION)
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        let headers = res
            .iter()
            .filter(|(name, _)| !is_hop_header(name.as_str()))
            .flat_map(|(name, values)| {
                values.iter().map(|v| (name.as_str().to_string(), v.as_str().to_string()))
            })
            .collect();
        Ok((Incoming { status: res.status(), headers, body }, !closes))
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
            http_types::bail!("the answer is larger than limits.body");
        }
        let mut body = Vec::new();
        res.take_body().into_reader().take(self.max_body + 1).read_to_end(&mut body).await?;
        if body.len() as u64 > self.max_body {
            http_types::bail!("the answer is larger than limits.body");
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
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// An idle connection has nothing to read; anything else means that it is closed or out of step.
fn is_open(stream: &TcpStream) -> bool {
    let mut buf = [0; 1];
    stream.peek(&mut buf).now_or_never().is_none()
}

fn classify(incoming: Incoming) -> (AttemptResult, Option<Incoming>) {
    let not_started = incoming.status == StatusCode::ServiceUnavailable
        && incoming.headers.iter().any(|(n, v)| n == STARTED_HEADER && v == "no");
    if not_started {
        return (AttemptResult::Refused, None);
    }
    let good = !incoming.status.is_server_error();
    (AttemptResult::Answered { good }, Some(incoming))
}
