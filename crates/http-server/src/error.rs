//! Why a request is not received.

use http_types::StatusCode;
use quick_error::quick_error;
use std::time::Duration;

/// `retry-after` of a request that is refused for want of memory or connections.
const RETRY_AFTER: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a request is refused or its connection closed before the request was handled.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum Error {
        /// The client closed the connection before the request was complete.
        Ended {
            display("connection: ended before the request")
        }
        /// The connection failed.
        Io(e: std::io::Error) {
            display("connection: {e}")
            source(e)
            from()
        }
        /// The head is larger than the limit, in bytes.
        HeadTooLarge(limit: usize) {
            display("head: over {limit} bytes")
        }
        /// The head did not arrive in time.
        HeadLate {
            display("head: did not arrive in time")
        }
        /// The request is not valid HTTP/1.1. Names the part and the cause.
        Malformed(cause: String) {
            display("{cause}")
        }
        /// The body is larger than the limit, in bytes.
        BodyTooLarge(limit: u64) {
            display("body: over {limit} bytes")
        }
        /// No part of the body arrived for too long.
        BodyStalled {
            display("body: did not arrive in time")
        }
        /// There is no place or memory for the connection.
        Shortage(e: connections::Error) {
            display("{e}")
            source(e)
            from()
        }
    }
}

impl Error {
    /// Status of the response; `None` if there is nobody to respond to.
    ///
    /// ```
    /// use http_server::Error;
    ///
    /// assert_eq!(Error::HeadTooLarge(16_384).status(), Some(http_types::StatusCode::RequestHeaderFieldsTooLarge));
    /// ```
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Error::Ended | Error::Io(_) => None,
            Error::HeadTooLarge(_) => Some(StatusCode::RequestHeaderFieldsTooLarge),
            Error::HeadLate | Error::BodyStalled => Some(StatusCode::RequestTimeout),
            Error::Malformed(_) => Some(StatusCode::BadRequest),
            Error::BodyTooLarge(_) => Some(StatusCode::PayloadTooLarge),
            Error::Shortage(_) => Some(StatusCode::ServiceUnavailable),
        }
    }

    /// When the client may send the request again; `None` if it must change it first.
    pub fn retry_after(&self) -> Option<Duration> {
        let retry = self.status() == Some(StatusCode::ServiceUnavailable);
        retry.then_some(RETRY_AFTER)
    }

    /// Name of the cause in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Error::Ended => "ended",
            Error::Io(_) => "failed",
            Error::HeadTooLarge(_) => "head_too_large",
            Error::HeadLate => "head_late",
            Error::Malformed(_) => "malformed",
            Error::BodyTooLarge(_) => "body_too_large",
            Error::BodyStalled => "body_stalled",
            Error::Shortage(e) => e.name(),
        }
    }
}
