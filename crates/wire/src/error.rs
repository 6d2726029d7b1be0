//! Errors of the peer protocol.

use quick_error::quick_error;
use std::io;

quick_error! {
    /// Why a connection or a call to a peer failed.
    #[derive(Debug)]
    pub enum Error {
        /// A socket operation failed.
        Io(cause: io::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// The call was not answered in time, or the connection broke.
        Rpc(cause: String) {
            display("no answer: {}", cause)
        }
        /// The peer rejected the call; the text is its reason.
        Refused(cause: String) {
            display("refused: {}", cause)
        }
    }
}

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The connection can't be used any more.
    Connection,
    /// The peer rejected the call, for example because it speaks another protocol version.
    Refused,
}

impl Error {
    /// Returns the category of the error.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Error::Io(_) | Error::Rpc(_) => ErrorKind::Connection,
            Error::Refused(_) => ErrorKind::Refused,
        }
    }
}
