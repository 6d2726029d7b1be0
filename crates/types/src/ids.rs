//! Type aliases for ids and times, which state in a signature what a value means.

use std::time::Duration;

/// Name of an entry host, from settings.
pub type HostId = String;
/// Name of an availability zone, from settings.
pub type ZoneName = String;
/// Name of a worker, chosen by the worker itself.
pub type WorkerId = String;
/// Address of an upstream, `ip:port`.
pub type UpstreamId = String;
/// Name of a team, which owns jobs and has a quota.
pub type TeamName = String;
/// Name of a client account, which submits staged jobs and has a share and a quota.
pub type AccountName = String;
/// Name of a service that upstreams serve and callers request.
pub type ServiceName = String;
/// Id of a job, unique in its zone and never reused.
pub type JobId = u64;
/// Fencing token of one run of a task; grows with every placement in a zone.
pub type Fence = u64;
/// Distinguishes restarts of a worker or an upstream; a later start has a larger number.
pub type Incarnation = u64;
/// Id of a request and its answer, unique in the process that started the exchange.
pub type ExchangeId = u64;
/// Version of the cell's release; increases by one with each accepted release note.
pub type Version = u64;
/// Random id of a data directory; a wiped directory gets a new id.
pub type MemberId = u64;
/// A clock reading as the time since the Unix epoch; monotonic within one process.
pub type Timestamp = Duration;
