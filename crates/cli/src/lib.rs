//! The operators' command line, `ebonywalk`: release notes, jobs, workers, status and reports.
//!
//! Exit codes: 0 for success, 1 if the cell refused, 2 for an invalid command line or file, 3 if no
//! entry host could be reached (nothing was done), 4 if the outcome is unknown (the same command
//! can be run again).

mod args;
mod burn;
mod config;
mod error;
mod jobs;
mod output;
mod release;
mod run;
mod status;
mod target;

pub use error::{Error, ErrorKind};
pub use run::run;
