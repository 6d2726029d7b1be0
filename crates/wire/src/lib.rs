//! The inner protocol: how entry hosts carry [`PeerMessage`]s to each other, by tarpc over TCP.
//!
//! A connection opens with `hello`, which names the protocol version and the sender; another
//! version is refused. After it `deliver` carries batches. Messages may get lost, doubled or
//! reordered with their connections, which is all that the host expects of them.

mod client;
mod error;
mod server;

use host::PeerMessage;
use types::HostId;

pub use client::{connect, say_hello, PeerClient};
pub use error::{Error, ErrorKind};
pub use server::{serve, Deliver};

/// Largest message on the inner port, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// What opens a connection.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hello {
    /// Version of the inner protocol.
    pub version: u32,
    /// The sender.
    pub host: HostId,
}

/// The service of an entry host towards others.
#[tarpc::service]
pub trait Inner {
    /// Opens a connection. The error says why it is refused.
    async fn hello(hello: Hello) -> Result<(), String>;
    /// Carries messages in order.
    async fn deliver(messages: Vec<PeerMessage>) -> Result<(), String>;
}
