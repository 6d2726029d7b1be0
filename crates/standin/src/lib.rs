//! Small stand-ins for what is outside ebonywalk: workers, upstreams, and a cell of processes.
//!
//! They speak the published interfaces and keep journals of what really happened, for examples,
//! tests and benches. They are not part of the product.

mod cell;
mod journal;
mod upstream;
mod worker;

pub use cell::{Cell, CellBuilder, HostProcess};
pub use journal::{Execution, Journal, RunRecord};
pub use upstream::{Behaviour, Upstream};
pub use worker::{Worker, WorkerOptions};
