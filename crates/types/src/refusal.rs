//! The one shape in which any part of the system says no to somebody outside.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Why something was refused; decides the HTTP status and the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// The input is wrong and stays wrong when sent again.
    BadInput,
    /// The input is larger than the limit.
    TooLarge,
    /// No token, or a wrong one.
    Forbidden,
    /// There is no such thing.
    NotFound,
    /// Somebody else was first, or the state does not allow it.
    Conflict,
    /// The same idempotency key came with another request.
    KeyReused,
    /// Too much work for now; come back after `retry_after`.
    Overloaded,
    /// It can't be done now, and it was not done.
    Unavailable,
    /// It may or may not have been done; send it again with the same id to find out.
    Unknown,
}

/// A refusal, with a cause a person can act on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The sort of refusal.
    pub kind: RefusalKind,
    /// The cause, naming the field where there is one.
    pub message: String,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of `kind` because of `message`.
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

    /// The same refusal with a time to come back.
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
