//! Run times and machine speeds learned from finished runs.
//!
//! [`Learned`] is the replicated part: histograms of run times by queue and declared time, and the
//! speed of each worker. It changes only through [`Learned::apply`]. [`Observer`] is the leader's
//! part: it turns measured runs into [`Evidence`], and tells how fast a worker is from how long
//! the other tasks of a step took elsewhere.
//!
//! A run time is always that of a worker of speed 1. Durations are counted in buckets a quarter of a
//! doubling wide, in whole numbers, so that all hosts compute the same from the same log.

mod buckets;
mod evidence;
mod forecast;
mod histogram;
mod learned;
mod observer;

pub use evidence::{Evidence, RunTime, SpeedChange};
pub use forecast::Forecast;
pub use histogram::Histogram;
pub use learned::Learned;
pub use observer::{Measured, Observer};

/// Index of a queue.
pub type QueueIndex = u32;
