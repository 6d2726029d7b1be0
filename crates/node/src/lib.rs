//! Runs a [`scheduler::Node`] in a process: provides the clock, the disk and the connections
//! between hosts. Communication with callers, workers and operators is left to the application,
//! which sends inputs through an [`EngineHandle`] and receives outputs by [`OutputHandlers`].
//!
//! One thread, the engine, owns the node and its data directory. A disk failure does not end the
//! process: the host continues without its membership in the group and tries to open the data
//! directory again.

mod clock;
mod directory_log;
mod disk;
mod engine;
mod error;
mod handle;
mod links;
mod metrics;
mod signals;

pub use clock::Clock;
pub use directory_log::{DirectoryLog, Outage};
pub use engine::{start, EngineConfig, OutputHandlers, RunningEngine};
pub use error::Error;
pub use handle::{EngineHandle, EngineStatus};
pub use metrics::Metrics;
pub use signals::{watch_signals, Signal};
pub use wire::ServerLimits;
