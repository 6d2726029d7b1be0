//! The common error type of replies to callers, workers, operators and peers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Category of a refusal; decides the HTTP status and the exit code of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// The input is invalid; sending it again can't succeed.
    BadInput,
    /// The input is larger than the limit.
    TooLarge,
    /// The token is missing or wrong.
    Forbidden,
    /// The addressed object does not exist.
    NotFound,
    /// The current state does not allow the change, for example because another came first.
    Conflict,
    /// The idempotency key was used before for a different request.
    KeyReused,
    /// The system is overloaded; the caller should retry after `retry_after`.
    Overloaded,
    /// The request can't be handled now and was not carried out.
    Unavailable,
    /// The request may or may not have been carried out; sending it again with the same id
    /// returns its result.
    Unknown,
}

/// A refused request, with a cause that tells the sender what to change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Category of the refusal.
    pub kind: RefusalKind,
    /// The cause, which starts with the field's path if a field is at fault.
    pub message: String,
    /// Time after which a retry may succeed; `None` if waiting does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    ///
    /// ```
    /// use types::{Refusal, RefusalKind};
    /// let r = Refusal::new(RefusalKind::NotFound, "job `night/sync` does not exist");
    /// assert_eq!(r.to_string(), "job `night/sync` does not exist");
    /// ```
    pub fn new<M>(kind: RefusalKind, message: M) -> Refusal
    where
        M: Into<String>,
    {
        Refusal { kind, message: message.into(), retry_after: None }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Refusal {}
