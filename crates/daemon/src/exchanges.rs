//! Open exchanges: each answer finds its own asker.

use futures::channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use host::{Answer, Call, Input, Output, ServiceRequest};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use types::{ExchangeId, Refusal, RefusalKind, SortedMap};

/// The way to the engine for everyone else in the process.
#[derive(Clone)]
pub(crate) struct EngineHandle {
    inputs: mpsc::Sender<Input>,
    open: Arc<Mutex<SortedMap<ExchangeId, UnboundedSender<Output>>>>,
    last: Arc<AtomicU64>,
}

/// An open exchange. Dropping it tells the engine that nobody waits any more.
pub(crate) struct Exchange {
    pub(crate) id: ExchangeId,
    outputs: UnboundedReceiver<Output>,
    handle: EngineHandle,
    done: bool,
}

impl EngineHandle {
    pub(crate) fn new(inputs: mpsc::Sender<Input>) -> EngineHandle {
        EngineHandle { inputs, open: Arc::default(), last: Arc::default() }
    }

    /// Hands the engine an input. False when the engine has stopped.
    pub(crate) fn input(&self, input: Input) -> bool {
        self.inputs.send(input).is_ok()
    }

    fn open(&self) -> Exchange {
        let id = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, outputs) = unbounded();
        self.open.lock().expect("no one panics with the lock").insert(id, tx);
        Exchange { id, outputs, handle: self.clone(), done: false }
    }

    /// Makes a call and waits for its answer.
    pub(crate) async fn call(&self, call: Call) -> Result<Answer, Refusal> {
        let mut exchange = self.open();
        self.input(Input::Call(exchange.id, call));
        match exchange.next().await {
            Some(Output::Answer(_, answer)) => {
                exchange.finish();
                answer
            }
            _ => Err(Refusal::new(RefusalKind::Unknown, "this entry host is stopping")),
        }
    }

    /// Begins a caller's request for a service.
    pub(crate) fn request(&self, request: ServiceRequest) -> Exchange {
        let exchange = self.open();
        self.input(Input::Request(exchange.id, request));
        exchange
    }

    /// Gives an exchange its output. One that nobody waits for is dropped.
    pub(crate) fn deliver(&self, exchange: ExchangeId, output: Output) {
        let open = self.open.lock().expect("no one panics with the lock");
        if let Some(tx) = open.get(&exchange) {
            let _ = tx.unbounded_send(output);
        }
    }

    /// How many exchanges are open.
    pub(crate) fn open_exchanges(&self) -> usize {
        self.open.lock().expect("no one panics with the lock").len()
    }
}

impl Exchange {
    /// The next thing to do in this exchange.
    pub(crate) async fn next(&mut self) -> Option<Output> {
        futures::StreamExt::next(&mut self.outputs).await
    }

    /// The asker has its answer.
    pub(crate) fn finish(&mut self) {
        self.done = true;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.handle.open.lock().expect("no one panics with the lock").remove(&self.id);
        if !self.done {
            self.handle.input(Input::Abandoned(self.id));
        }
    }
}
