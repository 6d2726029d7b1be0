//! Operators, health checks and metrics.

use super::{body, reply, Shared};
use futures::future::BoxFuture;
use host::{Answer, Call, GroupCall, ZoneCall};
use serde::Deserialize;
use std::sync::Arc;
use subtle::ConstantTimeEq;
use tide::{Next, Request, Response, StatusCode};
use types::{JobKey, JobSpec, Refusal, RefusalKind, ReleaseNote};

/// Paths that a balancer or a monitor reads without a token.
const OPEN_PATHS: [&str; 3] = ["/healthz", "/readyz", "/metrics"];
/// Longest id of an operator's request, in bytes.
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

/// Lets only operators in. The comparison takes the same time wherever the tokens differ.
fn check_token<'a>(req: Req, next: Next<'a, Arc<Shared>>) -> BoxFuture<'a, tide::Result> {
    Box::pin(async move {
        if OPEN_PATHS.contains(&req.url().path()) {
            return Ok(next.run(req).await);
        }
        let given = req.header("authorization").map(|v| v.last().as_str()).unwrap_or_default();
        let given = given.strip_prefix("Bearer ").unwrap_or_default();
        let wanted = &req.state().settings.operator_token;
        if bool::from(given.as_bytes().ct_eq(wanted.as_bytes())) {
            return Ok(next.run(req).await);
        }
        let message = "authorization: needs `Bearer` and the operator_token of the settings";
        Ok(reply::refusal(&Refusal::new(RefusalKind::Forbidden, message)))
    })
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
    for line in burn_lines(shared).await {
        for window in &line.windows {
            shared.metrics.set_burn(&line.service, &window.window, window.burn_rate);
        }
    }
    let mut stats = shared.stats.lock().expect("no one panics with the lock");
    let body = shared.metrics.render(&mut stats);
    Ok(text(StatusCode::Ok, &body))
}

async fn status(req: Req) -> tide::Result {
    Ok(call(&req, Call::Status).await)
}

async fn burn_lines(shared: &Shared) -> Vec<crate::BurnLine> {
    match shared.handle.call(Call::Release).await {
        Ok(Answer::Release(release)) => {
            shared.burn.report(release.services.values(), shared.clock.now())
        }
        _ => Vec::new(),
    }
}

async fn burn(req: Req) -> tide::Result {
    let lines = burn_lines(req.state()).await;
    Ok(reply::json(StatusCode::Ok, &lines))
}

async fn release(req: Req) -> tide::Result {
    Ok(call(&req, Call::Release).await)
}

/// A release note with the operator's id for the request.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Apply {
    request: String,
    note: ReleaseNote,
}

async fn apply(mut req: Req) -> tide::Result {
    let made: Result<Apply, Refusal> = body::read_json(&mut req).await;
    let checked = made.and_then(|apply| {
        let bad = |cause| Refusal::new(RefusalKind::BadInput, cause);
        apply.note.check().map_err(|cause| bad(format!("note.{cause}")))?;
        if apply.request.is_empty() || apply.request.len() > MAX_REQUEST_ID_BYTES {
            return Err(bad(format!("request: must be 1 to {MAX_REQUEST_ID_BYTES} bytes")));
        }
        Ok(apply)
    });
    Ok(match checked {
        Ok(Apply { request, note }) => {
            log::info!(request = request.as_str(), base = note.base; "release note");
            let canonical = serde_json::to_vec(&note).expect("a note is plain data");
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
            log::info!(job = spec.key().to_string().as_str(); "job submitted");
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
    log::info!(job = key.to_string().as_str(); "job cancelled");
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
    let asked: Result<DrainWorker, Refusal> = body::read_json(&mut req).await;
    let part = |name| req.param(name).unwrap_or_default().to_string();
    let (zone, worker) = (part("zone"), part("worker"));
    Ok(match asked {
        Ok(DrainWorker { draining }) => {
            let drain = ZoneCall::DrainWorker { worker, draining };
            call(&req, Call::Group(GroupCall::Zone(zone, drain))).await
        }
        Err(e) => reply::refusal(&e),
    })
}

/// Begins the planned stop of this entry host, as SIGTERM does.
async fn drain_host(req: Req) -> tide::Result {
    req.state().stops.drain.cancel();
    Ok(reply::answer(Ok(Answer::Done)))
}
