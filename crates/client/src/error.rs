//! Errors of [`Client`](crate::Client) calls.

use crate::Reply;
use quick_error::quick_error;

quick_error! {
    /// Why a call failed.
    #[derive(Debug)]
    pub enum Error {
        /// No connection could be opened; nothing was sent. Holds the address and the cause.
        Unreachable(addr: String, cause: String) {
            display("{}: not reachable: {}", addr, cause)
        }
        /// The request may have been sent, but no complete answer arrived. Holds the address and
        /// the cause.
        NoAnswer(addr: String, cause: String) {
            display("{}: no whole answer: {}", addr, cause)
        }
        /// The server answered with a status other than 2xx. Holds the status, the message of the
        /// JSON body (or, without one, a text of status and body), and the body.
        Refused(status: u16, message: String, body: String) {
            display("{}", message)
        }
        /// A body could not be serialized to JSON, or is not the expected JSON.
        Body(cause: String) {
            display("unexpected answer: {}", cause)
        }
    }
}

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The server was not reached and did nothing; another server may be tried.
    Unreachable,
    /// The call may or may not have been carried out. Making the same call again shows whether it
    /// was.
    Unknown,
    /// The server refused the call.
    Refused,
}

impl Error {
    /// Returns the category of the error. A refusal with status 504 is [`ErrorKind::Unknown`].
    pub fn kind(&self) -> ErrorKind {
        match self {
            Error::Unreachable(..) => ErrorKind::Unreachable,
            Error::NoAnswer(..) | Error::Body(_) => ErrorKind::Unknown,
            Error::Refused(504, ..) => ErrorKind::Unknown,
            Error::Refused(..) => ErrorKind::Refused,
        }
    }

    /// Returns the HTTP status of a refusal; `None` for other errors.
    pub fn status(&self) -> Option<u16> {
        match self {
            Error::Refused(status, ..) => Some(*status),
            _ => None,
        }
    }

    /// Creates the error of a response whose status is not that of a success.
    pub fn refused(reply: &Reply) -> Error {
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
