//! Client side of the peer protocol.

use crate::{Error, Hello, InnerClient, MAX_MESSAGE_BYTES};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;

/// Timeout of the hello, and of other calls unless [`PeerClient::with_timeout`] sets another.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// An open connection to a peer.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: InnerClient,
    timeout: Duration,
}

/// Connects to a peer and sends `hello`. `spawn` runs the task that drives the connection.
///
/// # Errors
///
/// [`Error::Io`] if the TCP connection fails, [`Error::Rpc`] if the peer does not answer the hello
/// in time, [`Error::Refused`] if it speaks another protocol version.
pub async fn connect<F>(addr: SocketAddr, hello: Hello, spawn: F) -> Result<PeerClient, Error>
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
        // A dispatch error also fails every open call, which reports it.
        let _ = dispatch.await;
    }));
    let peer = PeerClient { client: new.client, timeout: DEFAULT_TIMEOUT };
    let answer = peer.client.hello(context(DEFAULT_TIMEOUT), hello).await;
    into_result(answer)?;
    Ok(peer)
}

impl PeerClient {
    /// Sets the timeout of each further call.
    pub fn with_timeout(mut self, timeout: Duration) -> PeerClient {
        self.timeout = timeout;
        self
    }

    /// Sends a batch of messages, which the peer handles in order, and waits until it has accepted
    /// them.
    pub async fn deliver<M>(&self, messages: &[M]) -> Result<(), Error>
    where
        M: Serialize,
    {
        let batch = postcard::to_stdvec(messages).map_err(|e| Error::Rpc(e.to_string()))?;
        into_result(self.client.deliver(context(self.timeout), batch).await)
    }
}

fn context(timeout: Duration) -> Context {
    let mut cx = tarpc::context::current();
    cx.deadline = Instant::now() + timeout;
    cx
}

fn into_result(answer: Result<Result<(), String>, tarpc::client::RpcError>) -> Result<(), Error> {
    match answer {
        Ok(Ok(())) => Ok(()),
        Ok(Err(cause)) => Err(Error::Refused(cause)),
        Err(cause) => Err(Error::Rpc(cause.to_string())),
    }
}
