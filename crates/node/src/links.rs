//! Connections to other hosts: one sending task for each, opened on the first message.

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

/// Messages that wait for one host; beyond it they are lost, as a cut connection loses them.
const MAX_QUEUED: usize = 4_096;
/// Bytes that wait for one host; beyond it messages are lost like the others.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Messages in one batch.
const MAX_PER_BATCH: usize = 64;
/// Bytes after which a batch gets no more messages.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// Wait between attempts to connect.
const RECONNECT_AFTER: Duration = Duration::from_millis(100);
/// Longest wait for a connection.
const CONNECT_WITHIN: Duration = Duration::from_millis(700);
/// A connection on which a batch is not answered for this long is given up.
const ANSWER_WITHIN: Duration = Duration::from_millis(900);
/// A link that was not used for this long ends.
const IDLE: Duration = Duration::from_secs(30);

/// The queue of one link.
struct Queue {
    tx: Sender<PeerMessage>,
    /// Weight of the messages that wait.
    bytes: Arc<AtomicUsize>,
}

/// The links of one host.
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

    /// Sends, or loses the message when the other host can't keep up.
    pub(crate) fn send(&mut self, to: &HostId, message: PeerMessage) {
        let Some(queue) = self.queue(to) else { return };
        let weight = message.approx_size();
        if queue.bytes.load(Ordering::Relaxed) > MAX_QUEUED_BYTES {
            return;
        }
        queue.bytes.fetch_add(weight, Ordering::Relaxed);
        if queue.tx.try_send(message).is_err() {
            queue.bytes.fetch_sub(weight, Ordering::Relaxed);
        }
    }

    fn queue(&mut self, to: &HostId) -> Option<&Queue> {
        if self.queues.get(to).is_none_or(|queue| queue.tx.is_closed()) {
            let addr = match to.parse() {
                Ok(ip) => SocketAddr::new(ip, self.port),
                Err(e) => {
                    log::warn!(host = to.as_str(), cause:display = e; "not an IP address");
                    return None;
                }
            };
            let (tx, rx) = bounded(MAX_QUEUED);
            let bytes: Arc<AtomicUsize> = Arc::default();
            let (me, peer) = (self.me.clone(), to.clone());
            task::spawn(Link { me, peer, addr, rx, bytes: bytes.clone() }.run(self.stop.clone()));
            self.queues.insert(to.clone(), Queue { tx, bytes });
        }
        self.queues.get(to)
    }
}

struct Link {
    me: HostId,
    peer: HostId,
    addr: SocketAddr,
    rx: Receiver<PeerMessage>,
    bytes: Arc<AtomicUsize>,
}

impl Link {
    /// The next message that waits, if there is one.
    fn next_now(&self) -> Option<PeerMessage> {
        let message = self.rx.try_recv().ok()?;
        self.bytes.fetch_sub(message.approx_size(), Ordering::Relaxed);
        Some(message)
    }

    /// The next message; `None` when none comes for long.
    async fn next(&self) -> Option<PeerMessage> {
        let message = timeout(IDLE, self.rx.recv()).await.ok()?.ok()?;
        self.bytes.fetch_sub(message.approx_size(), Ordering::Relaxed);
        Some(message)
    }

    async fn run(self, stop: CancellationToken) {
        let mut reachable = true;
        while !stop.is_cancelled() {
            // Nothing is connected before there is something to send.
            let Some(first) = self.next().await else { break };
            match self.connect().await {
                Ok(client) => {
                    if !reachable {
                        log::info!(peer = self.peer.as_str(); "reachable again");
                    }
                    reachable = true;
                    self.pump(&client, first, &stop).await;
                }
                Err(cause) => {
                    if reachable {
                        log::warn!(peer = self.peer.as_str(), cause = cause.as_str();
                            "not reachable");
                    }
                    reachable = false;
                    task::sleep(RECONNECT_AFTER).await;
                }
            }
            // What waited for a broken connection is old by the time there is another.
            while self.next_now().is_some() {}
        }
    }

    async fn connect(&self) -> Result<PeerClient, String> {
        let hello = Hello { version: PROTOCOL_VERSION, host: self.me.clone() };
        let spawn = |connection| {
            task::spawn(connection);
        };
        match timeout(CONNECT_WITHIN, wire::connect(self.addr, hello, spawn)).await {
            Ok(Ok(client)) => Ok(client.with_timeout(ANSWER_WITHIN)),
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err("no answer in time".to_string()),
        }
    }

    async fn pump(&self, client: &PeerClient, first: PeerMessage, stop: &CancellationToken) {
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
            while batch.len() < MAX_PER_BATCH && bytes < MAX_BATCH_BYTES {
                let Some(message) = self.next_now() else { break };
                bytes += message.approx_size();
                batch.push(message);
            }
            if let Err(e) = client.deliver(&batch).await {
                log::warn!(peer = self.peer.as_str(), cause:display = e; "connection lost");
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
