//! HTTP/1.1 server for clients that aren't trusted: bounds the memory, the connections and the time
//! that all of them together can take from a process.
//!
//! A request is received completely before it is handled. Bytes count against a budget as they
//! arrive, and until the answer is sent. [`connections::Ledger`] decides what happens beyond it.

mod chunked;
mod error;
mod head;
mod patience;
mod receive;
mod respond;
mod server;

pub use chunked::ChunkedDecoder;
pub use error::Error;
pub use head::{Framing, Head, HeadScanner};
pub use receive::ClientConnection;
pub use server::{listen, Handler, HeadCheck, Limits, RefusalResponse, ServerBuilder, Shutdown};
