//! The process of an entry host. It does the I/O and the timekeeping for [`host::Host`], which
//! makes all decisions.
//!
//! One thread, the engine, owns the host and its data directory. HTTP, peers and upstreams run as
//! async tasks that send inputs to the engine and wait for its outputs.
//!
//! Exit codes: 0 after a planned stop, 1 for a failure while running, 2 for an invalid command line
//! or invalid settings, 3 for an unusable data directory.

mod args;
mod bounded;
mod burn;
mod clock;
mod config;
mod engine;
mod error;
mod exchanges;
mod http;
mod logs;
mod metrics;
mod peers;
mod run;
mod upstreams;

pub use burn::{BurnTracker, ServiceBurn, WindowBurn};
pub use error::{Error, ErrorKind};
pub use run::run;
