//! Errors of the process.

use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;

quick_error! {
    /// Why the process can't start.
    #[derive(Debug)]
    pub enum Error {
        /// Listening for other hosts failed.
        Peers(addr: SocketAddr, cause: wire::Error) {
            display("listening for other hosts on {}: {}", addr, cause)
            source(cause)
        }
        /// Installing the signal handlers failed.
        Signals(cause: io::Error) {
            display("watching signals: {}", cause)
            source(cause)
        }
    }
}
