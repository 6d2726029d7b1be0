//! Where and in which order work starts.
//!
//! A [`Planner`] mirrors what the replicated state says of workers, jobs and runs, and makes a
//! [`Plan`]: what to place, what to stop, what comes too late. It never changes the state itself;
//! the plan is proposed and checked again where it takes effect. The same views, seed and times
//! give the same plan.
//!
//! Urgent work goes first and may stop batch work. Services are spread over racks and never wait
//! behind batch work. Batch and all-at-once jobs share by dominant share and weight of their team,
//! older waits counting for more, and within a team by least laxity. The first all-at-once job
//! that does not fit gets a reservation, which other work may fill only as far as it ends in time.
//!
//! ```
//! use placement::{JobView, Planner, Policy, WorkerView};
//! use std::time::Duration;
//! use types::{JobClass, Resources};
//!
//! let room = Resources { cpu: 8_000, memory: 8 << 30, accelerators: 0 };
//! let mut planner = Planner::new(Policy::default(), 1);
//! planner.upsert_worker(WorkerView {
//!     id: "w1".into(), incarnation: 1, rack: "r1".into(), capacity: room, room, single: false,
//! });
//! let ask = Resources { cpu: 1_000, memory: 1 << 30, accelerators: 0 };
//! planner.upsert_job(JobView::new(1, "planning", "sync", JobClass::Batch, ask));
//! let plan = planner.plan(Duration::from_secs(1), 100);
//! assert_eq!(plan.placements.len(), 1);
//! ```

mod admit;
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
mod together;
mod view;
mod workers;

pub use admit::{admit, ZoneCapacity};
pub use estimate::Estimates;
pub use planner::{Plan, PlannedTask, Planner};
pub use policy::{Policy, PolicyBuilder};
pub use view::{JobView, RunView, WorkerView};
