//! The inner protocol: how hosts carry messages to each other, by tarpc over TCP.
//!
//! A connection opens with `hello`, which names the protocol version and the sender; another
//! version is refused. After it `deliver` carries batches of whatever message type the two hosts
//! speak. Messages may get lost, doubled or
//! reordered with their connections, which is all that the host expects of them.

mod client;
mod error;
mod server;

use types::HostId;

pub use client::{connect, PeerClient};
pub use error::{Error, ErrorKind};
pub use server::{serve, MessageHandler};

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
    /// Carries an encoded batch of messages, in order.
    async fn deliver(batch: Vec<u8>) -> Result<(), String>;
}
