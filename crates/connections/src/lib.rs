//! Bounds what remote parties can take from a process: its connections, and the memory for what
//! they send and are sent.
//!
//! [`Ledger`] decides, without sockets or clock. [`Connections`] carries that out for the servers of
//! a process.

mod error;
mod ledger;
mod shared;

pub use error::Error;
pub use ledger::{
    AddressIndex, ConnectionId, Grant, Ledger, Opening, Stage, SMALL_REQUEST_BYTES, STALL_GRACE,
};
pub use shared::{Charge, Connections, EndReading, Slot, Stats};
