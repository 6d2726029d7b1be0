//! Compares placement policies on the same workloads in virtual time.
//!
//! A [`Workload`] is a list of jobs with their actual run times, generated from a seed.
//! [`simulate`] runs it under a [`Scheduler`]: jobs arrive, tasks start where the scheduler places
//! them, and end after their actual run time. There is no network and there are no processes.
//!
//! `cargo run --release -p experiment --example placement` prints the tables of
//! `docs/design/placement.md`.

mod baseline;
mod measure;
mod policy;
mod workload;

pub use baseline::{easy_backfill, first_fit_fifo, random_fit};
pub use measure::{simulate, Outcome};
pub use policy::planner;
pub use workload::{Workload, WorkloadBuilder};

use std::time::Duration;
use types::{JobClass, JobId, Resources, Timestamp};

/// A job of a workload.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the job; ids are assigned from 1 in order of arrival.
    pub id: JobId,
    /// When the job is submitted.
    pub at: Timestamp,
    /// Team that owns the job.
    pub team: String,
    /// Class of the job, which determines how it is placed.
    pub class: JobClass,
    /// Whether the job goes before all others.
    pub urgent: bool,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub resources: Resources,
    /// Run time of a task as declared by the owner.
    pub estimate: Duration,
    /// Actual run time of a task; `None` for a service.
    pub actual: Option<Duration>,
    /// When the last task must have ended; `None` without a deadline.
    pub deadline: Option<Timestamp>,
}

/// A task to start: its job and the index of the worker.
pub type Start = (JobId, usize);

/// Tasks that start now, and numbers of the runs to stop.
pub type Decision = (Vec<Start>, Vec<u64>);

/// A placement policy, as callbacks that [`simulate`] calls in order of virtual time. A separate
/// closure for each call keeps the policies simple.
pub struct Scheduler<'a> {
    /// Name of the policy.
    pub name: &'static str,
    /// Handles the submission of a job.
    pub submit: Box<dyn FnMut(&Arrival) + 'a>,
    /// Handles the end of a run, given by its job, the index of its worker and its number. The flag
    /// tells whether the run completed or was stopped.
    pub ended: Box<dyn FnMut(JobId, usize, u64, Timestamp, bool) + 'a>,
    /// Decides which tasks start now and which runs are stopped.
    pub plan: Box<dyn FnMut(Timestamp) -> Decision + 'a>,
    /// Handles a planned start that took effect: the job, the index of the worker and the number of
    /// the run.
    pub started: Box<dyn FnMut(JobId, usize, u64, Timestamp) + 'a>,
}
