//! The HTTP interface for callers, whose requests are forwarded to upstreams.

use super::{body, reply, Shared};
use crate::burn::SloResult;
use crate::exchanges::Exchange;
use crate::upstreams::{is_hop_by_hop, UpstreamResponse};
use client::OutgoingRequest;
use host::{parse_class, Input, Output, ServiceRequest};
use http_server::HeadCheck;
use routing::{AttemptResult, Class, Outcome};
use state::StoredAnswer;
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response, StatusCode};
use types::{ExchangeId, Refusal, RefusalKind, Timestamp};

const KEY_HEADER: &str = "idempotency-key";
const TIMEOUT_HEADER: &str = "ebonywalk-timeout";
const CLASS_HEADER: &str = "ebonywalk-class";
pub(super) const OUTCOME_HEADER: &str = "ebonywalk-outcome";
const UPSTREAM_HEADER: &str = "ebonywalk-upstream";

/// Headers for the entry host that are not forwarded. `host` is set to the upstream's address.
const OWN_HEADERS: [&str; 4] = ["host", TIMEOUT_HEADER, CLASS_HEADER, "expect"];

pub(crate) fn app(shared: Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let mut app = tide::with_state(shared);
    app.at("/").all(handle);
    app.at("/*").all(handle);
    app
}

async fn handle(mut req: Request<Arc<Shared>>) -> tide::Result {
    let shared = req.state().clone();
    let started = shared.clock.now();
    let (service, outgoing, request) = match prepare(&mut req).await {
        Ok(prepared) => prepared,
        Err(e) => return Ok(with_outcome(reply::refusal(&e), Outcome::NotRun)),
    };
    let mut exchange = shared.handle.request(request);
    let completion = run_exchange(&shared, &mut exchange, &outgoing).await;
    let latency = shared.clock.now().saturating_sub(started);
    record(&shared, &service, &completion, latency);
    log::debug!(
        request = exchange.id,
        service = service.as_str(),
        outcome = completion.outcome().as_str(),
        millis = latency.as_millis() as u64;
        "request ended"
    );
    Ok(respond(completion))
}

/// Result of a caller's request.
enum Completion {
    /// Response of an upstream, and the upstream's address.
    Answered(UpstreamResponse, String),
    /// Answer stored under the idempotency key.
    Replayed(StoredAnswer),
    /// No answer; the outcome says whether the request may have run.
    GivenUp(Outcome, Refusal),
}

impl Completion {
    fn outcome(&self) -> Outcome {
        match self {
            Completion::Answered(..) | Completion::Replayed(_) => Outcome::Ran,
            Completion::GivenUp(outcome, _) => *outcome,
        }
    }
}

/// Carries out the engine's outputs for the request until it has ended.
async fn run_exchange(
    shared: &Shared,
    exchange: &mut Exchange,
    outgoing: &OutgoingRequest,
) -> Completion {
    let mut last: Option<(UpstreamResponse, String)> = None;
    while let Some(output) = exchange.next().await {
        match output {
            Output::Forward { attempt, upstream, until, keep_answer, idle_connections, .. } => {
                let limit = shared.clock.until(until);
                let mut open = OpenAttempt { shared, exchange: exchange.id, attempt, ended: false };
                let sent = shared.upstreams.send(&upstream, outgoing, limit, idle_connections);
                let (result, response) = sent.await;
                let answer = response.as_ref().filter(|_| keep_answer).map(to_stored);
                last = response.map(|response| (response, upstream));
                open.end(result, answer);
            }
            Output::Deliver(_) => {
                if let Some((response, upstream)) = last.take() {
                    exchange.finish();
                    return Completion::Answered(response, upstream);
                }
            }
            Output::Replay(_, answer) => {
                exchange.finish();
                return Completion::Replayed(answer);
            }
            Output::GiveUp { outcome, refusal, .. } => {
                exchange.finish();
                return Completion::GivenUp(outcome, refusal);
            }
            _ => {}
        }
    }
    let refusal = Refusal::new(RefusalKind::Unknown, "this entry host stopped");
    Completion::GivenUp(Outcome::Unknown, refusal)
}

/// An attempt in flight. If dropped early, it is reported as lost, because the router keeps the
/// attempt's slot in use until its end is reported.
struct OpenAttempt<'a> {
    shared: &'a Shared,
    exchange: ExchangeId,
    attempt: u32,
    ended: bool,
}

impl OpenAttempt<'_> {
    fn end(&mut self, result: AttemptResult, answer: Option<StoredAnswer>) {
        self.ended = true;
        let (exchange, attempt) = (self.exchange, self.attempt);
        self.shared.handle.send(Input::AttemptEnded { exchange, attempt, result, answer });
    }
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(AttemptResult::Lost, None);
        }
    }
}

fn to_stored(response: &UpstreamResponse) -> StoredAnswer {
    let content_type = response.headers.iter().find(|(name, _)| name == "content-type");
    StoredAnswer {
        status: response.status.into(),
        content_type: content_type.map(|(_, value)| value.clone()).unwrap_or_default(),
        body: response.body.clone(),
    }
}

/// What the head of a request says.
struct RequestHead {
    service: String,
    /// Path to forward.
    path: String,
    class: Class,
    timeout: Option<Duration>,
}

impl RequestHead {
    fn parse(req: &http_types::Request) -> Result<RequestHead, Refusal> {
        let bad = |cause: String| Refusal::new(RefusalKind::BadInput, cause);
        let (service, path) = service_and_path(req).map_err(bad)?;
        let class = parse_class(header(req, CLASS_HEADER).as_deref()).map_err(bad)?;
        let timeout = parse_timeout(header(req, TIMEOUT_HEADER)).map_err(bad)?;
        Ok(RequestHead { service, path, class, timeout })
    }
}

/// Refuses requests whose head is invalid before their bodies are received.
pub(super) fn check() -> HeadCheck {
    Arc::new(|req| {
        let e = RequestHead::parse(req).err()?;
        Some(with_outcome(reply::refusal(&e), Outcome::NotRun).into())
    })
}

/// Parses a request into its service, the request to forward, and the input to the engine.
async fn prepare(
    req: &mut Request<Arc<Shared>>,
) -> Result<(String, OutgoingRequest, ServiceRequest), Refusal> {
    let RequestHead { service, path, class, timeout } = RequestHead::parse(req.as_ref())?;
    let key = header(req.as_ref(), KEY_HEADER);
    let method = req.method();
    let body = body::read(req).await?;
    let path_and_query = match req.url().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let outgoing =
        OutgoingRequest { method, path: path_and_query, headers: forwarded_headers(req), body };
    let request = ServiceRequest {
        service: service.clone(),
        class,
        timeout,
        is_safe: method.is_safe(),
        digest: if key.is_some() { digest(&outgoing) } else { String::new() },
        key,
    };
    Ok((service, outgoing, request))
}

fn header(req: &http_types::Request, name: &str) -> Option<String> {
    req.header(name).map(|values| values.last().as_str().to_string())
}

/// Returns the service and the path to forward. The service is the first label of a host name such
/// as `lead-desk.example`; if the host is an address or has no dot, it is the path's first segment.
fn service_and_path(req: &http_types::Request) -> Result<(String, String), String> {
    let host = header(req, "host").unwrap_or_default();
    let name = host.split(':').next().unwrap_or_default();
    let is_name = name.contains('.') && name.parse::<std::net::IpAddr>().is_err();
    let path = req.url().path();
    if is_name {
        let label = name.split('.').next().unwrap_or_default();
        return Ok((label.to_ascii_lowercase(), path.to_string()));
    }
    let rest = path.trim_start_matches('/');
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err("path: names no service; use /SERVICE/... or a host name".to_string());
    }
    Ok((service.to_string(), format!("/{rest}")))
}

fn parse_timeout(text: Option<String>) -> Result<Option<Duration>, String> {
    let Some(text) = text else { return Ok(None) };
    match humantime::parse_duration(&text) {
        Ok(timeout) if !timeout.is_zero() => Ok(Some(timeout)),
        _ => Err(format!("{TIMEOUT_HEADER}: `{text}` is not a time such as 500ms")),
    }
}

fn forwarded_headers(req: &Request<Arc<Shared>>) -> Vec<(String, String)> {
    let sent = |name: &str| !is_hop_by_hop(name) && !OWN_HEADERS.contains(&name);
    let pairs = req.iter().filter(|(name, _)| sent(name.as_str()));
    pairs
        .flat_map(|(name, values)| {
            values.iter().map(|value| (name.as_str().to_string(), value.as_str().to_string()))
        })
        .collect()
}

/// Hashes method, path, query and body. All requests with one idempotency key must have the same
/// digest.
fn digest(outgoing: &OutgoingRequest) -> String {
    let mut bytes = format!("{} {}\n", outgoing.method, outgoing.path).into_bytes();
    bytes.extend_from_slice(&outgoing.body);
    settings::sha256_hex(&bytes)
}

fn respond(completion: Completion) -> Response {
    match completion {
        Completion::Answered(response, upstream) => {
            let mut res = Response::new(response.status);
            for (name, value) in &response.headers {
                res.append_header(name.as_str(), value.as_str());
            }
            res.insert_header(UPSTREAM_HEADER, upstream);
            res.set_body(response.body);
            set_content_type(&mut res, &response.headers);
            with_outcome(res, Outcome::Ran)
        }
        Completion::Replayed(answer) => {
            let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
            let mut res = Response::new(status);
            res.set_body(answer.body);
            if !answer.content_type.is_empty() {
                res.insert_header("content-type", answer.content_type);
            }
            res.insert_header("ebonywalk-replayed", "true");
            with_outcome(res, Outcome::Ran)
        }
        Completion::GivenUp(outcome, refusal) => with_outcome(reply::refusal(&refusal), outcome),
    }
}

/// Restores the upstream's content type, which `set_body` overwrites.
fn set_content_type(res: &mut Response, headers: &[(String, String)]) {
    if let Some((name, value)) = headers.iter().find(|(name, _)| name == "content-type") {
        res.insert_header(name.as_str(), value.as_str());
    }
}

fn with_outcome(mut res: Response, outcome: Outcome) -> Response {
    res.insert_header(OUTCOME_HEADER, outcome.as_str());
    res
}

/// Counts a request in the metrics and in its service's burn.
fn record(shared: &Shared, service: &str, completion: &Completion, latency: Duration) {
    let result = match completion {
        // Unknown services are not counted: no service failed, and a caller can send any name.
        Completion::GivenUp(_, refusal) if refusal.kind == RefusalKind::NotFound => return,
        Completion::Answered(response, _) if response.status.is_server_error() => SloResult::Failed,
        Completion::Answered(..) | Completion::Replayed(_) => SloResult::Good,
        Completion::GivenUp(Outcome::Ran, _) => SloResult::Failed,
        Completion::GivenUp(Outcome::NotRun, _) => SloResult::NotRun,
        Completion::GivenUp(Outcome::Unknown, _) => SloResult::Unknown,
    };
    shared.metrics.observe_request(service, completion.outcome().as_str(), latency);
    let result = match result {
        SloResult::Good if is_slow(shared, service, latency) => SloResult::Slow,
        other => other,
    };
    let now: Timestamp = shared.clock.now();
    shared.burn.record(service, result, now);
}

fn is_slow(shared: &Shared, service: &str, latency: Duration) -> bool {
    let stats = shared.stats.lock().expect("lock is not poisoned");
    let objective = stats.objectives.iter().find(|(name, _)| name == service);
    objective.is_some_and(|(_, limit)| latency > *limit)
}
