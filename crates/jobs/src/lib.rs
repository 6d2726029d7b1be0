//! Replicated state machine for staged jobs: queues, jobs with their steps and tasks, and workers.
//!
//! [`State::apply`] is the only way to change the state. It validates every command again, so a
//! command that was planned on an older state takes effect only as far as it is still valid. The
//! state machine is deterministic: it reads no clock and does no I/O.
//!
//! Terms used throughout:
//!
//! - A *life* is one incarnation of a worker, from its start to its exit or crash.
//! - An *occurrence* is one execution of all steps of a job; only scheduled jobs have several.
//! - A *run* is one attempt to execute a task on a worker.
//! - A *gang* is a step whose tasks must all run at the same time.
//!
//! ```
//! use jobs::{Command, Configuration, JobRequest, QueueAddress, QueuePolicy, State, StepSpec};
//! use std::time::Duration;
//!
//! let address = QueueAddress { host: "a.example".into(), prefix: "/q/".into() };
//! let policy = QueuePolicy { service: "crunch".into(), attempts: 2, ..QueuePolicy::default() };
//! let configuration = Configuration {
//!     version: 1,
//!     queues: vec![(address.clone(), policy)],
//!     ..Configuration::default()
//! };
//! let mut state = State::default();
//! state.apply(Command::Configure { configuration: Box::new(configuration) });
//! let step = StepSpec { count: 2, ..StepSpec::default() };
//! let request = JobRequest { steps: vec![step], ..JobRequest::default() };
//! let (queue, request, at) = (address, Box::new(request), Duration::from_secs(1));
//! state.apply(Command::Submit { id: 7, queue, request, at, key: None, room: None });
//! assert_eq!(state.job(7).unwrap().steps_ready().count(), 1);
//! ```

mod codec;
mod command;
mod configuration;
mod crashes;
mod difference;
mod footprint;
mod job;
mod life;
mod model;
mod review;
pub mod sizes;
mod state;
mod tasks;
mod withdrawn;

pub use codec::DecodeError;
pub use command::{Command, Effect, Reply};
pub use configuration::{
    AdvicePolicy, Configuration, QueueAddress, QueuePolicy, RequestLimits, ServicePolicy,
    UnknownKey,
};
pub use crashes::{CrashedRun, TaskCrashes};
pub use difference::{difference, Difference};
pub use job::{Job, Occurrence, Phase, Progress, StepState, Task};
pub use life::{check_reported_millis, Life, Run, WorkerInfo, MAX_REPORTED_MILLIS};
pub use model::{
    End, EndKind, InDoubtStart, JobRequest, LifeId, Placement, QueueId, RunNumber, Schedule,
    StepRef, StepSpec, TaskRef, MAX_STEPS, MAX_TASKS_PER_STEP,
};
pub use review::{review, Finding, FindingKind};
pub use state::State;
pub use tasks::Tasks;
pub use types::ResourceVector;
