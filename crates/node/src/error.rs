//! Errors of the process.

use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;

quick_error! {
    /// Why the process can't run.
    #[derive(Debug)]
    pub enum Error {
        /// The port for other hosts can't be used.
        Peers(addr: SocketAddr, cause: wire::Error) {
            display("listening for other hosts on {}: {}", addr, cause)
            source(cause)
        }
        /// Signals can't be watched.
        Signals(cause: io::Error) {
            display("watching signals: {}", cause)
            source(cause)
        }
    }
}
