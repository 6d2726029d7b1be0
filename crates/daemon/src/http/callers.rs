//! Callers' requests, handed to upstreams.

use super::{body, reply, Shared};
use crate::burn::Verdict;
use crate::exchanges::Exchange;
use crate::upstreams::{is_hop_header, Incoming};
use client::Outgoing;
use host::{parse_class, Input, Output, ServiceRequest};
use routing::{AttemptResult, Outcome};
use state::StoredAnswer;
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response, StatusCode};
use types::{ExchangeId, Refusal, RefusalKind, Timestamp};

const KEY_HEADER: &str = "idempotency-key";
const TIMEOUT_HEADER: &str = "ebonywalk-timeout";
const CLASS_HEADER: &str = "ebonywalk-class";
const OUTCOME_HEADER: &str = "ebonywalk-outcome";
const UPSTREAM_HEADER: &str = "ebonywalk-upstream";

/// Headers that are for the entry host and not handed on. `host` is set anew for the upstream.
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
    let ended = carry(&shared, &mut exchange, &outgoing).await;
    let took = shared.clock.now().saturating_sub(started);
    note(&shared, &service, &ended, took);
    log::debug!(
        request = exchange.id,
        service = service.as_str(),
        outcome = ended.outcome().as_str(),
        millis = took.as_millis() as u64;
        "request ended"
    );
    Ok(respond(ended))
}

/// How a request ended.
enum Ended {
    Answered(Incoming, String),
    Replayed(StoredAnswer),
    GivenUp(Outcome, Refusal),
}

impl Ended {
    fn outcome(&self) -> Outcome {
        match self {
            Ended::Answered(..) | Ended::Replayed(_) => Outcome::Ran,
            Ended::GivenUp(outcome, _) => *outcome,
        }
    }
}

/// Does what the engine says until the request has ended.
async fn carry(shared: &Shared, exchange: &mut Exchange, outgoing: &Outgoing) -> Ended {
    let mut last: Option<(Incoming, String)> = None;
    while let Some(output) = exchange.next().await {
        match output {
            Output::Forward { attempt, upstream, until, keep_answer, idle_connections, .. } => {
                let limit = shared.clock.until(until);
                let mut open = OpenAttempt { shared, exchange: exchange.id, attempt, done: false };
                let sent = shared.upstreams.send(&upstream, outgoing, limit, idle_connections);
                let (result, incoming) = sent.await;
                let answer = incoming.as_ref().filter(|_| keep_answer).map(stored);
                last = incoming.map(|incoming| (incoming, upstream));
                open.end(result, answer);
            }
            Output::Deliver(_) => {
                if let Some((incoming, upstream)) = last.take() {
                    exchange.finish();
                    return Ended::Answered(incoming, upstream);
                }
            }
            Output::Replay(_, answer) => {
                exchange.finish();
                return Ended::Replayed(answer);
            }
            Output::GiveUp { outcome, refusal, .. } => {
                exchange.finish();
                return Ended::GivenUp(outcome, refusal);
            }
            _ => {}
        }
    }
    let refusal = Refusal::new(RefusalKind::Unknown, "this entry host stopped");
    Ended::GivenUp(Outcome::Unknown, refusal)
}

/// An attempt under way. However it ends, the router must hear of it, or its slot is lost.
struct OpenAttempt<'a> {
    shared: &'a Shared,
    exchange: ExchangeId,
    attempt: u32,
    done: bool,
}

impl OpenAttempt<'_> {
    fn end(&mut self, result: AttemptResult, answer: Option<StoredAnswer>) {
        self.done = true;
        let (exchange, attempt) = (self.exchange, self.attempt);
        self.shared.handle.input(Input::AttemptEnded { exchange, attempt, result, answer });
    }
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.end(AttemptResult::Lost, None);
        }
    }
}

fn stored(incoming: &Incoming) -> StoredAnswer {
    let content_type = incoming.headers.iter().find(|(name, _)| name == "content-type");
    StoredAnswer {
        status: incoming.status.into(),
        content_type: content_type.map(|(_, value)| value.clone()).unwrap_or_default(),
        body: incoming.body.clone(),
    }
}

/// Takes a request apart.
async fn prepare(
    req: &mut Request<Arc<Shared>>,
) -> Result<(String, Outgoing, ServiceRequest), Refusal> {
    let bad = |cause: String| Refusal::new(RefusalKind::BadInput, cause);
    let (service, path) = service_and_path(req).map_err(bad)?;
    let class = parse_class(header(req, CLASS_HEADER).as_deref()).map_err(bad)?;
    let timeout = parse_timeout(header(req, TIMEOUT_HEADER)).map_err(bad)?;
    let key = header(req, KEY_HEADER);
    let method = req.method();
    let body = body::read(req).await?;
    let path_and_query = match req.url().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let outgoing = Outgoing { method, path: path_and_query, headers: headers_to_send(req), body };
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

fn header(req: &Request<Arc<Shared>>, name: &str) -> Option<String> {
    req.header(name).map(|values| values.last().as_str().to_string())
}

/// The service is the first label of a host name, as in `lead-desk.example`, or else the first
/// segment of the path.
fn service_and_path(req: &Request<Arc<Shared>>) -> Result<(String, String), String> {
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

fn headers_to_send(req: &Request<Arc<Shared>>) -> Vec<(String, String)> {
    let sent = |name: &str| !is_hop_header(name) && !OWN_HEADERS.contains(&name);
    let pairs = req.iter().filter(|(name, _)| sent(name.as_str()));
    pairs
        .flat_map(|(name, values)| {
            values.iter().map(|value| (name.as_str().to_string(), value.as_str().to_string()))
        })
        .collect()
}

/// What makes a request the same request: method, path, query and body.
fn digest(outgoing: &Outgoing) -> String {
    let mut bytes = format!("{} {}\n", outgoing.method, outgoing.path).into_bytes();
    bytes.extend_from_slice(&outgoing.body);
    settings::sha256_hex(&bytes)
}

fn respond(ended: Ended) -> Response {
    match ended {
        Ended::Answered(incoming, upstream) => {
            let mut res = Response::new(incoming.status);
            for (name, value) in &incoming.headers {
                res.append_header(name.as_str(), value.as_str());
            }
            res.insert_header(UPSTREAM_HEADER, upstream);
            res.set_body(incoming.body);
            keep_content_type(&mut res, &incoming.headers);
            with_outcome(res, Outcome::Ran)
        }
        Ended::Replayed(answer) => {
            let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
            let mut res = Response::new(status);
            res.set_body(answer.body);
            if !answer.content_type.is_empty() {
                res.insert_header("content-type", answer.content_type);
            }
            res.insert_header("ebonywalk-replayed", "true");
            with_outcome(res, Outcome::Ran)
        }
        Ended::GivenUp(outcome, refusal) => with_outcome(reply::refusal(&refusal), outcome),
    }
}

/// Setting a body sets a type of its own.
fn keep_content_type(res: &mut Response, headers: &[(String, String)]) {
    if let Some((name, value)) = headers.iter().find(|(name, _)| name == "content-type") {
        res.insert_header(name.as_str(), value.as_str());
    }
}

fn with_outcome(mut res: Response, outcome: Outcome) -> Response {
    res.insert_header(OUTCOME_HEADER, outcome.as_str());
    res
}

/// Counts a request in metrics and burn.
fn note(shared: &Shared, service: &str, ended: &Ended, took: Duration) {
    let verdict = match ended {
        // What nobody serves is nobody's failure, and its name may be anything.
        Ended::GivenUp(_, refusal) if refusal.kind == RefusalKind::NotFound => return,
        Ended::Answered(incoming, _) if incoming.status.is_server_error() => Verdict::Failed,
        Ended::Answered(..) | Ended::Replayed(_) => Verdict::Good,
        Ended::GivenUp(Outcome::Ran, _) => Verdict::Failed,
        Ended::GivenUp(Outcome::NotRun, _) => Verdict::NotRun,
        Ended::GivenUp(Outcome::Unknown, _) => Verdict::Unknown,
    };
    shared.metrics.note_request(service, ended.outcome().as_str(), took);
    let verdict = match verdict {
        Verdict::Good if is_slow(shared, service, took) => Verdict::Slow,
        other => other,
    };
    let now: Timestamp = shared.clock.now();
    shared.burn.note(service, verdict, now);
}

fn is_slow(shared: &Shared, service: &str, took: Duration) -> bool {
    let stats = shared.stats.lock().expect("no one panics with the lock");
    let objective = stats.objectives.iter().find(|(name, _)| name == service);
    objective.is_some_and(|(_, limit)| took > *limit)
}
