//! Simulates a heavily loaded cell in virtual time. The scheduler is the real code; workers, the
//! advice service and callers are emulated.
//!
//! A [`Scenario`] describes the queues with their arrival rates and job sizes, and the workers.
//! [`simulate`] draws the jobs from a seed, runs the cell and returns a [`Summary`] of how many
//! jobs were completed on time and what that cost. There are no processes, no network and no wall
//! clock, so the same seed gives the same result. The leader's processing time is modelled as a
//! fixed time for each input and output.
//!
//! ```
//! use emulator::{simulate, Disturbances, Scenario};
//! use std::time::Duration;
//!
//! let mut scenario = Scenario::lead_desk().scaled_down(20.0);
//! scenario.arrival_period = Duration::from_secs(3);
//! let summary = simulate(&scenario, &Disturbances::default(), 1);
//! assert!(summary.queues.iter().map(|queue| queue.expected).sum::<u32>() > 0);
//! ```

mod accounts;
mod advice;
mod crowded;
mod heartbeats;
mod leader_loss;
mod load;
mod orders;
mod scenario;
mod simulation;
mod summary;
mod worker;

pub use load::{Arrival, Burst, Disturbances, Flood, WeightChange, ZonePartition};
pub use scenario::{AccountProfile, LogNormal, QueueProfile, Scenario};
pub use simulation::simulate;
pub use summary::{AccountSummary, QueueSummary, Summary};
