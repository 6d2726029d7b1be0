//! Handle by which the rest of the process uses the engine.

use crate::clock::Clock;
use crate::metrics::Metrics;
use async_std::future::timeout;
use futures::channel::oneshot;
use scheduler::{Answer, Call, Input};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::Duration;
use types::{ExchangeId, Refusal, RefusalKind, SortedMap, Timestamp};

/// Extra wait after a call's deadline, so that the engine's own answer to an expired call arrives
/// before the call is given up.
const ANSWER_GRACE: Duration = Duration::from_millis(150);
/// Shortest pause of the process that counts. The engine runs more often than that.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Inputs that waited while the process was paused have been read this long after the pause.
const READ_AFTER_PAUSE: Duration = Duration::from_secs(2);

/// Status that the engine publishes after each batch of inputs.
#[derive(Clone, Debug, Default)]
pub struct EngineStatus {
    /// Why this host is not ready for callers; `None` if it is ready.
    pub unready_reason: Option<&'static str>,
    /// Whether draining is complete, so that a planned stop may proceed.
    pub drained: bool,
    /// Whether the known configuration is recent.
    pub has_recent_configuration: bool,
    /// When the group certainly had no newer configuration than this host; `None` if never.
    pub confirmed_at: Option<Timestamp>,
    /// Whether the group is known to have a newer configuration.
    pub outdated: bool,
    /// When the engine published this status.
    pub(crate) at: Timestamp,
    /// When the last pause of this host ended; `None` if there was none.
    pub(crate) pause_ended: Option<Timestamp>,
}

impl EngineStatus {
    /// Whether what the process reads at `now` may have waited for it for seconds, because the
    /// process was paused: frozen, suspended, or without processor time.
    pub fn may_have_waited(&self, now: Timestamp) -> bool {
        let lately = self.pause_ended.is_some_and(|at| now < at + READ_AFTER_PAUSE);
        lately || now > self.at + MIN_PAUSE
    }
}

type PendingCalls = SortedMap<ExchangeId, oneshot::Sender<Result<Answer, Refusal>>>;

/// Handle to the engine. Cheap to clone.
#[derive(Clone)]
pub struct EngineHandle {
    inputs: mpsc::Sender<Input>,
    pending: Arc<Mutex<PendingCalls>>,
    status: Arc<Mutex<EngineStatus>>,
    last_exchange: Arc<AtomicU64>,
    clock: Clock,
    metrics: Arc<Metrics>,
}

/// Drop guard of a call: unless the answer has arrived, removes the call and tells the engine that
/// it was abandoned.
struct AbandonOnDrop<'a> {
    handle: &'a EngineHandle,
    exchange: ExchangeId,
    done: bool,
}

impl Drop for AbandonOnDrop<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.handle.take(self.exchange);
            self.handle.send(Input::Abandoned(self.exchange));
        }
    }
}

impl EngineHandle {
    pub(crate) fn new(inputs: mpsc::Sender<Input>, clock: Clock, metrics: Metrics) -> EngineHandle {
        EngineHandle {
            inputs,
            pending: Arc::default(),
            status: Arc::default(),
            last_exchange: Arc::default(),
            clock,
            metrics: Arc::new(metrics),
        }
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the clock of the process.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sends an input to the engine. Returns false if the engine has stopped.
    pub fn send(&self, input: Input) -> bool {
        self.inputs.send(input).is_ok()
    }

    /// Makes a call and waits for its answer, at most until shortly after the deadline.
    ///
    /// Without an answer the refusal is [`RefusalKind::Unknown`] for a change, which may still take
    /// effect, and [`RefusalKind::Unavailable`] for a read.
    pub async fn call(&self, call: Call, deadline: Timestamp) -> Result<Answer, Refusal> {
        let exchange = self.last_exchange.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = oneshot::channel();
        self.pending.lock().expect("lock is not poisoned").insert(exchange, tx);
        let mut guard = AbandonOnDrop { handle: self, exchange, done: false };
        let (change, name, began) = (call.is_change(), call.name(), self.clock.now());
        self.send(Input::Call(exchange, call, deadline));
        let limit = deadline.saturating_sub(self.clock.now()) + ANSWER_GRACE;
        if let Ok(Ok(answer)) = timeout(limit, rx).await {
            guard.done = true;
            self.metrics.observe_call(name, self.clock.now().saturating_sub(began));
            return answer;
        }
        let kind = if change { RefusalKind::Unknown } else { RefusalKind::Unavailable };
        Err(Refusal::new(kind, "this host could not answer in time"))
    }

    fn take(&self, exchange: ExchangeId) -> Option<oneshot::Sender<Result<Answer, Refusal>>> {
        self.pending.lock().expect("lock is not poisoned").remove(&exchange)
    }

    /// Completes a call with its answer.
    pub(crate) fn deliver(&self, exchange: ExchangeId, answer: Result<Answer, Refusal>) {
        if let Some(tx) = self.take(exchange) {
            // Fails if the caller has gone; then there is nothing to do.
            let _ = tx.send(answer);
        }
    }

    /// Number of calls that wait for an answer.
    pub fn open_calls(&self) -> usize {
        self.pending.lock().expect("lock is not poisoned").len()
    }

    /// Returns the status that the engine published last.
    pub fn status(&self) -> EngineStatus {
        self.status.lock().expect("lock is not poisoned").clone()
    }

    pub(crate) fn publish<F>(&self, f: F)
    where
        F: FnOnce(&mut EngineStatus),
    {
        f(&mut self.status.lock().expect("lock is not poisoned"));
    }
}
