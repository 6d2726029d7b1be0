//! One host of a cell that runs staged jobs, without I/O: everything that it decides.
//!
//! Hosts with a disk are members of one replicated group, which owns the configuration, the jobs
//! and the workers' lives. The group's leader places tasks and gives orders to workers. All other
//! hosts hand callers' calls on to it, and make calls to the advice service on its behalf.
//!
//! All that a [`Node`] hears is an [`Input`], all that it wants done is an [`Output`], and
//! [`Node::next_wakeup`] says when it must be stepped again. A driver does and syncs the outputs
//! for which [`Output::is_durable`] holds before any other output of the same step.
//!
//! ```
//! use scheduler::{Input, Node, NodeConfigBuilder, StartState};
//! use std::time::Duration;
//!
//! let cfg = NodeConfigBuilder::new("10.0.0.1").seeds(vec!["10.0.0.1".into()]).disk(true).bootstrap(true).build();
//! let mut node = Node::new(cfg, StartState { member: 1, process: 1, ..StartState::default() });
//! for second in 1..10 {
//!     node.step(Duration::from_secs(second), Input::Tick);
//! }
//! assert!(node.leads());
//! ```

mod asking;
mod call;
mod calls;
mod config;
mod copies;
mod duties;
mod gossip;
mod group;
mod io;
mod leader;
mod message;
mod node;
mod planning;
mod rebirth;
mod repair;
mod zones;

pub use call::{Answer, Call, WorkerHeartbeat};
pub use config::{NodeConfig, NodeConfigBuilder, StartState};
pub use io::{Input, OrderEnvelope, Output};
pub use message::{HostHeartbeat, PeerMessage, PROTOCOL_VERSION};
pub use node::{Node, NodeStats};
