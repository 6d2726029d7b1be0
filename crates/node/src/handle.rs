//! The way to the engine for everyone else in the process.

use crate::clock::Clock;
use crate::metrics::Metrics;
use async_std::future::timeout;
use futures::channel::oneshot;
use scheduler::{Answer, Call, Input};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::Duration;
use types::{ExchangeId, Refusal, RefusalKind, SortedMap, Timestamp};

/// Beyond the deadline of a call, the engine's own answer is waited for this long.
const GRACE: Duration = Duration::from_millis(150);

/// What the engine shows of itself, renewed after each step.
#[derive(Clone, Debug, Default)]
pub struct EngineStatus {
    /// Why callers should not be sent here, or `None` when they should.
    pub not_ready: Option<&'static str>,
    /// A planned stop may end.
    pub drained: bool,
    /// What it knows of the configuration is recent.
    pub in_touch: bool,
}

type Waiting = SortedMap<ExchangeId, oneshot::Sender<Result<Answer, Refusal>>>;

/// The way to the engine. Cheap to clone.
#[derive(Clone)]
pub struct EngineHandle {
    inputs: mpsc::Sender<Input>,
    waiting: Arc<Mutex<Waiting>>,
    shared: Arc<Mutex<EngineStatus>>,
    last: Arc<AtomicU64>,
    clock: Clock,
    metrics: Arc<Metrics>,
}

/// Tells the engine that nobody waits any more, unless the answer has come.
struct Abandon<'a> {
    handle: &'a EngineHandle,
    exchange: ExchangeId,
    done: bool,
}

impl Drop for Abandon<'_> {
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
            waiting: Arc::default(),
            shared: Arc::default(),
            last: Arc::default(),
            clock,
            metrics: Arc::new(metrics),
        }
    }

    /// The metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The process's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Hands the engine an input. False when the engine has stopped.
    pub fn send(&self, input: Input) -> bool {
        self.inputs.send(input).is_ok()
    }

    /// Makes a call and waits for its answer, until the deadline at the latest.
    pub async fn call(&self, call: Call, deadline: Timestamp) -> Result<Answer, Refusal> {
        let exchange = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = oneshot::channel();
        self.waiting.lock().expect("no one panics with the lock").insert(exchange, tx);
        let mut abandon = Abandon { handle: self, exchange, done: false };
        let (change, name, began) = (call.is_change(), call.name(), self.clock.now());
        self.send(Input::Call(exchange, call, deadline));
        let limit = deadline.saturating_sub(self.clock.now()) + GRACE;
        if let Ok(Ok(answer)) = timeout(limit, rx).await {
            abandon.done = true;
            self.metrics.observe_call(name, self.clock.now().saturating_sub(began));
            return answer;
        }
        let kind = if change { RefusalKind::Unknown } else { RefusalKind::Unavailable };
        Err(Refusal::new(kind, "this host could not answer in time"))
    }

    fn take(&self, exchange: ExchangeId) -> Option<oneshot::Sender<Result<Answer, Refusal>>> {
        self.waiting.lock().expect("no one panics with the lock").remove(&exchange)
    }

    pub(crate) fn deliver(&self, exchange: ExchangeId, answer: Result<Answer, Refusal>) {
        if let Some(tx) = self.take(exchange) {
            // The asker may have gone meanwhile, which is its own affair.
            let _ = tx.send(answer);
        }
    }

    /// Calls that wait for an answer.
    pub fn open_calls(&self) -> usize {
        self.waiting.lock().expect("no one panics with the lock").len()
    }

    /// What the engine shows of itself.
    pub fn status(&self) -> EngineStatus {
        self.shared.lock().expect("no one panics with the lock").clone()
    }

    pub(crate) fn publish<F>(&self, f: F)
    where
        F: FnOnce(&mut EngineStatus),
    {
        f(&mut self.shared.lock().expect("no one panics with the lock"));
    }
}
