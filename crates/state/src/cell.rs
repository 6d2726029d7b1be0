//! The cell's state: the release and who asked for it.

use serde::{Deserialize, Serialize};
use types::{Release, ReleaseNote, SortedMap, Timestamp, Version};

/// Answers kept for operators who send a request again.
const KEPT_REQUESTS: usize = 4_096;

/// A change of the cell's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CellCommand {
    /// An operator sends a release note.
    Apply {
        /// The operator's id for this request; the same when it is sent again.
        request: String,
        /// The note.
        note: ReleaseNote,
        /// Digest of the note, in hex.
        digest: String,
        /// When.
        at: Timestamp,
    },
}

/// What became of a release note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// It is version `version` of the release.
    Accepted {
        /// The version that it made.
        version: Version,
        /// Digest of the note.
        digest: String,
    },
    /// Another note was first; nothing changed.
    Conflict {
        /// The version in force.
        version: Version,
        /// Digest of the note that made it.
        digest: String,
        /// The cause.
        message: String,
    },
    /// The note is wrong; nothing changed.
    Invalid {
        /// The cause, naming the field.
        message: String,
    },
    /// The request id came before with another note; nothing changed.
    RequestReused,
}

/// An answer that was given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Answered {
    digest: String,
    outcome: ApplyOutcome,
    /// Order of arrival, to forget the oldest.
    number: u64,
}

/// The replicated state of the whole cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CellState {
    release: Release,
    answered: SortedMap<String, Answered>,
    requests: u64,
}

impl CellState {
    /// The release in force.
    pub fn release(&self) -> &Release {
        &self.release
    }

    /// Applies a committed command.
    ///
    /// ```
    /// use state::{ApplyOutcome, CellCommand, CellState};
    /// let mut cell = CellState::default();
    /// let apply = |request: &str, digest: &str| CellCommand::Apply {
    ///     request: request.into(), note: Default::default(), digest: digest.into(),
    ///     at: Default::default(),
    /// };
    /// let first = cell.apply(apply("r1", "aa"));
    /// assert!(matches!(first, ApplyOutcome::Accepted { version: 1, .. }));
    /// // A race on the same base is lost; the winner's resend hears what it heard before.
    /// assert!(matches!(cell.apply(apply("r2", "bb")), ApplyOutcome::Conflict { version: 1, .. }));
    /// assert_eq!(cell.apply(apply("r1", "aa")), first);
    /// ```
    pub fn apply(&mut self, command: CellCommand) -> ApplyOutcome {
        let CellCommand::Apply { request, note, digest, at: _ } = command;
        if let Some(answered) = self.answered.get(&request) {
            return if answered.digest == digest {
                answered.outcome.clone()
            } else {
                ApplyOutcome::RequestReused
            };
        }
        let outcome = self.decide(&note, &digest);
        self.remember(request, digest, outcome.clone());
        outcome
    }

    fn decide(&mut self, note: &ReleaseNote, digest: &str) -> ApplyOutcome {
        if note.base != self.release.version {
            return ApplyOutcome::Conflict {
                version: self.release.version,
                digest: self.release.digest.clone(),
                message: format!(
                    "base: is {}, but version {} is in force",
                    note.base, self.release.version
                ),
            };
        }
        match self.release.apply(note, digest) {
            Ok(next) => {
                self.release = next;
                ApplyOutcome::Accepted { version: self.release.version, digest: digest.to_string() }
            }
            Err(message) => ApplyOutcome::Invalid { message },
        }
    }

    fn remember(&mut self, request: String, digest: String, outcome: ApplyOutcome) {
        self.requests += 1;
        let number = self.requests;
        self.answered.insert(request, Answered { digest, outcome, number });
        if self.answered.len() > KEPT_REQUESTS {
            let oldest = number - KEPT_REQUESTS as u64;
            self.answered.retain(|_, a| a.number > oldest);
        }
    }
}
