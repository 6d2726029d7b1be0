//! The operators' command line: release notes, jobs, workers, status, reports.
//!
//! Exit codes: 0 done, 1 the cell refused, 2 the command line or a file is wrong, 3 no entry host
//! could be reached (nothing was done), 4 the outcome is unknown (send it again).

mod args;
mod burn;
mod error;
mod jobs;
mod output;
mod release;
mod run;
mod status;
mod target;

pub use error::{Error, ErrorKind};
pub use run::run;
