//! Stand-ins for workers and upstreams, and a cell of entry host processes, for examples, tests and
//! benchmarks. This crate is not part of the product.
//!
//! Stand-ins use the published HTTP interfaces and record what they carried out in a [`Journal`].

mod cell;
mod journal;
mod ports;
mod upstream;
mod worker;

pub use cell::{Cell, CellBuilder, HostProcess};
pub use journal::{Execution, Journal, RunRecord};
pub use ports::free_addrs;
pub use upstream::{Behaviour, Upstream};
pub use worker::{Worker, WorkerOptions};
