//! The receiving side.

use crate::{Error, Hello, Inner, MAX_MESSAGE_BYTES};
use futures::future::BoxFuture;
use futures::StreamExt;
use host::{PeerMessage, PROTOCOL_VERSION};
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use types::HostId;

/// What takes the messages of a peer; it must not block.
pub type Deliver = Arc<dyn Fn(HostId, Vec<PeerMessage>) + Send + Sync>;

#[derive(Clone)]
struct Connection {
    deliver: Deliver,
    /// Who said hello.
    peer: Arc<OnceLock<HostId>>,
}

impl Inner for Connection {
    async fn hello(self, _: Context, hello: Hello) -> Result<(), String> {
        if hello.version != PROTOCOL_VERSION {
            return Err(format!(
                "version: {} is not spoken here, only {PROTOCOL_VERSION}",
                hello.version
            ));
        }
        let _ = self.peer.set(hello.host);
        Ok(())
    }

    async fn deliver(self, _: Context, messages: Vec<PeerMessage>) -> Result<(), String> {
        let Some(peer) = self.peer.get() else {
            return Err("hello: must come first".to_string());
        };
        (self.deliver)(peer.clone(), messages);
        Ok(())
    }
}

/// Listens for peers until the returned future is dropped. `spawn` runs a task for each connection.
pub async fn serve<F>(
    addr: SocketAddr,
    deliver: Deliver,
    spawn: F,
) -> Result<(SocketAddr, BoxFuture<'static, ()>), Error>
where
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
            let connection =
                Connection { deliver: deliver.clone(), peer: Arc::new(OnceLock::new()) };
            let requests = BaseChannel::with_defaults(transport).execute(connection.serve());
            // One after another, so that messages keep their order.
            spawn(Box::pin(requests.for_each(|request| request)));
        }
    };
    Ok((local, Box::pin(accept)))
}
