//! Measures placement policies on the same workloads, in virtual time.
//!
//! A [`Workload`] is a list of jobs with their true run times, from a seed. [`simulate`] plays it
//! against a [`Scheduler`]: jobs arrive, tasks start where the scheduler says, and end after their
//! true run time. There is no network and there are no processes. `cargo run --release -p
//! experiment --example placement` prints the tables of `docs/design/placement.md`.

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
    /// Its number, growing with arrival.
    pub id: JobId,
    /// When it comes.
    pub at: Timestamp,
    /// Its team.
    pub team: String,
    /// Its class.
    pub class: JobClass,
    /// It goes before everything else.
    pub urgent: bool,
    /// How many tasks it has.
    pub tasks: u32,
    /// What each task asks for.
    pub resources: Resources,
    /// How long its tasks run, as its owner believes.
    pub estimate: Duration,
    /// How long they really run; `None` for a service.
    pub actual: Option<Duration>,
    /// When its last task must have ended.
    pub deadline: Option<Timestamp>,
}

/// A task to start: the job and the worker's index.
pub type Start = (JobId, usize);

/// What starts now, and which runs are stopped.
pub type Decision = (Vec<Start>, Vec<u64>);

/// What a policy is asked, in order. A closure for each keeps the policies plain.
pub struct Scheduler<'a> {
    /// The policy's name.
    pub name: &'static str,
    /// A job came.
    pub submit: Box<dyn FnMut(&Arrival) + 'a>,
    /// A task of the job ended, or was stopped, on a worker.
    pub ended: Box<dyn FnMut(JobId, usize, u64, Timestamp, bool) + 'a>,
    /// What starts now, and which runs are stopped.
    pub plan: Box<dyn FnMut(Timestamp) -> Decision + 'a>,
    /// A planned start took effect as run number so and so.
    pub started: Box<dyn FnMut(JobId, usize, u64, Timestamp) + 'a>,
}
