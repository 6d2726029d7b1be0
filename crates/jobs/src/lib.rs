//! The replicated state of staged jobs: queues, jobs with their steps and tasks, worker lives.
//!
//! [`State::apply`] is the only way in which it changes, and every rule is checked there: a
//! command that was planned on an older state takes effect only as far as it still may. Nothing
//! here knows a clock or does I/O.
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
//! let request = JobRequest { steps: vec![StepSpec { count: 2, ..StepSpec::default() }], ..JobRequest::default() };
//! let at = Duration::from_secs(1);
//! state.apply(Command::Submit { id: 7, queue: address, request: Box::new(request), at });
//! assert_eq!(state.job(7).unwrap().steps_ready().count(), 1);
//! ```

mod command;
mod configuration;
mod job;
mod life;
mod model;
mod state;

pub use command::{Command, Effect, Reply};
pub use configuration::{
    AdvicePolicy, Configuration, QueueAddress, QueuePolicy, RequestLimits, ServicePolicy,
};
pub use job::{Job, Occurrence, Phase, Progress, StepState, Task};
pub use life::{Life, Run, WorkerInfo};
pub use model::{
    End, EndKind, InDoubtStart, JobRequest, LifeId, Placement, QueueId, ResourceVector, RunNumber,
    Schedule, StepRef, StepSpec, TaskRef, MAX_STEPS, MAX_TASKS_PER_STEP,
};
pub use state::State;
