//! The state of the whole cell: the release in force and recent requests to change it.

use serde::{Deserialize, Serialize};
use types::{Release, ReleaseNote, SortedMap, Timestamp, Version};

/// Number of requests whose outcome is kept, so that a resent request gets the same answer.
const MAX_KEPT_REQUESTS: usize = 4_096;

/// A command that changes the cell's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CellCommand {
    /// Applies a release note sent by an operator.
    Apply {
        /// Request id chosen by the operator; a resent request has the same id.
        request: String,
        /// The changes to apply to the release.
        note: ReleaseNote,
        /// Digest of the note, in hex.
        digest: String,
        /// The proposer's clock when the command was proposed.
        at: Timestamp,
    },
}

/// The outcome of a request to apply a release note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// The note was applied.
    Accepted {
        /// The release version that the note created.
        version: Version,
        /// Digest of the note.
        digest: String,
    },
    /// The note is based on a version that is no longer in force; nothing changed.
    Conflict {
        /// The release version in force.
        version: Version,
        /// Digest of the note that created the version in force.
        digest: String,
        /// The cause, for the operator.
        message: String,
    },
    /// The note is invalid; nothing changed.
    Invalid {
        /// The cause, with the name of the invalid field.
        message: String,
    },
    /// The request id was already used with another note; nothing changed.
    RequestReused,
}

/// The stored outcome of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct AnsweredRequest {
    digest: String,
    outcome: ApplyOutcome,
    /// Arrival number; the entries with the lowest ones are dropped first.
    seq: u64,
}

/// The replicated state of the whole cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CellState {
    release: Release,
    answered: SortedMap<String, AnsweredRequest>,
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
    /// // A second note on the same base conflicts; resending the first repeats its outcome.
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
        let outcome = self.apply_note(&note, &digest);
        self.store_outcome(request, digest, outcome.clone());
        outcome
    }

    fn apply_note(&mut self, note: &ReleaseNote, digest: &str) -> ApplyOutcome {
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

    fn store_outcome(&mut self, request: String, digest: String, outcome: ApplyOutcome) {
        self.requests += 1;
        let seq = self.requests;
        self.answered.insert(request, AnsweredRequest { digest, outcome, seq });
        if self.answered.len() > MAX_KEPT_REQUESTS {
            let oldest = seq - MAX_KEPT_REQUESTS as u64;
            self.answered.retain(|_, a| a.seq > oldest);
        }
    }
}
