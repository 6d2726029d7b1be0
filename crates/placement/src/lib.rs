//! Task placement: which work starts next, and on which worker.
//!
//! A [`Planner`] holds views of the workers, jobs and runs in the replicated state and computes a
//! [`Plan`]: tasks to place, runs to stop, and jobs that will miss their deadline. It never changes
//! the state itself; the plan is proposed as commands and validated again when they are applied.
//! Planning is deterministic: the same views, seed and times give the same plan.
//!
//! Urgent work goes first and may preempt batch work. Services are spread over racks and never wait
//! behind batch work. Batch and all-at-once jobs are ordered by weighted dominant-resource fairness
//! between teams, with ageing, and by least laxity within a team. The first all-at-once job that
//! does not fit gets a reservation; other work may backfill the reserved workers only if it is
//! predicted to end before the reservation starts.
//!
//! The module [`steps`] places the steps of staged jobs.
//!
//! ```
//! use placement::{JobView, Planner, Policy, WorkerView};
//! use std::time::Duration;
//! use types::{JobClass, Resources};
//!
//! let capacity = Resources { cpu: 8_000, memory: 8 << 30, accelerators: 0 };
//! let mut planner = Planner::new(Policy::default(), 1);
//! planner.upsert_worker(WorkerView {
//!     id: "w1".into(), incarnation: 1, rack: "r1".into(), capacity, free: capacity, single: false,
//! });
//! let need = Resources { cpu: 1_000, memory: 1 << 30, accelerators: 0 };
//! planner.upsert_job(JobView::new(1, "planning", "sync", JobClass::Batch, need));
//! let plan = planner.plan(Duration::from_secs(1), 100);
//! assert_eq!(plan.placements.len(), 1);
//! ```

mod admit;
mod all_at_once;
mod estimate;
mod index;
mod planner;
mod policy;
mod preempt;
mod queue;
mod reservation;
pub mod speeds;
pub mod steps;
mod teams;
mod view;
mod workers;

pub use admit::{admit, ZoneCapacity};
pub use estimate::Estimates;
pub use planner::{Plan, PlannedTask, Planner};
pub use policy::{Policy, PolicyBuilder};
pub use view::{JobView, RunView, WorkerView};
