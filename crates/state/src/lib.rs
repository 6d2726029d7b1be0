//! The replicated state machines of a cell and its availability zones.
//!
//! [`ZoneState`] holds one availability zone's workers, jobs, runs and idempotency records;
//! [`CellState`] holds the release. Both change only through [`ZoneState::apply`] and
//! [`CellState::apply`], which are deterministic: the current time is part of the command. Every
//! invariant is checked when a command is applied, because the proposer may have decided on
//! older state.
//!
//! A *run* is one placement of one task, identified by its fencing token. At any time a task
//! index of a job is either waiting, in exactly one run, or finished, so a task is never in
//! two runs.

mod adopt;
mod cell;
mod command;
mod crashes;
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
