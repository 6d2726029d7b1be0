//! Connections to other hosts: one sending task for each, opened on the first message.

use crate::handle::Handle;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use scheduler::{Input, PeerMessage, PROTOCOL_VERSION};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use types::{HostId, SortedMap};
use wire::{Hello, PeerClient};

/// Messages that wait for one host; beyond it they are lost, as a cut connection loses them.
const MAX_QUEUED: usize = 4_096;
/// Messages in one batch.
const MAX_PER_BATCH: usize = 64;
/// Wait between attempts to connect.
const RECONNECT_AFTER: Duration = Duration::from_millis(100);
/// Longest wait for a connection.
const CONNECT_WITHIN: Duration = Duration::from_millis(700);
/// A connection on which a batch is not answered for this long is given up.
const ANSWER_WITHIN: Duration = Duration::from_millis(900);
/// A link that was not used for this long ends.
const IDLE: Duration = Duration::from_secs(30);

/// The links of one host.
pub(crate) struct Links {
    me: HostId,
    port: u16,
    queues: SortedMap<HostId, Sender<PeerMessage>>,
    stop: CancellationToken,
}

impl Links {
    pub(crate) fn new(me: HostId, port: u16, stop: CancellationToken) -> Links {
        Links { me, port, queues: SortedMap::default(), stop }
    }

    /// Sends, or loses the message when the other host can't keep up.
    pub(crate) fn send(&mut self, to: &HostId, message: PeerMessage) {
        let Some(queue) = self.queue(to) else { return };
        if let Err(e) = queue.try_send(message) {
            if e.is_closed() {
                self.queues.remove(to);
            }
        }
    }

    fn queue(&mut self, to: &HostId) -> Option<&Sender<PeerMessage>> {
        if !self.queues.get(to).is_some_and(|queue| !queue.is_closed()) {
            let addr = match to.parse() {
                Ok(ip) => SocketAddr::new(ip, self.port),
                Err(e) => {
                    log::warn!(host = to.as_str(), cause:display = e; "not an IP address");
                    return None;
                }
            };
            let (tx, rx) = bounded(MAX_QUEUED);
            let link = Link { me: self.me.clone(), peer: to.clone(), addr, rx };
            task::spawn(link.run(self.stop.clone()));
            self.queues.insert(to.clone(), tx);
        }
        self.queues.get(to)
    }
}

struct Link {
    me: HostId,
    peer: HostId,
    addr: SocketAddr,
    rx: Receiver<PeerMessage>,
}

impl Link {
    async fn run(self, stop: CancellationToken) {
        let mut reachable = true;
        while !stop.is_cancelled() {
            // Nothing is connected before there is something to send.
            let Ok(Ok(first)) = timeout(IDLE, self.rx.recv()).await else { break };
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
            while self.rx.try_recv().is_ok() {}
        }
    }

    async fn connect(&self) -> Result<PeerClient, String> {
        let hello = Hello { version: PROTOCOL_VERSION, host: self.me.clone() };
        let spawn = |connection| {
            task::spawn(connection);
        };
        match timeout(CONNECT_WITHIN, wire::connect(self.addr, hello, spawn)).await {
            Ok(Ok(client)) => Ok(client.answer_within(ANSWER_WITHIN)),
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err("no answer in time".to_string()),
        }
    }

    async fn pump(&self, client: &PeerClient, first: PeerMessage, stop: &CancellationToken) {
        let mut next = Some(first);
        while !stop.is_cancelled() {
            let first = match next.take() {
                Some(first) => first,
                None => match timeout(IDLE, self.rx.recv()).await {
                    Ok(Ok(message)) => message,
                    _ => return,
                },
            };
            let mut batch = vec![first];
            while batch.len() < MAX_PER_BATCH {
                let Ok(message) = self.rx.try_recv() else { break };
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
pub(crate) async fn listen(addr: SocketAddr, handle: Handle) -> Result<(), wire::Error> {
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
