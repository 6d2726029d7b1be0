//! Errors of the inner protocol.

use quick_error::quick_error;
use std::io;

quick_error! {
    /// Why a peer can't be talked to.
    #[derive(Debug)]
    pub enum Error {
        /// The connection failed.
        Io(cause: io::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// The call was not answered.
        Rpc(cause: String) {
            display("no answer: {}", cause)
        }
        /// The peer refused.
        Refused(cause: String) {
            display("refused: {}", cause)
        }
    }
}

/// The sort of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The connection is gone.
    Connection,
    /// The peer speaks another version or knows this host under another name.
    Refused,
}

impl Error {
    /// The sort of error.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Error::Io(_) | Error::Rpc(_) => ErrorKind::Connection,
            Error::Refused(_) => ErrorKind::Refused,
        }
    }
}
