//! Why a connection does not get a place or memory.

use quick_error::quick_error;

quick_error! {
    /// Why a connection does not get a place or memory.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The memory is in use.
        OutOfMemory {
            display("memory: in use by other requests")
        }
        /// The connection was closed in favour of others.
        Evicted {
            display("connection: closed, as others need its memory or its place")
        }
        /// All connections of the address are in use.
        TooManyConnections {
            display("connections: all in use")
        }
    }
}

impl Error {
    /// Name of the cause in metrics.
    ///
    /// ```
    /// assert_eq!(connections::Error::OutOfMemory.name(), "out_of_memory");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Error::OutOfMemory => "out_of_memory",
            Error::Evicted => "evicted",
            Error::TooManyConnections => "too_many_connections",
        }
    }
}
