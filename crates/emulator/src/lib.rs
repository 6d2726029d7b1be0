//! A cell in virtual time under a day's load: the scheduler's real code, emulated workers, an
//! emulated advice service, and callers who hand jobs in and look when they are done.
//!
//! A [`Scenario`] says what is asked for: queues with their rates, widths, sizes and durations, and
//! the workers there are. [`simulate`] runs one day of it from a seed and returns a [`Summary`] of what
//! callers got. There are no processes, no network and no wall clock, so the same seed gives the
//! same day. What a leader's processor takes is modelled as a fixed time for each input and output.
//!
//! ```
//! use emulator::{simulate, Disturbances, Scenario};
//! use std::time::Duration;
//!
//! let mut sheet = Scenario::lead_desk().scaled_down(20.0);
//! sheet.arrival_period = Duration::from_secs(3);
//! let tally = simulate(&sheet, &Disturbances::default(), 1);
//! assert!(tally.queues.iter().map(|queue| queue.expected).sum::<u32>() > 0);
//! ```

mod advice;
mod load;
mod orders;
mod scenario;
mod simulation;
mod summary;
mod worker;

pub use load::{Arrival, Burst, Disturbances, ZonePartition};
pub use scenario::{LogNormal, QueueProfile, Scenario};
pub use simulation::simulate;
pub use summary::{QueueSummary, Summary};
