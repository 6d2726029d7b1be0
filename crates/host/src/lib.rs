//! One entry host without I/O: everything that it decides.
//!
//! [`Host`] composes the replicated log, the state, placement, routing and membership. All that it
//! hears is an [`Input`]; all that it wants done is an [`Output`]; [`Host::next_wakeup`] says when
//! it must be stepped again. The daemon, the fuzzer and the experiments drive this same type.
//!
//! A driver keeps two rules. Outputs for which [`Output::is_durable`] holds are done and synced
//! before any other output of the same step. A restart drops the value and builds another from
//! what was synced.
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
mod duties;
mod gossip;
mod group;
mod heartbeat;
mod home;
#[allow(clippy::module_inception)]
mod host;
mod io;
mod leader;
mod message;
mod origin;
mod peers;
mod pressure;
mod proxy;
mod release;
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
