//! Connections to other entry hosts: one sending task for each.

use async_std::channel::{bounded, Receiver, Sender};
use async_std::task;
use host::{Input, PeerMessage, PROTOCOL_VERSION};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use types::{HostId, SortedMap};
use wire::{Hello, PeerClient};

use crate::exchanges::EngineHandle;

/// Messages that wait for one peer; beyond it they are lost, as a cut connection loses them.
const MAX_QUEUED: usize = 4_096;
/// Messages in one call; each may be as large as one part of a snapshot.
const MAX_PER_CALL: usize = 12;
/// Wait between attempts to connect.
const RECONNECT_AFTER: Duration = Duration::from_millis(250);

/// Queues of the sending tasks.
#[derive(Clone, Default)]
pub(crate) struct PeerSenders {
    queues: Arc<SortedMap<HostId, Sender<PeerMessage>>>,
}

impl PeerSenders {
    /// Starts a task for each peer.
    pub(crate) fn start(
        me: &HostId,
        peers: &[(HostId, SocketAddr)],
        stop: &CancellationToken,
    ) -> PeerSenders {
        let queues = peers.iter().map(|(host, addr)| {
            let (tx, rx) = bounded(MAX_QUEUED);
            let sender = PeerTask { me: me.clone(), peer: host.clone(), addr: *addr, rx };
            task::spawn(sender.run(stop.clone()));
            (host.clone(), tx)
        });
        PeerSenders { queues: Arc::new(queues.collect()) }
    }

    /// Sends, or loses the message when the peer can't keep up.
    pub(crate) fn send(&self, to: &HostId, message: PeerMessage) {
        if let Some(queue) = self.queues.get(to) {
            let _ = queue.try_send(message);
        }
    }
}

struct PeerTask {
    me: HostId,
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
            let hello = Hello { version: PROTOCOL_VERSION, host: self.me.clone() };
            match wire::connect(self.addr, hello, spawn).await {
                Ok(client) => {
                    log::info!(peer = self.peer.as_str(); "connected");
                    reachable = true;
                    self.pump(&client, &stop).await;
                }
                Err(e) if reachable => {
                    reachable = false;
                    log::warn!(peer = self.peer.as_str(); "not reachable: {e}");
                }
                Err(_) => {}
            }
            // What waited for a broken connection is old by the time there is another.
            while self.rx.try_recv().is_ok() {}
            task::sleep(RECONNECT_AFTER).await;
        }
    }

    async fn pump(&self, client: &PeerClient, stop: &CancellationToken) {
        while !stop.is_cancelled() {
            let Ok(first) = self.rx.recv().await else { return };
            let mut batch = vec![first];
            while batch.len() < MAX_PER_CALL {
                let Ok(next) = self.rx.try_recv() else { break };
                batch.push(next);
            }
            if let Err(e) = client.deliver(&batch).await {
                log::warn!(peer = self.peer.as_str(); "connection lost: {e}");
                return;
            }
        }
    }
}

/// Listens for peers until the process ends.
pub(crate) async fn listen(addr: SocketAddr, handle: EngineHandle) -> Result<(), wire::Error> {
    let deliver = move |from: HostId, messages: Vec<PeerMessage>| {
        for message in messages {
            handle.input(Input::Peer(from.clone(), message));
        }
    };
    let spawn = |connection| {
        task::spawn(connection);
    };
    let (_, accept) = wire::serve(addr, PROTOCOL_VERSION, Arc::new(deliver), spawn).await?;
    task::spawn(accept);
    Ok(())
}
