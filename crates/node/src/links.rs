//! Connections to other hosts: one sending task per host, started by the first message.

use crate::handle::EngineHandle;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use scheduler::{Input, PeerMessage, PROTOCOL_VERSION};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use types::{HostId, SortedMap};
use wire::{Hello, PeerClient};

/// Largest number of messages queued for one host. Further ones are dropped, which hosts tolerate
/// because a broken connection loses messages too.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Number of queued bytes for one host above which further messages are dropped.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Largest number of messages in one batch.
const MAX_BATCH_MESSAGES: usize = 64;
/// Size of a batch, in bytes, from which on no message is added.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// Delay between attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Longest wait for a connection and its hello.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection is closed if a batch is not acknowledged within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// A link without messages for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Sending end of a link's queue.
struct Queue {
    tx: Sender<PeerMessage>,
    /// Approximate size of the queued messages, in bytes.
    bytes: Arc<AtomicUsize>,
}

/// The links from this host to all others.
pub(crate) struct Links {
    me: HostId,
    port: u16,
    queues: SortedMap<HostId, Queue>,
    stop: CancellationToken,
}

impl Links {
    pub(crate) fn new(me: HostId, port: u16, stop: CancellationToken) -> Links {
        Links { me, port, queues: SortedMap::default(), stop }
    }

    /// Queues a message for the host `to`, or drops it if the queue is full.
    pub(crate) fn send(&mut self, to: &HostId, message: PeerMessage) {
        let Some(queue) = self.queue(to) else { return };
        let size = message.approx_size();
        if queue.bytes.load(Ordering::Relaxed) > MAX_QUEUED_BYTES {
            return;
        }
        queue.bytes.fetch_add(size, Ordering::Relaxed);
        if queue.tx.try_send(message).is_err() {
            queue.bytes.fetch_sub(size, Ordering::Relaxed);
        }
    }

    /// Returns the queue for the host `to` and starts its sending task if there is none. `None` if
    /// the host's name is not an IP address.
    fn queue(&mut self, to: &HostId) -> Option<&Queue> {
        if self.queues.get(to).is_none_or(|queue| queue.tx.is_closed()) {
            let addr = match to.parse() {
                Ok(ip) => SocketAddr::new(ip, self.port),
                Err(e) => {
                    log::warn!(host = to.as_str(), cause:display = e;
                        "host name is not an IP address");
                    return None;
                }
            };
            let (tx, rx) = bounded(MAX_QUEUED_MESSAGES);
            let bytes: Arc<AtomicUsize> = Arc::default();
            let (me, peer) = (self.me.clone(), to.clone());
            task::spawn(Link { me, peer, addr, rx, bytes: bytes.clone() }.run(self.stop.clone()));
            self.queues.insert(to.clone(), Queue { tx, bytes });
        }
        self.queues.get(to)
    }
}

/// The sending task of one host, which owns the connection to it.
struct Link {
    me: HostId,
    peer: HostId,
    addr: SocketAddr,
    rx: Receiver<PeerMessage>,
    bytes: Arc<AtomicUsize>,
}

impl Link {
    /// Takes the next queued message; `None` if the queue is empty.
    fn try_next(&self) -> Option<PeerMessage> {
        let message = self.rx.try_recv().ok()?;
        self.bytes.fetch_sub(message.approx_size(), Ordering::Relaxed);
        Some(message)
    }

    /// Waits for the next message; `None` if none arrives within [`IDLE_TIMEOUT`].
    async fn next(&self) -> Option<PeerMessage> {
        let message = timeout(IDLE_TIMEOUT, self.rx.recv()).await.ok()?.ok()?;
        self.bytes.fetch_sub(message.approx_size(), Ordering::Relaxed);
        Some(message)
    }

    async fn run(self, stop: CancellationToken) {
        let mut reachable = true;
        while !stop.is_cancelled() {
            // Connects only once there is a message to send.
            let Some(first) = self.next().await else { break };
            match self.connect().await {
                Ok(client) => {
                    if !reachable {
                        log::info!(peer = self.peer.as_str(); "connected to peer again");
                    }
                    reachable = true;
                    self.send_batches(&client, first, &stop).await;
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
            while self.try_next().is_some() {}
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

    /// Sends `first` and further messages in batches until the connection fails or is idle.
    async fn send_batches(
        &self,
        client: &PeerClient,
        first: PeerMessage,
        stop: &CancellationToken,
    ) {
        let mut next = Some(first);
        while !stop.is_cancelled() {
            let first = match next.take() {
                Some(first) => first,
                None => match self.next().await {
                    Some(message) => message,
                    None => return,
                },
            };
            let mut bytes = first.approx_size();
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH_MESSAGES && bytes < MAX_BATCH_BYTES {
                let Some(message) = self.try_next() else { break };
                bytes += message.approx_size();
                batch.push(message);
            }
            if let Err(e) = client.deliver(&batch).await {
                log::warn!(peer = self.peer.as_str(), cause:display = e; "connection to peer lost");
                return;
            }
        }
    }
}

/// Listens for other hosts until the process ends.
pub(crate) async fn listen(addr: SocketAddr, handle: EngineHandle) -> Result<(), wire::Error> {
    let deliver = move |from: HostId, messages: Vec<PeerMessage>| {
        for message in messages {
            handle.send(Input::Peer(from.clone(), message));
        }
    };
    let spawn = |connection| {
        task::spawn(connection);
    };
    let (_, accept) = wire::serve(addr, PROTOCOL_VERSION, Arc::new(deliver), spawn).await?;
    task::spawn(accept);
    Ok(())
}
