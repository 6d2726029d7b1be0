//! The sending side.

use crate::{Error, Hello, InnerClient, MAX_MESSAGE_BYTES};
use host::{PeerMessage, PROTOCOL_VERSION};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use types::HostId;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// An open connection to a peer.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: InnerClient,
}

/// Connects to a peer as the host `me`. `spawn` runs the connection's own task.
pub async fn connect<F>(addr: SocketAddr, me: &HostId, spawn: F) -> Result<PeerClient, Error>
where
    F: FnOnce(futures::future::BoxFuture<'static, ()>),
{
    say_hello(addr, Hello { version: PROTOCOL_VERSION, host: me.clone() }, spawn).await
}

/// Connects to a peer and opens the connection with this hello.
pub async fn say_hello<F>(addr: SocketAddr, hello: Hello, spawn: F) -> Result<PeerClient, Error>
where
    F: FnOnce(futures::future::BoxFuture<'static, ()>),
{
    let mut connecting = tarpc::serde_transport::tcp::connect(addr, Bincode::default);
    connecting.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
    let transport = connecting.await?;
    transport.get_ref().set_nodelay(true)?;
    let new = InnerClient::new(tarpc::client::Config::default(), transport);
    let dispatch = new.dispatch;
    spawn(Box::pin(async move {
        // Its error reaches each call that is open.
        let _ = dispatch.await;
    }));
    let peer = PeerClient { client: new.client };
    let answer = peer.client.hello(context(), hello).await;
    flatten(answer)?;
    Ok(peer)
}

impl PeerClient {
    /// Delivers messages, in order.
    pub async fn deliver(&self, messages: Vec<PeerMessage>) -> Result<(), Error> {
        flatten(self.client.deliver(context(), messages).await)
    }
}

fn context() -> Context {
    let mut cx = tarpc::context::current();
    cx.deadline = Instant::now() + ANSWER_TIMEOUT;
    cx
}

fn flatten(answer: Result<Result<(), String>, tarpc::client::RpcError>) -> Result<(), Error> {
    match answer {
        Ok(Ok(())) => Ok(()),
        Ok(Err(cause)) => Err(Error::Refused(cause)),
        Err(cause) => Err(Error::Rpc(cause.to_string())),
    }
}
