//! The process of an entry host: it moves bytes and keeps time; [`host::Host`] decides.
//!
//! One thread, the engine, owns the host and its data folder. HTTP, peers and upstreams run as
//! async tasks that hand the engine inputs and wait for its outputs.
//!
//! Exit codes: 0 after a planned stop, 1 when something failed while running, 2 for a command line
//! or settings that can't be used, 3 for a data folder that can't be used.

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
