//! The receiving side.

use crate::{Error, Hello, Inner, MAX_MESSAGE_BYTES};
use futures::future::BoxFuture;
use futures::StreamExt;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use types::HostId;

/// What takes the messages of a peer; it must not block.
pub type MessageHandler<M> = Arc<dyn Fn(HostId, Vec<M>) + Send + Sync>;

struct Connection<M> {
    deliver: MessageHandler<M>,
    version: u32,
    /// Who said hello.
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

/// Listens for peers until the returned future is dropped. `spawn` runs a task for each connection.
pub async fn serve<M, F>(
    addr: SocketAddr,
    version: u32,
    deliver: MessageHandler<M>,
    spawn: F,
) -> Result<(SocketAddr, BoxFuture<'static, ()>), Error>
where
    M: DeserializeOwned + Send + 'static,
    F: Fn(BoxFuture<'static, ()>) + Send + Sync + 'static,
{
    let mut listener = tarpc::serde_transport::tcp::listen(addr, Bincode::default).await?;
    listener.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
    let local = listener.local_addr();
    let accept = async move {
        while let Some(accepted) = listener.next().await {
            // What doesn't speak the protocol ends its own connection and nothing else.
            let Ok(transport) = accepted else { continue };
            let _ = transport.get_ref().set_nodelay(true);
            let deliver = deliver.clone();
            let connection = Connection { deliver, version, peer: Arc::new(OnceLock::new()) };
            let requests = BaseChannel::with_defaults(transport).execute(connection.serve());
            // One after another, so that messages keep their order.
            spawn(Box::pin(requests.for_each(|request| request)));
        }
    };
    Ok((local, Box::pin(accept)))
}
