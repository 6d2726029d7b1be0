//! The peer protocol, by which hosts send messages to each other: tarpc over TCP.
//!
//! A connection starts with `hello`, which states the protocol version and the sender; a different
//! version is refused. After that, `deliver` carries batches of messages. The message type is up to
//! the two hosts. Across connections, messages may be lost, duplicated or reordered, and hosts must
//! tolerate that.

mod client;
mod counted;
mod error;
mod server;

use types::HostId;

pub use client::{connect, PeerClient};
pub use error::{Error, ErrorKind};
pub use server::{serve, MessageHandler, ServerLimits};

/// Largest frame of the peer protocol, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// First message on a connection.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u32,
    /// Name of the sender.
    pub host: HostId,
}

/// The service that each host offers to its peers.
#[tarpc::service]
pub trait Inner {
    /// Opens a connection. The error is the reason why the connection is refused.
    async fn hello(hello: Hello) -> Result<(), String>;
    /// Delivers a batch of messages, encoded with postcard, in order.
    async fn deliver(batch: Vec<u8>) -> Result<(), String>;
}
