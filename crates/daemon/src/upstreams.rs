//! Sends requests to upstreams over pooled connections.

use client::{ExchangeError, OutgoingRequest, Pool, Reply};
use http_types::StatusCode;
use routing::AttemptResult;
use std::time::Duration;
use types::UpstreamId;

/// Header with which an upstream reports, by the value `no`, that it did not start a request.
const STARTED_HEADER: &str = "ebonywalk-started";

/// A complete response of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Returns whether a header, in lower case, is a hop-by-hop header.
pub(crate) fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name)
}

/// Connection pool for upstreams.
pub(crate) struct Upstreams {
    pool: Pool,
}

impl Upstreams {
    pub(crate) fn new(max_body: u64) -> Upstreams {
        Upstreams { pool: Pool::new(max_body) }
    }

    /// Makes one attempt. The response is returned if the upstream handled the request.
    pub(crate) async fn send(
        &self,
        upstream: &UpstreamId,
        outgoing: &OutgoingRequest,
        timeout: Duration,
        max_idle: u32,
    ) -> (AttemptResult, Option<UpstreamResponse>) {
        match self.pool.exchange(upstream, outgoing, timeout, max_idle as usize).await {
            Ok(reply) => match to_response(reply) {
                Some(response) => classify(response),
                None => (AttemptResult::Lost, None),
            },
            Err(ExchangeError::NotSent(cause) | ExchangeError::Refused(cause)) => {
                log::debug!(upstream = upstream.as_str(); "request not sent: {cause}");
                (AttemptResult::NotSent, None)
            }
            Err(ExchangeError::Lost(cause, _)) => {
                log::warn!(upstream = upstream.as_str(); "no complete answer: {cause}");
                (AttemptResult::Lost, None)
            }
        }
    }
}

/// Removes the hop-by-hop headers. Returns `None` if the status is not a valid HTTP status.
fn to_response(reply: Reply) -> Option<UpstreamResponse> {
    let Reply { status, mut headers, body } = reply;
    headers.retain(|(name, _)| !is_hop_by_hop(name));
    Some(UpstreamResponse { status: StatusCode::try_from(status).ok()?, headers, body })
}

fn classify(response: UpstreamResponse) -> (AttemptResult, Option<UpstreamResponse>) {
    let not_started = response.status == StatusCode::ServiceUnavailable
        && response.headers.iter().any(|(n, v)| n == STARTED_HEADER && v == "no");
    if not_started {
        return (AttemptResult::Refused, None);
    }
    let good = !response.status.is_server_error();
    (AttemptResult::Answered { good }, Some(response))
}
