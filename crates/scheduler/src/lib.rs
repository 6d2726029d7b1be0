//! The scheduler of a cell that runs staged jobs, as a state machine without I/O for one host.
//!
//! Hosts with a disk are members of one replicated group, which owns the configuration, the jobs
//! and the registered workers. The group's leader places tasks and sends orders to workers. All
//! other hosts forward clients' calls to the leader and call the advice service on its behalf.
//!
//! A [`Node`] handles an [`Input`] and returns [`Output`]s. [`Node::next_wakeup`] is the latest
//! time for its next step. The driver must carry out and sync all outputs for which
//! [`Output::is_durable`] holds before any other output of the same step.
//!
//! ```
//! use scheduler::{Input, Node, NodeConfigBuilder, StartState};
//! use std::time::Duration;
//!
//! let cfg = NodeConfigBuilder::new("10.0.0.1")
//!     .seeds(vec!["10.0.0.1".into()])
//!     .disk(true)
//!     .bootstrap(true)
//!     .build();
//! let mut node = Node::new(cfg, StartState { member: 1, process: 1, ..StartState::default() });
//! for second in 1..10 {
//!     node.step(Duration::from_secs(second), Input::Tick);
//! }
//! assert!(node.leads());
//! ```

mod account_stats;
mod admission;
mod advice;
mod advice_report;
mod call;
mod calls;
mod capacity_reports;
mod config;
mod config_changes;
mod config_delivery;
mod confirmation;
mod crashes;
mod demand;
mod duties;
mod fairness;
mod follower_reads;
mod gossip;
mod group;
mod io;
mod job_log;
mod joining;
mod leader;
mod learning;
mod message;
mod node;
mod outbox;
mod planning;
mod quota_waits;
mod reconfigure;
mod room;
mod run_traits;
mod stats;
mod votes;
mod worker_restart;
mod zones;

pub use account_stats::AccountStats;
pub use call::{Answer, Call, WorkerHeartbeat};
pub use capacity_reports::CapacityReport;
pub use config::{NodeConfig, NodeConfigBuilder, StartState};
pub use config_changes::{ConfigurationEnd, ConfigurationPart};
pub use dispatch::{AdviceUsage, CallReason};
pub use io::{Input, OrderEnvelope, Output};
pub use message::{Confirmation, HostHeartbeat, PeerMessage, PROTOCOL_VERSION};
pub use node::Node;
pub use outbox::Outbox;
pub use stats::NodeStats;
pub use votes::{next_vote_change, MemberView, VoteChange};
