//! The replicated state: what is so, once a command is committed.
//!
//! [`ZoneState`] holds one availability zone's workers, jobs, runs and idempotency records;
//! [`CellState`] holds the release. Both change only by [`ZoneState::apply`] and
//! [`CellState::apply`], which are deterministic: time comes in the command. Every promise about
//! state is checked here, where the command takes effect, because whoever proposed it may have
//! looked at older state.
//!
//! A *run* is one placement of one task, named by its fencing number. A task index of a job is at
//! any time waiting, in exactly one run, or finished, so it can't be in two places by construction.

mod adopt;
mod cell;
mod command;
mod job;
mod place;
mod record;
mod worker;
mod zone;

pub use cell::{ApplyOutcome, CellCommand, CellState};
pub use command::{
    Effects, EndedRun, InjectedBug, Placement, Reply, RunEnd, WorkerSpec, ZoneCommand, ZoneJob,
};
pub use job::{Job, JobStatus, Run};
pub use record::{Owner, Record, RecordAnswer, RecordPhase, StoredAnswer, StoredOutcome};
pub use worker::{Worker, WorkerStatus};
pub use zone::ZoneState;
