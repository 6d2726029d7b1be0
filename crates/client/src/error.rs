//! Errors of calls.

use crate::Reply;
use quick_error::quick_error;

quick_error! {
    /// Why a call brought nothing.
    #[derive(Debug)]
    pub enum Error {
        /// No connection; nothing was sent.
        Unreachable(addr: String, cause: String) {
            display("{}: not reachable: {}", addr, cause)
        }
        /// Something was sent, and no whole answer came back.
        NoAnswer(addr: String, cause: String) {
            display("{}: no whole answer: {}", addr, cause)
        }
        /// The server said no.
        Refused(status: u16, message: String, body: String) {
            display("{}", message)
        }
        /// A body is not the JSON that was expected.
        Body(cause: String) {
            display("unexpected answer: {}", cause)
        }
    }
}

/// The sort of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// Nothing was done; another server may be tried.
    Unreachable,
    /// It may have been done; the same call again tells.
    Unknown,
    /// The server said no.
    Refused,
}

impl Error {
    /// The sort of error.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Error::Unreachable(..) => ErrorKind::Unreachable,
            Error::NoAnswer(..) | Error::Body(_) => ErrorKind::Unknown,
            Error::Refused(504, ..) => ErrorKind::Unknown,
            Error::Refused(..) => ErrorKind::Refused,
        }
    }

    /// The HTTP status of a refusal.
    pub fn status(&self) -> Option<u16> {
        match self {
            Error::Refused(status, ..) => Some(*status),
            _ => None,
        }
    }

    pub(crate) fn refused(reply: &Reply) -> Error {
        let body = reply.text();
        let value: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        let message = value
            .pointer("/message")
            .or_else(|| value.pointer("/Conflict/message"))
            .and_then(|m| m.as_str())
            .map(str::to_string)
            .unwrap_or_else(|| format!("status {}: {}", reply.status, body.trim()));
        Error::Refused(reply.status, message, body)
    }
}
