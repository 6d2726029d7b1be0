//! The decision logic of one entry host, as a state machine without I/O.
//!
//! [`Host`] combines the replicated log, the replicated state, placement, routing and upstream
//! membership. Every event reaches it as an [`Input`] and every effect leaves it as an [`Output`].
//! [`Host::next_wakeup`] returns the time at which it must be stepped again. The daemon, the fuzz
//! tests and the experiments all drive this type.
//!
//! A *cell* is a set of entry hosts in one or more availability zones that share one release. The
//! cell group replicates the release. Each zone has a group of its own, which replicates the zone's
//! workers, jobs and idempotency records.
//!
//! A driver must follow two rules:
//!
//! - Carry out and sync every output for which [`Output::is_durable`] returns true before any
//!   other output of the same step, and those before an [`Output::SaveRelease`] before that.
//! - On restart, drop the value and build a new one from what was synced.
//!
//! ```
//! use host::{Call, GroupCall, GroupId, Host, HostConfigBuilder, InitialMember, Input, StartState};
//! use std::time::Duration;
//!
//! let me = || vec![InitialMember { host: "a-1".into(), role: consensus::Role::Voter }];
//! let cfg = HostConfigBuilder::new("a-1", "zone-a")
//!     .group(GroupId::Cell, me())
//!     .group(GroupId::Zone("zone-a".into()), me())
//!     .build();
//! let mut host = Host::new(cfg, StartState { member: 1, process: 1, ..StartState::default() });
//! for second in 1..10 {
//!     host.step(Duration::from_secs(second), Input::Tick);
//! }
//! assert!(host.leads(&GroupId::Cell));
//! ```

mod call;
mod calls;
mod config;
mod drive;
mod gossip;
mod group;
mod heartbeat;
mod home;
#[allow(clippy::module_inception)]
mod host;
mod io;
mod leader;
mod leader_tasks;
mod message;
mod origin;
mod peers;
mod pressure;
mod proxy;
mod release;
mod repair;
mod views;

pub use consensus::InitialMember;

pub use call::{
    Answer, Call, GroupCall, GroupStatus, Heartbeat, HeartbeatResponse, HostStats, HostStatus,
    JobInfo, MemberStatus, PeerStatus, Preview, RunInfo, RunUsage, StartRun, UpstreamStatus,
    WorkerInfo, ZoneAnswer, ZoneCall,
};
pub use config::{HostConfig, HostConfigBuilder, InjectedBug, Peer, StartState};
pub use home::{home_zone_of_job, home_zone_of_key, zone_job};
pub use host::Host;
pub use io::{Input, Output, ServiceRequest};
pub use message::{GroupId, HostHeartbeat, PeerMessage, PROTOCOL_VERSION};
pub use pressure::{relieve_memory_pressure, DeclaredRun, PressureActions};
pub use proxy::parse_class;
