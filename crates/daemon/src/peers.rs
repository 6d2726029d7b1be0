//! Connections to other entry hosts, with one sending task per peer.

use async_std::channel::{bounded, Receiver, Sender};
use async_std::task;
use host::{Input, PeerMessage, PROTOCOL_VERSION};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use types::{HostId, SortedMap};
use wire::{Hello, PeerClient, ServerLimits};

use crate::exchanges::EngineHandle;

/// Most messages queued for one peer. Beyond it they are lost, as with a broken connection.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Most messages in one call. Each may be as large as one chunk of a snapshot.
const MAX_MESSAGES_PER_CALL: usize = 12;
/// Memory for messages that are arriving, in bytes.
const PEER_MEMORY: usize = 2 * wire::MAX_MESSAGE_BYTES;
/// Connections for each host of the cell: an open one, and some that it has lost.
const CONNECTIONS_PER_HOST: usize = 4;
/// Connections that may be open in a cell of any size.
const MIN_CONNECTIONS: usize = 16;
/// Delay before a connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// Queues of the sending tasks, by peer. Cheap to clone.
#[derive(Clone, Default)]
pub(crate) struct PeerSenders {
    queues: Arc<SortedMap<HostId, Sender<PeerMessage>>>,
}

impl PeerSenders {
    /// Starts a sending task for each peer; the tasks end after `stop` is cancelled.
    pub(crate) fn start(
        own_host: &HostId,
        peers: &[(HostId, SocketAddr)],
        stop: &CancellationToken,
    ) -> PeerSenders {
        let queues = peers.iter().map(|(host, addr)| {
            let (tx, rx) = bounded(MAX_QUEUED_MESSAGES);
            let sender =
                PeerTask { own_host: own_host.clone(), peer: host.clone(), addr: *addr, rx };
            task::spawn(sender.run(stop.clone()));
            (host.clone(), tx)
        });
        PeerSenders { queues: Arc::new(queues.collect()) }
    }

    /// Queues a message. It is dropped if the peer's queue is full.
    pub(crate) fn send(&self, to: &HostId, message: PeerMessage) {
        if let Some(queue) = self.queues.get(to) {
            let _ = queue.try_send(message);
        }
    }
}

/// Sends queued messages to one peer.
struct PeerTask {
    own_host: HostId,
    peer: HostId,
    addr: SocketAddr,
    rx: Receiver<PeerMessage>,
}

impl PeerTask {
    async fn run(self, stop: CancellationToken) {
        let mut reachable = true;
        while !stop.is_cancelled() {
            let spawn = |connection| {
                task::spawn(connection);
            };
            let hello = Hello { version: PROTOCOL_VERSION, host: self.own_host.clone() };
            match wire::connect(self.addr, hello, spawn).await {
                Ok(client) => {
                    log::info!(peer = self.peer.as_str(); "peer connected");
                    reachable = true;
                    self.send_queued(&client, &stop).await;
                }
                Err(e) if reachable => {
                    reachable = false;
                    log::warn!(peer = self.peer.as_str(); "peer not reachable: {e}");
                }
                Err(_) => {}
            }
            // Messages queued for a broken connection are stale once there is a new one.
            while self.rx.try_recv().is_ok() {}
            task::sleep(RECONNECT_DELAY).await;
        }
    }

    async fn send_queued(&self, client: &PeerClient, stop: &CancellationToken) {
        while !stop.is_cancelled() {
            let Ok(first) = self.rx.recv().await else { return };
            let mut batch = vec![first];
            while batch.len() < MAX_MESSAGES_PER_CALL {
                let Ok(next) = self.rx.try_recv() else { break };
                batch.push(next);
            }
            if let Err(e) = client.deliver(&batch).await {
                log::warn!(peer = self.peer.as_str(); "peer connection lost: {e}");
                return;
            }
        }
    }
}

/// Binds the address for peers and starts a task that accepts their connections until the process
/// ends. Messages of peers are sent to the engine.
pub(crate) async fn listen(
    addr: SocketAddr,
    hosts: usize,
    handle: EngineHandle,
) -> Result<(), wire::Error> {
    let limits = ServerLimits {
        memory: PEER_MEMORY,
        connections: (CONNECTIONS_PER_HOST * hosts).max(MIN_CONNECTIONS),
    };
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
