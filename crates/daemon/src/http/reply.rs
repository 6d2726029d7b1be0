//! Converts answers and refusals into HTTP responses.

use host::Answer;
use routing::Outcome;
use serde::Serialize;
use tide::{Response, StatusCode};
use types::{Refusal, RefusalKind};

/// Returns the HTTP status of a refusal.
pub(crate) fn status_of(kind: RefusalKind) -> StatusCode {
    match kind {
        RefusalKind::BadInput => StatusCode::BadRequest,
        RefusalKind::TooLarge => StatusCode::PayloadTooLarge,
        RefusalKind::Forbidden => StatusCode::Unauthorized,
        RefusalKind::NotFound => StatusCode::NotFound,
        RefusalKind::Conflict => StatusCode::Conflict,
        RefusalKind::KeyReused => StatusCode::UnprocessableEntity,
        RefusalKind::Overloaded | RefusalKind::Unavailable => StatusCode::ServiceUnavailable,
        RefusalKind::Unknown => StatusCode::GatewayTimeout,
    }
}

/// Builds the response to a refused request: a JSON body, and `Retry-After` in whole seconds if the
/// refusal has a retry time.
pub(crate) fn refusal(refusal: &Refusal) -> Response {
    let mut res = json(status_of(refusal.kind), &RefusalBody::of(refusal));
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        res.insert_header("retry-after", seconds.max(1).to_string());
    }
    res
}

/// Builds the response to a request that was not received, and therefore did not run.
pub(crate) fn not_received(e: &http_server::Error) -> Response {
    use http_server::Error::{BodyTooLarge, HeadTooLarge};
    let kind = match e {
        BodyTooLarge(_) | HeadTooLarge(_) => RefusalKind::TooLarge,
        _ if e.retry_after().is_some() => RefusalKind::Unavailable,
        _ => RefusalKind::BadInput,
    };
    let message = match e {
        BodyTooLarge(limit) => {
            format!("body: larger than {}", types::quantity::format_bytes(*limit))
        }
        e => e.to_string(),
    };
    let cause = Refusal { kind, message, retry_after: e.retry_after() };
    let mut res = refusal(&cause);
    res.set_status(e.status().unwrap_or(StatusCode::BadRequest));
    res.insert_header(super::callers::OUTCOME_HEADER, Outcome::NotRun.as_str());
    res
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    kind: RefusalKind,
    message: &'a str,
}

impl<'a> RefusalBody<'a> {
    fn of(refusal: &'a Refusal) -> RefusalBody<'a> {
        RefusalBody { kind: refusal.kind, message: &refusal.message }
    }
}

/// Builds a response with a JSON body.
pub(crate) fn json<T>(status: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    let body = serde_json::to_string(value).expect("answers are plain data");
    Response::builder(status).content_type("application/json").body(body).build()
}

/// Builds the response to a call. The JSON holds the answer's contents without the variant's name.
pub(crate) fn answer(answer: Result<Answer, Refusal>) -> Response {
    #[derive(Serialize)]
    struct Done {
        done: bool,
    }
    #[derive(Serialize)]
    struct Registered {
        #[serde(with = "types::quantity::duration")]
        lease: std::time::Duration,
    }
    let ok = StatusCode::Ok;
    match answer {
        Err(e) => refusal(&e),
        Ok(Answer::Done) => json(ok, &Done { done: true }),
        Ok(Answer::Registered(lease)) => json(ok, &Registered { lease }),
        Ok(Answer::Heartbeat(heartbeat)) => json(ok, &heartbeat),
        Ok(Answer::Job(job)) => json(ok, &job),
        Ok(Answer::Jobs(jobs)) => json(ok, &jobs),
        Ok(Answer::Workers(workers)) => json(ok, &workers),
        Ok(Answer::Release(release)) => json(ok, &release),
        Ok(Answer::Preview(preview)) => json(ok, &preview),
        Ok(Answer::Status(status)) => json(ok, &status),
        Ok(Answer::Applied(outcome)) => applied(&outcome),
        Ok(Answer::Zones(zones)) => json(ok, &zones),
        Ok(Answer::Record(_) | Answer::Grants(_)) => {
            refusal(&Refusal::new(RefusalKind::BadInput, "not for use from outside"))
        }
    }
}

fn applied(outcome: &state::ApplyOutcome) -> Response {
    use state::ApplyOutcome::{Accepted, Conflict, Invalid, RequestReused};
    match outcome {
        Accepted { .. } => json(StatusCode::Ok, outcome),
        Conflict { .. } => json(StatusCode::Conflict, outcome),
        Invalid { message } => refusal(&Refusal::new(RefusalKind::BadInput, message.clone())),
        RequestReused => refusal(&Refusal::new(
            RefusalKind::KeyReused,
            "request: this id came before with another note",
        )),
    }
}
