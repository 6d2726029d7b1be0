//! Open exchanges, which route each output of the engine to the task that waits for it.

use futures::channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use host::{Answer, Call, Input, Output, ServiceRequest};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use types::{ExchangeId, Refusal, RefusalKind, SortedMap};

/// Handle to the engine for the other tasks of the process. Cheap to clone.
#[derive(Clone)]
pub(crate) struct EngineHandle {
    inputs: mpsc::Sender<Input>,
    open: Arc<Mutex<SortedMap<ExchangeId, UnboundedSender<Output>>>>,
    last_id: Arc<AtomicU64>,
}

/// An open exchange. Dropping it before [`Exchange::finish`] tells the engine that it was
/// abandoned.
pub(crate) struct Exchange {
    pub(crate) id: ExchangeId,
    outputs: UnboundedReceiver<Output>,
    handle: EngineHandle,
    finished: bool,
}

impl EngineHandle {
    pub(crate) fn new(inputs: mpsc::Sender<Input>) -> EngineHandle {
        EngineHandle { inputs, open: Arc::default(), last_id: Arc::default() }
    }

    /// Sends the engine an input. Returns false if the engine has stopped.
    pub(crate) fn send(&self, input: Input) -> bool {
        self.inputs.send(input).is_ok()
    }

    fn open(&self) -> Exchange {
        let id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, outputs) = unbounded();
        self.open.lock().expect("lock is not poisoned").insert(id, tx);
        Exchange { id, outputs, handle: self.clone(), finished: false }
    }

    /// Makes a call and waits for its answer.
    pub(crate) async fn call(&self, call: Call) -> Result<Answer, Refusal> {
        let mut exchange = self.open();
        self.send(Input::Call(exchange.id, call));
        match exchange.next().await {
            Some(Output::Answer(_, answer)) => {
                exchange.finish();
                answer
            }
            _ => Err(Refusal::new(RefusalKind::Unknown, "this entry host is stopping")),
        }
    }

    /// Opens an exchange for a caller's request to a service.
    pub(crate) fn request(&self, request: ServiceRequest) -> Exchange {
        let exchange = self.open();
        self.send(Input::Request(exchange.id, request));
        exchange
    }

    /// Passes an output to its exchange. The output is dropped if the exchange is closed.
    pub(crate) fn deliver(&self, exchange: ExchangeId, output: Output) {
        let open = self.open.lock().expect("lock is not poisoned");
        if let Some(tx) = open.get(&exchange) {
            let _ = tx.unbounded_send(output);
        }
    }

    /// Number of open exchanges.
    pub(crate) fn open_exchanges(&self) -> usize {
        self.open.lock().expect("lock is not poisoned").len()
    }
}

impl Exchange {
    /// Waits for the next output of this exchange; `None` if the exchange has been closed.
    pub(crate) async fn next(&mut self) -> Option<Output> {
        futures::StreamExt::next(&mut self.outputs).await
    }

    /// Marks the exchange as answered, so that dropping it does not abandon it.
    pub(crate) fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.handle.open.lock().expect("lock is not poisoned").remove(&self.id);
        if !self.finished {
            self.handle.send(Input::Abandoned(self.id));
        }
    }
}
