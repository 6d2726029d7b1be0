//! Connections to other hosts: one sending task per host, started by the first message.

use crate::handle::EngineHandle;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use scheduler::{Input, Outbox, PeerMessage, PROTOCOL_VERSION};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use types::{HostId, SortedMap};
use wire::{Hello, PeerClient, ServerLimits};

/// Delay between attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Longest wait for a connection and its hello.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection is closed if a batch is not acknowledged within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// A link without messages for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// What a link's sending task shares with the engine.
struct Shared {
    state: Mutex<LinkState>,
    /// Wakes the sending task. Holds at most one signal.
    wake: Sender<()>,
}

#[derive(Default)]
struct LinkState {
    outbox: Outbox,
    /// The sending task has ended.
    closed: bool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().expect("lock is not poisoned")
    }

    /// Queues a message, or drops it if too much waits. Gives the message back if the sending task
    /// has ended.
    fn push(&self, message: PeerMessage) -> Result<(), PeerMessage> {
        let mut state = self.lock();
        if state.closed {
            return Err(message);
        }
        state.outbox.push(message);
        // A signal that is already there is as good.
        let _ = self.wake.try_send(());
        Ok(())
    }

    /// Ends the link if no message waits. Returns whether it has ended.
    fn close_if_empty(&self) -> bool {
        let mut state = self.lock();
        state.closed = state.outbox.is_empty();
        state.closed
    }
}

/// The links from this host to all others.
pub(crate) struct Links {
    me: HostId,
    port: u16,
    links: SortedMap<HostId, Arc<Shared>>,
    stop: CancellationToken,
}

impl Links {
    pub(crate) fn new(me: HostId, port: u16, stop: CancellationToken) -> Links {
        Links { me, port, links: SortedMap::default(), stop }
    }

    /// Queues a message for the host `to`, or drops it if the queue is full. Starts the link's
    /// sending task if there is none.
    pub(crate) fn send(&mut self, to: &HostId, message: PeerMessage) {
        let message = match self.links.get(to) {
            Some(shared) => match shared.push(message) {
                Ok(()) => return,
                Err(message) => message,
            },
            None => message,
        };
        let addr = match to.parse() {
            Ok(ip) => SocketAddr::new(ip, self.port),
            Err(e) => {
                log::warn!(host = to.as_str(), cause:display = e; "host name is not an IP address");
                return;
            }
        };
        let (wake, rx) = bounded(1);
        let mut state = LinkState::default();
        state.outbox.push(message);
        let shared = Arc::new(Shared { state: Mutex::new(state), wake });
        let (me, peer) = (self.me.clone(), to.clone());
        task::spawn(Link { me, peer, addr, rx, shared: shared.clone() }.run(self.stop.clone()));
        self.links.insert(to.clone(), shared);
    }
}

/// The sending task of one host, which owns the connection to it.
struct Link {
    me: HostId,
    peer: HostId,
    addr: SocketAddr,
    rx: Receiver<()>,
    shared: Arc<Shared>,
}

impl Link {
    /// Waits for a message. Returns false, and ends the link, if none arrives within
    /// [`IDLE_TIMEOUT`].
    async fn wait(&self) -> bool {
        loop {
            if !self.shared.lock().outbox.is_empty() {
                return true;
            }
            if timeout(IDLE_TIMEOUT, self.rx.recv()).await.is_err() && self.shared.close_if_empty()
            {
                return false;
            }
        }
    }

    async fn run(self, stop: CancellationToken) {
        let mut reachable = true;
        // Connects only once there is a message to send.
        while !stop.is_cancelled() && self.wait().await {
            match self.connect().await {
                Ok(client) => {
                    if !reachable {
                        log::info!(peer = self.peer.as_str(); "connected to peer again");
                    }
                    reachable = true;
                    if !self.send_batches(&client, &stop).await {
                        return;
                    }
                }
                Err(cause) => {
                    if reachable {
                        log::warn!(peer = self.peer.as_str(), cause = cause.as_str();
                            "cannot connect to peer");
                    }
                    reachable = false;
                    task::sleep(RECONNECT_DELAY).await;
                }
            }
            // Messages queued for a broken connection are out of date by the time of the next one.
            self.shared.lock().outbox.clear();
        }
    }

    async fn connect(&self) -> Result<PeerClient, String> {
        let hello = Hello { version: PROTOCOL_VERSION, host: self.me.clone() };
        let spawn = |connection| {
            task::spawn(connection);
        };
        match timeout(CONNECT_TIMEOUT, wire::connect(self.addr, hello, spawn)).await {
            Ok(Ok(client)) => Ok(client.with_timeout(ANSWER_TIMEOUT)),
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err("no answer in time".to_string()),
        }
    }

    /// Sends messages in batches, one at a time, until the connection fails. Returns false if the
    /// link has ended because it was idle.
    async fn send_batches(&self, client: &PeerClient, stop: &CancellationToken) -> bool {
        while !stop.is_cancelled() {
            if !self.wait().await {
                return false;
            }
            let batch = self.shared.lock().outbox.next_batch();
            if let Err(e) = client.deliver(&batch).await {
                log::warn!(peer = self.peer.as_str(), cause:display = e; "connection to peer lost");
                break;
            }
        }
        true
    }
}

/// Listens for other hosts until the process ends.
pub(crate) async fn listen(
    addr: SocketAddr,
    limits: ServerLimits,
    handle: EngineHandle,
) -> Result<(), wire::Error> {
    let deliver = move |from: HostId, messages: Vec<PeerMessage>| {
        for message in messages {
            handle.send(Input::Peer(from.clone(), message));
        }
    };
    let spawn = |connection| {
        task::spawn(connection);
    };
    let deliver = Arc::new(deliver);
    let (_, accept) = wire::serve(addr, limits, PROTOCOL_VERSION, deliver, spawn).await?;
    task::spawn(accept);
    Ok(())
}
