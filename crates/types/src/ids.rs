//! Ids and clock readings as aliases, so that signatures say what a value means.

use std::time::Duration;

/// An entry host, as named in settings.
pub type HostId = String;
/// An availability zone, as named in settings.
pub type ZoneName = String;
/// A worker, as it names itself.
pub type WorkerId = String;
/// An upstream's address, `ip:port`.
pub type UpstreamId = String;
/// A caller's team.
pub type TeamName = String;
/// A service that upstreams serve and callers ask for.
pub type ServiceName = String;
/// One job of one zone; never used again for another.
pub type JobId = u64;
/// Fencing number of one run of a task; grows with every placement in a zone.
pub type Fence = u64;
/// Counts the lives of a worker or an upstream; a later life has the larger number.
pub type Incarnation = u64;
/// One request and its answer, unique in the process that began it.
pub type ExchangeId = u64;
/// Version of the cell's release; grows by one with each accepted release note.
pub type Version = u64;
/// Random identity of one data folder; a wiped folder gets a new one.
pub type MemberId = u64;
/// A reading of the clock: time since the Unix epoch, never going back within one process.
pub type Timestamp = Duration;
