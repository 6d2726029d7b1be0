//! Callers' requests to services. A request without an idempotency key is routed at once; one with
//! a key is routed after its record has been acquired.

use crate::call::{Answer, GroupCall};
use crate::config::InjectedBug;
use crate::host::Host;
use crate::io::{Output, ServiceRequest};
use crate::origin::Origin;
use routing::{Action, AttemptResult, Class, Outcome, Request};
use state::{Owner, RecordAnswer, StoredAnswer, StoredOutcome};
use std::time::Duration;
use types::{ExchangeId, Refusal, RefusalKind, Timestamp, UpstreamId};

/// Time between two attempts to acquire a record or to record an outcome.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Recording an outcome is retried for this long.
const RECORD_OUTCOME_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// A request with an idempotency key that has not been answered yet.
#[derive(Debug)]
pub(crate) struct KeyedRequest {
    key: String,
    digest: String,
    request: Request,
    stage: Stage,
    /// The answer of the last attempt that ended.
    answer: Option<StoredAnswer>,
}

#[derive(Debug, PartialEq)]
enum Stage {
    /// The record has been requested.
    Requested,
    /// The record will be requested again at this time.
    Waiting(Timestamp),
    /// This exchange owns the record, and the request was passed to the router.
    Routed,
}

impl KeyedRequest {
    pub(crate) fn next_poll(&self) -> Option<Timestamp> {
        match self.stage {
            Stage::Waiting(at) => Some(at.min(self.request.deadline)),
            Stage::Requested => Some(self.request.deadline),
            Stage::Routed => None,
        }
    }
}

/// The outcome of a request that has not been recorded yet.
#[derive(Debug)]
pub(crate) struct PendingOutcome {
    key: String,
    outcome: Option<StoredOutcome>,
    /// When to send the outcome again; `None` while an answer is awaited.
    retry_at: Option<Timestamp>,
    until: Timestamp,
}

impl Host {
    pub(crate) fn on_request(&mut self, exchange: ExchangeId, request: ServiceRequest) {
        let Some(service) = self.release.current().services.get(&request.service) else {
            let version = self.release.current().version;
            let message = format!("service `{}` is not in release {version}", request.service);
            // With a key, an earlier request may have run. Its record is not looked up here.
            let outcome = if request.key.is_some() { Outcome::Unknown } else { Outcome::NotRun };
            let refusal = Refusal::new(RefusalKind::NotFound, message);
            self.out.push(Output::GiveUp { exchange, outcome, refusal });
            return;
        };
        let timeout = request.timeout.map_or(service.timeout, |t| t.min(service.timeout));
        let timeout = timeout.min(self.cfg.max_timeout);
        let idempotent = (service.idempotent || request.is_safe) && request.key.is_none();
        let routed = Request {
            exchange,
            service: request.service.clone(),
            class: request.class,
            idempotent,
            deadline: self.now + timeout,
        };
        match request.key {
            Some(key) if !self.cfg.has_bug(InjectedBug::SkipRecords) => {
                self.begin_keyed(exchange, key, request.digest, routed)
            }
            _ => self.route(routed),
        }
    }

    fn begin_keyed(&mut self, exchange: ExchangeId, key: String, digest: String, request: Request) {
        let printable = key.bytes().all(|b| b.is_ascii_graphic());
        if key.is_empty() || key.len() > MAX_KEY_BYTES || !printable {
            let message =
                format!("idempotency key: must be 1 to {MAX_KEY_BYTES} printable characters");
            let refusal = Refusal::new(RefusalKind::BadInput, message);
            self.out.push(Output::GiveUp { exchange, outcome: Outcome::NotRun, refusal });
            return;
        }
        let key = format!("{}/{key}", request.service);
        let keyed = KeyedRequest { key, digest, request, stage: Stage::Requested, answer: None };
        self.keyed_requests.insert(exchange, keyed);
        self.request_record(exchange);
    }

    fn owner(&self, exchange: ExchangeId) -> Owner {
        Owner { host: self.cfg.host.clone(), process: self.process, exchange }
    }

    fn request_record(&mut self, exchange: ExchangeId) {
        let owner = self.owner(exchange);
        let Some(keyed) = self.keyed_requests.get_mut(&exchange) else { return };
        keyed.stage = Stage::Requested;
        let (key, digest) = (keyed.key.clone(), keyed.digest.clone());
        let deadline = keyed.request.deadline;
        let call = GroupCall::RecordBegin { key, digest, owner };
        self.call_group(call, Origin::RecordBegin(exchange), 2, deadline);
    }

    /// Handles the answer to the request for a record: routes or replays the request, or waits.
    pub(crate) fn on_record_begun(
        &mut self,
        exchange: ExchangeId,
        answer: Result<Answer, Refusal>,
    ) {
        let next = self.now + POLL_INTERVAL;
        let Some(keyed) = self.keyed_requests.get_mut(&exchange) else { return };
        match answer {
            Ok(Answer::Record(RecordAnswer::Acquired)) => {
                if self.now >= keyed.request.deadline {
                    self.give_up_on_record(exchange);
                    return;
                }
                keyed.stage = Stage::Routed;
                let request = keyed.request.clone();
                self.route(request);
            }
            Ok(Answer::Record(RecordAnswer::InProgress(..))) => {
                keyed.stage = Stage::Waiting(next);
            }
            Ok(Answer::Record(RecordAnswer::Finished(outcome))) => {
                self.keyed_requests.remove(&exchange);
                self.replay(exchange, outcome);
            }
            Err(refusal)
                if matches!(refusal.kind, RefusalKind::Unavailable | RefusalKind::Unknown) =>
            {
                keyed.stage = Stage::Waiting(next);
            }
            Err(refusal) => {
                self.keyed_requests.remove(&exchange);
                self.out.push(Output::GiveUp { exchange, outcome: Outcome::NotRun, refusal });
            }
            Ok(_) => keyed.stage = Stage::Waiting(next),
        }
    }

    fn replay(&mut self, exchange: ExchangeId, outcome: StoredOutcome) {
        let give_up = |outcome, kind, message: &str| Output::GiveUp {
            exchange,
            outcome,
            refusal: Refusal::new(kind, message),
        };
        self.out.push(match outcome {
            StoredOutcome::Answered(answer) => Output::Replay(exchange, answer),
            StoredOutcome::Ran => give_up(
                Outcome::Ran,
                RefusalKind::TooLarge,
                "the request ran before; its answer was too large to keep",
            ),
            StoredOutcome::Unknown => give_up(
                Outcome::Unknown,
                RefusalKind::Unknown,
                "the request may have run before; it will not be sent again under this key",
            ),
        });
    }

    /// Requests records again, and gives up requests whose deadline has passed.
    pub(crate) fn poll_records(&mut self) {
        let now = self.now;
        let due =
            self.keyed_requests.iter().filter(|(_, k)| k.next_poll().is_some_and(|at| at <= now));
        let due: Vec<ExchangeId> = due.map(|(exchange, _)| *exchange).collect();
        for exchange in due {
            let keyed =
                self.keyed_requests.get(&exchange).expect("exchange comes from the same map");
            if now >= keyed.request.deadline {
                self.give_up_on_record(exchange);
            } else {
                self.request_record(exchange);
            }
        }
    }

    /// Gives up a request whose record could not be acquired. This exchange has sent nothing, but
    /// another with the same key may have, so the outcome is unknown.
    fn give_up_on_record(&mut self, exchange: ExchangeId) {
        let Some(keyed) = self.keyed_requests.remove(&exchange) else { return };
        let message = "the record of the idempotency key has no outcome or could not be reached; \
                       it is safe to send the same key again";
        let refusal =
            Refusal::new(RefusalKind::Unknown, message).retry_after(Duration::from_secs(2));
        self.out.push(Output::GiveUp { exchange, outcome: Outcome::Unknown, refusal });
        self.record_outcome(exchange, keyed.key, None);
    }

    pub(crate) fn route(&mut self, request: Request) {
        let now = self.now;
        let actions = self.router.submit(now, request);
        self.perform_actions(actions);
        let waits = |s: &routing::ServiceStats| s.interactive_waiting + s.batch_waiting > 0;
        if self.router.service_stats().iter().any(waits) {
            self.request_slots_soon();
        }
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        exchange: ExchangeId,
        attempt: u32,
        result: AttemptResult,
        answer: Option<StoredAnswer>,
    ) {
        if let Some(keyed) = self.keyed_requests.get_mut(&exchange) {
            keyed.answer = answer;
        }
        let actions = self.router.finish_attempt(self.now, exchange, attempt, result);
        self.perform_actions(actions);
    }

    pub(crate) fn on_abandoned(&mut self, exchange: ExchangeId) {
        self.gathers.remove(&exchange);
        self.router.abandon(exchange);
        // The router continues a request that was sent and drops one that was still queued.
        let unsent =
            self.keyed_requests.get(&exchange).is_some_and(|keyed| keyed.stage != Stage::Routed)
                || !self.router.contains(exchange);
        if unsent {
            if let Some(keyed) = self.keyed_requests.remove(&exchange) {
                self.record_outcome(exchange, keyed.key, None);
            }
        }
    }

    /// Carries out the router's actions.
    pub(crate) fn perform_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { exchange, attempt, upstream, until } => {
                    let keep_answer = self.keyed_requests.contains_key(&exchange);
                    let idle_connections = self.idle_connections(&upstream);
                    self.out.push(Output::Forward {
                        exchange,
                        attempt,
                        upstream,
                        until,
                        keep_answer,
                        idle_connections,
                    });
                }
                Action::Deliver { exchange } => {
                    if let Some(keyed) = self.keyed_requests.remove(&exchange) {
                        let outcome =
                            keyed.answer.map_or(StoredOutcome::Ran, StoredOutcome::Answered);
                        self.record_outcome(exchange, keyed.key, Some(outcome));
                    }
                    self.out.push(Output::Deliver(exchange));
                }
                Action::GiveUp { exchange, outcome, reason, retry_after } => {
                    self.give_up(exchange, outcome, reason, retry_after);
                }
            }
        }
    }

    /// This host's part of the connections that an upstream accepts beyond its slots.
    fn idle_connections(&self, upstream: &UpstreamId) -> u32 {
        let Some(record) = self.table.get(upstream) else { return 0 };
        let hosts = self.cfg.peers.len() as u32 + 1;
        record.announcement.connections.saturating_sub(record.announcement.slots) / hosts
    }

    fn give_up(
        &mut self,
        exchange: ExchangeId,
        outcome: Outcome,
        reason: String,
        retry_after: Duration,
    ) {
        if let Some(keyed) = self.keyed_requests.remove(&exchange) {
            let stored = (outcome != Outcome::NotRun).then_some(StoredOutcome::Unknown);
            self.record_outcome(exchange, keyed.key, stored);
        }
        let kind = match outcome {
            Outcome::NotRun => RefusalKind::Overloaded,
            _ => RefusalKind::Unknown,
        };
        let refusal = Refusal::new(kind, reason).retry_after(retry_after);
        self.out.push(Output::GiveUp { exchange, outcome, refusal });
    }

    /// Records an outcome. The caller is answered without waiting for it; only a repeated request
    /// with the same key waits for the record.
    fn record_outcome(
        &mut self,
        exchange: ExchangeId,
        key: String,
        outcome: Option<StoredOutcome>,
    ) {
        let until = self.now + RECORD_OUTCOME_TIMEOUT;
        let pending = PendingOutcome { key, outcome, retry_at: None, until };
        self.pending_outcomes.insert(exchange, pending);
        self.send_outcome(exchange);
    }

    fn send_outcome(&mut self, exchange: ExchangeId) {
        let owner = self.owner(exchange);
        let Some(pending) = self.pending_outcomes.get_mut(&exchange) else { return };
        pending.retry_at = None;
        let (key, outcome) = (pending.key.clone(), pending.outcome.clone());
        let until = pending.until;
        let call = GroupCall::RecordFinish { key, owner, outcome };
        self.call_group(call, Origin::RecordFinish(exchange), 2, until);
    }

    pub(crate) fn on_record_finished(
        &mut self,
        exchange: ExchangeId,
        answer: Result<Answer, Refusal>,
    ) {
        let retry_at = self.now + POLL_INTERVAL;
        match answer {
            Ok(_) => {
                self.pending_outcomes.remove(&exchange);
            }
            Err(_) => {
                if let Some(pending) = self.pending_outcomes.get_mut(&exchange) {
                    pending.retry_at = Some(retry_at);
                }
            }
        }
    }

    pub(crate) fn retry_pending_outcomes(&mut self) {
        let now = self.now;
        self.pending_outcomes.retain(|_, pending| now < pending.until);
        let due =
            self.pending_outcomes.iter().filter(|(_, p)| p.retry_at.is_some_and(|at| at <= now));
        let due: Vec<ExchangeId> = due.map(|(exchange, _)| *exchange).collect();
        for exchange in due {
            self.send_outcome(exchange);
        }
    }
}

/// Parses the request class that a caller names in a header. Without one, the class is interactive.
///
/// ```
/// use routing::Class;
/// assert_eq!(host::parse_class(Some("batch")), Ok(Class::Batch));
/// assert!(host::parse_class(Some("fast")).is_err());
/// ```
pub fn parse_class(text: Option<&str>) -> Result<Class, String> {
    match text {
        None | Some("interactive") => Ok(Class::Interactive),
        Some("batch") => Ok(Class::Batch),
        Some(other) => Err(format!("class: `{other}` is neither interactive nor batch")),
    }
}
