//! Sending requests to upstreams, over connections that are kept.

use client::{ExchangeError, OutgoingRequest, Pool, Reply};
use http_types::StatusCode;
use routing::AttemptResult;
use std::time::Duration;
use types::UpstreamId;

/// With this header and value an upstream says that it did not start the request.
const STARTED_HEADER: &str = "ebonywalk-started";

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

/// Connections to upstreams.
pub(crate) struct Upstreams {
    pool: Pool,
}

impl Upstreams {
    pub(crate) fn new(max_body: u64) -> Upstreams {
        Upstreams { pool: Pool::new(max_body) }
    }

    /// Makes one attempt.
    pub(crate) async fn send(
        &self,
        upstream: &UpstreamId,
        outgoing: &OutgoingRequest,
        limit: Duration,
        max_idle: u32,
    ) -> (AttemptResult, Option<Incoming>) {
        match self.pool.exchange(upstream, outgoing, limit, max_idle as usize).await {
            Ok(reply) => match incoming(reply) {
                Some(incoming) => classify(incoming),
                None => (AttemptResult::Lost, None),
            },
            Err(e) => {
                log::debug!(upstream = upstream.as_str(); "{e}");
                match e {
                    ExchangeError::NotSent(_) => (AttemptResult::NotSent, None),
                    ExchangeError::Lost(_) => (AttemptResult::Lost, None),
                }
            }
        }
    }
}

/// The answer without the headers of its connection; `None` when its status is no HTTP status.
fn incoming(reply: Reply) -> Option<Incoming> {
    let Reply { status, mut headers, body } = reply;
    headers.retain(|(name, _)| !is_hop_header(name));
    Some(Incoming { status: StatusCode::try_from(status).ok()?, headers, body })
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
