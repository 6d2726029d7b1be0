//! The process around a [`scheduler::Node`]: it keeps time, writes to the disk, and carries
//! messages between hosts. What speaks to callers, workers and operators is handed in as
//! [`OutputHandlers`].
//!
//! One thread, the engine, owns the node and its data folder. A disk that fails does not end the
//! process: the host goes on without its membership in the group and opens the folder again.

mod clock;
mod disk;
mod engine;
mod error;
mod handle;
mod links;
mod metrics;
mod signals;

pub use clock::Clock;
pub use engine::{start, EngineConfig, OutputHandlers, RunningEngine};
pub use error::Error;
pub use handle::{EngineHandle, EngineStatus};
pub use metrics::Metrics;
pub use signals::{watch_signals, Signal};
