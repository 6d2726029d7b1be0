//! Server side of the peer protocol.

use crate::counted::{CountedStream, ReadingEnd};
use crate::{Error, Hello, Inner, MAX_MESSAGE_BYTES};
use connections::Connections;
use futures::future::BoxFuture;
use futures::StreamExt;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;
use types::HostId;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Callback that is given a peer's name and a batch of its messages. It must not block.
pub type MessageHandler<M> = Arc<dyn Fn(HostId, Vec<M>) + Send + Sync>;

struct Connection<M> {
    deliver: MessageHandler<M>,
    version: u32,
    /// Name of the peer, set by its hello.
    peer: Arc<OnceLock<HostId>>,
}

impl<M> Clone for Connection<M> {
    fn clone(&self) -> Self {
        let Connection { deliver, version, peer } = self;
        Connection { deliver: deliver.clone(), version: *version, peer: peer.clone() }
    }
}

impl<M> Inner for Connection<M>
where
    M: DeserializeOwned + Send + 'static,
{
    async fn hello(self, _: Context, hello: Hello) -> Result<(), String> {
        if hello.version != self.version {
            let (theirs, ours) = (hello.version, self.version);
            return Err(format!("version: {theirs} is not spoken here, only {ours}"));
        }
        let _ = self.peer.set(hello.host);
        Ok(())
    }

    async fn deliver(self, _: Context, batch: Vec<u8>) -> Result<(), String> {
        let Some(peer) = self.peer.get() else {
            return Err("hello: must come first".to_string());
        };
        let messages: Vec<M> = postcard::from_bytes(&batch).map_err(|e| format!("batch: {e}"))?;
        (self.deliver)(peer.clone(), messages);
        Ok(())
    }
}

/// What peers may take together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Memory for frames that are arriving, in bytes. Three quarters of it must hold the largest
    /// frame.
    pub memory: usize,
    /// Number of connections.
    pub connections: usize,
}

/// Listens for peers on `addr`. Returns the local address and a future that accepts connections
/// until it is dropped. `spawn` runs one task per connection.
///
/// # Errors
///
/// [`Error::Io`] if `addr` can't be bound.
pub async fn serve<M, F>(
    addr: SocketAddr,
    limits: ServerLimits,
    version: u32,
    deliver: MessageHandler<M>,
    spawn: F,
) -> Result<(SocketAddr, BoxFuture<'static, ()>), Error>
where
    M: DeserializeOwned + Send + 'static,
    F: Fn(BoxFuture<'static, ()>) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let local = listener.local_addr()?;
    let connections = Connections::new("peers", limits.memory);
    let address = connections.add_address(limits.connections);
    let accept = async move {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!(cause:display = e; "accepting a peer failed");
                    async_std::task::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let end = Arc::new(ReadingEnd::default());
            let ending = end.clone();
            let slot = match connections.open(address, Box::new(move || ending.end())).await {
                Ok(slot) => slot,
                Err(e) => {
                    connections.count_refusal(e.name(), &e);
                    continue;
                }
            };
            let stream = CountedStream::new(stream, slot, end);
            let mut codec = LengthDelimitedCodec::builder();
            let framed = codec.max_frame_length(MAX_MESSAGE_BYTES).new_framed(stream);
            let transport = serde_transport::new(framed, Bincode::default());
            let deliver = deliver.clone();
            let connection = Connection { deliver, version, peer: Arc::new(OnceLock::new()) };
            let requests = BaseChannel::with_defaults(transport).execute(connection.serve());
            // Requests are handled one at a time, so that messages keep their order.
            spawn(Box::pin(requests.for_each(|request| request)));
        }
    };
    Ok((local, Box::pin(accept)))
}
