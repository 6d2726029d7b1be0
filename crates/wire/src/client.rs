//! The sending side.

use crate::{Error, Hello, InnerClient, MAX_MESSAGE_BYTES};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// An open connection to a peer.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: InnerClient,
    limit: Duration,
}

/// Connects to a peer and opens the connection with this hello.
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
        // Its error reaches each call that is open.
        let _ = dispatch.await;
    }));
    let peer = PeerClient { client: new.client, limit: ANSWER_TIMEOUT };
    let answer = peer.client.hello(context(ANSWER_TIMEOUT), hello).await;
    flatten(answer)?;
    Ok(peer)
}

impl PeerClient {
    /// The same client, which waits this long for each answer.
    pub fn with_timeout(mut self, limit: Duration) -> PeerClient {
        self.limit = limit;
        self
    }

    /// Delivers messages, in order.
    pub async fn deliver<M>(&self, messages: &[M]) -> Result<(), Error>
    where
        M: Serialize,
    {
        let batch = postcard::to_stdvec(messages).map_err(|e| Error::Rpc(e.to_string()))?;
        flatten(self.client.deliver(context(self.limit), batch).await)
    }
}

fn context(limit: Duration) -> Context {
    let mut cx = tarpc::context::current();
    cx.deadline = Instant::now() + limit;
    cx
}

fn flatten(answer: Result<Result<(), String>, tarpc::client::RpcError>) -> Result<(), Error> {
    match answer {
        Ok(Ok(())) => Ok(()),
        Ok(Err(cause)) => Err(Error::Refused(cause)),
        Err(cause) => Err(Error::Rpc(cause.to_string())),
    }
}
