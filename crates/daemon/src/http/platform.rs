//! The HTTP interface for workers and upstreams.

use super::{body, reply, Shared};
use host::{Call, GroupCall, Heartbeat};
use membership::Announcement;
use serde::Deserialize;
use state::WorkerSpec;
use std::sync::Arc;
use tide::Request;
use types::{Incarnation, Refusal, Resources, UpstreamId, WorkerId};

pub(crate) fn app(shared: Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let mut app = tide::with_state(shared);
    app.at("/v1/upstreams").post(announce);
    app.at("/v1/upstreams/leave").post(leave);
    app.at("/v1/workers").post(register);
    app.at("/v1/workers/heartbeat").post(heartbeat);
    app
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Registration {
    worker: WorkerId,
    rack: String,
    capacity: Resources,
    incarnation: Incarnation,
    /// First incarnation of the worker's process; this one if left out.
    first_incarnation: Option<Incarnation>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Leave {
    upstream: UpstreamId,
    incarnation: Incarnation,
}

async fn announce(mut req: Request<Arc<Shared>>) -> tide::Result {
    let parsed: Result<Announcement, Refusal> = body::read_json(&mut req).await;
    call(req, parsed.map(Call::Announce)).await
}

async fn leave(mut req: Request<Arc<Shared>>) -> tide::Result {
    let parsed: Result<Leave, Refusal> = body::read_json(&mut req).await;
    let leave = parsed.map(|l| Call::Leave { upstream: l.upstream, incarnation: l.incarnation });
    call(req, leave).await
}

async fn register(mut req: Request<Arc<Shared>>) -> tide::Result {
    let parsed: Result<Registration, Refusal> = body::read_json(&mut req).await;
    let register = parsed.map(|registration| {
        let Registration { worker, rack, capacity, incarnation, first_incarnation } = registration;
        let first = first_incarnation.unwrap_or(incarnation);
        let spec = WorkerSpec { worker, rack, capacity, incarnation };
        Call::Group(GroupCall::Register { spec, first })
    });
    call(req, register).await
}

async fn heartbeat(mut req: Request<Arc<Shared>>) -> tide::Result {
    let parsed: Result<Heartbeat, Refusal> = body::read_json(&mut req).await;
    call(req, parsed.map(|heartbeat| Call::Group(GroupCall::Heartbeat(heartbeat)))).await
}

async fn call(req: Request<Arc<Shared>>, parsed: Result<Call, Refusal>) -> tide::Result {
    let answer = match parsed {
        Ok(call) => req.state().handle.call(call).await,
        Err(e) => Err(e),
    };
    Ok(reply::answer(answer))
}
