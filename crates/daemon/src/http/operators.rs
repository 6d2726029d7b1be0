//! The HTTP interface for operators, with health checks and metrics.

use super::{body, reply, Shared};
use futures::future::BoxFuture;
use host::{Answer, Call, GroupCall, ZoneCall};
use http_server::HeadCheck;
use serde::Deserialize;
use std::sync::Arc;
use subtle::ConstantTimeEq;
use tide::{Next, Request, Response, StatusCode};
use types::{JobKey, JobSpec, Refusal, RefusalKind, ReleaseNote};

/// Paths that need no token, for load balancers and monitoring.
const OPEN_PATHS: [&str; 3] = ["/healthz", "/readyz", "/metrics"];
/// Maximum length of the id of an operator's request, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 200;

type Req = Request<Arc<Shared>>;

pub(crate) fn app(shared: Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let mut app = tide::with_state(shared);
    app.with(check_token);
    app.at("/healthz").get(|_: Req| async { Ok("ok\n") });
    app.at("/readyz").get(ready);
    app.at("/metrics").get(metrics);
    app.at("/v1/status").get(status);
    app.at("/v1/burn").get(burn);
    app.at("/v1/release").get(release).post(apply);
    app.at("/v1/release/preview").post(preview);
    app.at("/v1/jobs").get(jobs).post(submit);
    app.at("/v1/jobs/:team/:name").get(explain).delete(cancel);
    app.at("/v1/workers").get(workers);
    app.at("/v1/workers/:zone/:worker/drain").post(drain_worker);
    app.at("/v1/drain").post(drain_host);
    app
}

/// Refuses requests without the operators' token.
fn check_token<'a>(req: Req, next: Next<'a, Arc<Shared>>) -> BoxFuture<'a, tide::Result> {
    Box::pin(async move {
        match refuse_stranger(req.as_ref(), &req.state().settings.operator_token) {
            Some(refused) => Ok(refused),
            None => Ok(next.run(req).await),
        }
    })
}

/// Refuses requests without the operators' token before their bodies are received.
pub(super) fn check(shared: &Arc<Shared>) -> HeadCheck {
    let shared = shared.clone();
    Arc::new(move |req| refuse_stranger(req, &shared.settings.operator_token).map(Into::into))
}

/// Returns the refusal if a request needs a token and has another one. The comparison takes constant
/// time, so that its duration does not reveal where the tokens differ.
fn refuse_stranger(req: &http_types::Request, token: &str) -> Option<Response> {
    if OPEN_PATHS.contains(&req.url().path()) {
        return None;
    }
    let presented = req.header("authorization").map(|v| v.last().as_str()).unwrap_or_default();
    let presented = presented.strip_prefix("Bearer ").unwrap_or_default();
    if bool::from(presented.as_bytes().ct_eq(token.as_bytes())) {
        return None;
    }
    let message = "authorization: needs `Bearer` and the operator_token of the settings";
    Some(reply::refusal(&Refusal::new(RefusalKind::Forbidden, message)))
}

async fn call(req: &Req, call: Call) -> Response {
    reply::answer(req.state().handle.call(call).await)
}

async fn ready(req: Req) -> tide::Result {
    let answer = req.state().handle.call(Call::Status).await;
    Ok(match answer {
        Ok(Answer::Status(status)) if status.ready => text(StatusCode::Ok, "ready\n"),
        Ok(Answer::Status(status)) => {
            text(StatusCode::ServiceUnavailable, &format!("{}\n", status.not_ready_because))
        }
        _ => text(StatusCode::ServiceUnavailable, "stopping\n"),
    })
}

fn text(status: StatusCode, text: &str) -> Response {
    Response::builder(status).content_type("text/plain").body(text).build()
}

async fn metrics(req: Req) -> tide::Result {
    let shared = req.state();
    for service_burn in service_burns(shared).await {
        for window in &service_burn.windows {
            shared.metrics.set_burn(&service_burn.service, &window.window, window.burn_rate);
        }
    }
    shared.metrics.set_clients(&shared.connections.stats());
    let mut stats = shared.stats.lock().expect("lock is not poisoned");
    let body = shared.metrics.render(&mut stats);
    Ok(text(StatusCode::Ok, &body))
}

async fn status(req: Req) -> tide::Result {
    Ok(call(&req, Call::Status).await)
}

async fn service_burns(shared: &Shared) -> Vec<crate::ServiceBurn> {
    match shared.handle.call(Call::Release).await {
        Ok(Answer::Release(release)) => {
            shared.burn.report(release.services.values(), shared.clock.now())
        }
        _ => Vec::new(),
    }
}

async fn burn(req: Req) -> tide::Result {
    let burns = service_burns(req.state()).await;
    Ok(reply::json(StatusCode::Ok, &burns))
}

async fn release(req: Req) -> tide::Result {
    Ok(call(&req, Call::Release).await)
}

/// Body of `POST /v1/release`: a release note, and the operator's id of the request, under which a
/// resend gets the same answer.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyRelease {
    request: String,
    note: ReleaseNote,
}

async fn apply(mut req: Req) -> tide::Result {
    let parsed: Result<ApplyRelease, Refusal> = body::read_json(&mut req).await;
    let checked = parsed.and_then(|apply| {
        let bad = |cause| Refusal::new(RefusalKind::BadInput, cause);
        apply.note.check().map_err(|cause| bad(format!("note.{cause}")))?;
        if apply.request.is_empty() || apply.request.len() > MAX_REQUEST_ID_BYTES {
            return Err(bad(format!("request: must be 1 to {MAX_REQUEST_ID_BYTES} bytes")));
        }
        Ok(apply)
    });
    Ok(match checked {
        Ok(ApplyRelease { request, note }) => {
            log::info!(request = request.as_str(), base = note.base; "release note received");
            let canonical = serde_json::to_vec(&note).expect("a note serializes without error");
            let digest = settings::sha256_hex(&canonical);
            call(&req, Call::Group(GroupCall::ApplyRelease { request, note, digest })).await
        }
        Err(e) => reply::refusal(&e),
    })
}

async fn preview(mut req: Req) -> tide::Result {
    let note: Result<ReleaseNote, Refusal> = body::read_json(&mut req).await;
    Ok(match note {
        Ok(note) => call(&req, Call::Preview(note)).await,
        Err(e) => reply::refusal(&e),
    })
}

async fn submit(mut req: Req) -> tide::Result {
    let spec: Result<JobSpec, Refusal> = body::read_json(&mut req).await;
    Ok(match spec {
        Ok(spec) => {
            log::info!(job = spec.key().to_string().as_str(); "job submission received");
            call(&req, Call::Group(GroupCall::Submit(spec))).await
        }
        Err(e) => reply::refusal(&e),
    })
}

fn job_key(req: &Req) -> JobKey {
    let part = |name| req.param(name).unwrap_or_default().to_string();
    JobKey { team: part("team"), name: part("name") }
}

async fn jobs(req: Req) -> tide::Result {
    Ok(call(&req, Call::EachZone(ZoneCall::Jobs)).await)
}

async fn explain(req: Req) -> tide::Result {
    Ok(call(&req, Call::EachZone(ZoneCall::Explain(job_key(&req)))).await)
}

async fn cancel(req: Req) -> tide::Result {
    let key = job_key(&req);
    log::info!(job = key.to_string().as_str(); "job cancellation received");
    Ok(call(&req, Call::EachZone(ZoneCall::Cancel(key))).await)
}

async fn workers(req: Req) -> tide::Result {
    Ok(call(&req, Call::EachZone(ZoneCall::Workers)).await)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainWorker {
    draining: bool,
}

async fn drain_worker(mut req: Req) -> tide::Result {
    let parsed: Result<DrainWorker, Refusal> = body::read_json(&mut req).await;
    let part = |name| req.param(name).unwrap_or_default().to_string();
    let (zone, worker) = (part("zone"), part("worker"));
    Ok(match parsed {
        Ok(DrainWorker { draining }) => {
            let drain = ZoneCall::DrainWorker { worker, draining };
            call(&req, Call::Group(GroupCall::Zone(zone, drain))).await
        }
        Err(e) => reply::refusal(&e),
    })
}

/// Starts the planned stop of this entry host, as SIGTERM does.
async fn drain_host(req: Req) -> tide::Result {
    req.state().shutdown.drain.cancel();
    Ok(reply::answer(Ok(Answer::Done)))
}
