//! Calls to an entry host and their answers.

use membership::Announcement;
use routing::{ServiceStats, SlotGrant, SlotRequest, UpstreamStats};
use serde::{Deserialize, Serialize};
use state::{
    ApplyOutcome, JobStatus, Owner, RecordAnswer, RunEnd, StoredOutcome, WorkerSpec, WorkerStatus,
};
use std::time::Duration;
use types::{
    Fence, HostId, Incarnation, JobKey, JobSpec, MemberId, Refusal, Release, ReleaseNote,
    Resources, Timestamp, UpstreamId, Version, WorkerId, ZoneName,
};

/// A call from a caller, worker, upstream or operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// An upstream announces itself or renews its announcement.
    Announce(Announcement),
    /// An upstream leaves and takes no new requests.
    Leave {
        /// Address of the upstream.
        upstream: UpstreamId,
        /// The incarnation that leaves.
        incarnation: Incarnation,
    },
    /// Reads the release in force at this host.
    Release,
    /// Computes what a release note would change, without applying it.
    Preview(ReleaseNote),
    /// Reads the status of this host.
    Status,
    /// A call that the leader of one group answers.
    Group(GroupCall),
    /// A call that the leader of every zone answers.
    EachZone(ZoneCall),
}

/// A call that the leader of one group answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupCall {
    /// Registers a new incarnation of a worker.
    Register {
        /// What the worker reports.
        spec: WorkerSpec,
        /// First incarnation of the worker's process.
        first: Incarnation,
    },
    /// Renews a worker's lease and returns its instructions.
    Heartbeat(Heartbeat),
    /// Submits a job.
    Submit(JobSpec),
    /// Applies an operator's release note.
    ApplyRelease {
        /// The operator's id of the request. Repeating the request with the same id is safe.
        request: String,
        /// The changes to apply.
        note: ReleaseNote,
        /// Digest of the note.
        digest: String,
    },
    /// Acquires the record of an idempotency key before the request is sent.
    RecordBegin {
        /// The service and the caller's key, separated by a slash.
        key: String,
        /// Digest of the request, to detect a key reused for another request.
        digest: String,
        /// The exchange that acquires the record.
        owner: Owner,
    },
    /// Records the outcome of a request with an idempotency key.
    RecordFinish {
        /// The service and the caller's key, separated by a slash.
        key: String,
        /// The exchange that acquired the record.
        owner: Owner,
        /// The outcome, or `None` if the request did not run, which releases the key.
        outcome: Option<StoredOutcome>,
    },
    /// Requests and renews an entry host's slots of a zone's upstreams.
    RequestSlots {
        /// The zone of the upstreams.
        zone: ZoneName,
        /// The entry host that requests slots.
        host: HostId,
        /// Zone of the entry host.
        from: ZoneName,
        /// For each upstream, the slots that the host holds and wants.
        requests: Vec<SlotRequest>,
    },
    /// A call that the leader of the named zone answers.
    Zone(ZoneName, ZoneCall),
}

/// A call about the jobs and workers of one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ZoneCall {
    /// Cancels a job.
    Cancel(JobKey),
    /// Reads a job, with the reason why it waits.
    Explain(JobKey),
    /// Lists all jobs.
    Jobs,
    /// Lists all workers.
    Workers,
    /// Starts or ends draining a worker.
    DrainWorker {
        /// Name of the worker.
        worker: WorkerId,
        /// Whether the worker is excluded from new work.
        draining: bool,
    },
}

/// A worker's status report, sent at intervals to renew its lease.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Name of the worker.
    pub worker: WorkerId,
    /// The worker's incarnation, from its registration.
    pub incarnation: Incarnation,
    /// Runs that the worker has started and that have not ended.
    #[serde(default)]
    pub running: Vec<Fence>,
    /// The running ones that the worker is stopping.
    #[serde(default)]
    pub stopping: Vec<Fence>,
    /// Runs that have ended and whose end has not been acknowledged.
    #[serde(default)]
    pub ended: Vec<RunEnd>,
    /// Measured resource usage of the runs.
    #[serde(default)]
    pub usage: Vec<RunUsage>,
    /// Time since the usage was measured.
    #[serde(default, with = "types::quantity::duration")]
    pub usage_age: Duration,
    /// How long the answer may be held back while there is nothing new for the worker.
    #[serde(default, with = "types::quantity::duration")]
    pub wait: Duration,
}

/// Measured resource usage of one run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunUsage {
    /// Fencing token of the run.
    pub fence: Fence,
    /// Resources that the run uses.
    pub used: Resources,
}

/// A worker's renewed lease and its instructions. They are valid only while the lease lasts, which
/// is counted from when the worker sent its heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Length of the lease.
    #[serde(with = "types::quantity::duration")]
    pub lease: Duration,
    /// Tasks to start. A worker starts each fence at most once.
    pub start: Vec<StartRun>,
    /// Runs to stop after they have saved their progress. A run that was not started yet must not
    /// be started any more, and is reported as stopped.
    pub stop: Vec<Fence>,
    /// Runs to slow down.
    pub throttle: Vec<Fence>,
    /// Ended runs whose end is recorded, so that the worker need not report them again.
    pub acknowledged: Vec<Fence>,
}

/// A task to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartRun {
    /// Fencing token of the run.
    pub fence: Fence,
    /// The job that the task belongs to.
    pub job: JobKey,
    /// Index of the task in its job, unique within the cell.
    pub index: u32,
    /// Command line to run.
    pub command: Vec<String>,
    /// Resources that the run may use.
    pub resources: Resources,
}

/// Status of a job in one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobInfo {
    /// Specification of the job; its task count is that of this zone.
    pub spec: JobSpec,
    /// The zone that runs the job.
    pub zone: ZoneName,
    /// Status of the job.
    pub status: JobStatus,
    /// Version of the release that declared the job, or `None` if it was submitted.
    pub declared: Option<Version>,
    /// Number of tasks that wait to be placed.
    pub waiting: u32,
    /// Runs that have not ended.
    pub runs: Vec<RunInfo>,
    /// Number of tasks that succeeded.
    pub succeeded: u32,
    /// Number of tasks that failed and are not retried.
    pub failed: u32,
    /// Number of unrepeatable tasks that may have run.
    pub unknown: u32,
    /// Whether the job can no longer meet its deadline.
    pub late: bool,
    /// Time from submission to the start of the last task.
    pub waited: Option<Duration>,
    /// Why the job waits or failed, for people to read.
    pub reason: String,
}

/// A run that has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunInfo {
    /// Fencing token of the run.
    pub fence: Fence,
    /// Index of the task in its job.
    pub index: u32,
    /// The worker that the run was placed on.
    pub worker: WorkerId,
    /// Whether the run was asked to stop.
    pub stopping: bool,
}

/// Status of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Rack that the worker is in.
    pub rack: String,
    /// Whether the worker gets new work.
    pub status: WorkerStatus,
    /// Time left in which the worker gets no new work because too many of its runs failed.
    pub quarantined_for: Option<Duration>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources reserved for the worker's runs.
    pub used: Resources,
    /// Number of runs placed on the worker.
    pub runs: usize,
}

/// Status of a group, as one of its members sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name of the group: `cell`, or `zone-` and the zone.
    pub group: String,
    /// Current term of the log.
    pub term: u64,
    /// The host that leads the group, if known.
    pub leader: Option<HostId>,
    /// Members of the group.
    pub members: Vec<MemberStatus>,
    /// Index of the last committed entry.
    pub commit: u64,
    /// Index of the last entry in the latest snapshot.
    pub snapshot: u64,
}

/// One member of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identity of the member's data directory.
    pub id: MemberId,
    /// Name of the entry host.
    pub host: HostId,
    /// `Voter`, `Witness` or `Learner`.
    pub role: String,
    /// Index of the last entry known to match the leader's log; known only to the leader, and to
    /// each host for itself.
    pub matched: Option<u64>,
}

/// Another entry host, as this one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the entry host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Time since its last message, or `None` if there was none since the start.
    pub silent_for: Option<Duration>,
    /// Version of the release in force at that host.
    pub release: Version,
    /// Whether that host is being stopped.
    pub draining: bool,
}

/// Status of an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the entry host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Whether the load balancer may send requests to this host.
    pub ready: bool,
    /// Why the host is not ready; empty if it is.
    pub not_ready_because: String,
    /// Version of the release in force at this host.
    pub release: Version,
    /// Digest of the release note that created this version.
    pub release_digest: String,
    /// Groups that this host is a member of.
    pub groups: Vec<GroupStatus>,
    /// Groups that wait for all their initial members before they are formed.
    pub forming: Vec<String>,
    /// The other entry hosts.
    pub peers: Vec<PeerStatus>,
    /// Upstreams to which this host may route requests.
    pub upstreams: Vec<UpstreamStatus>,
    /// Number of requests that are queued or in flight at this host.
    pub open_requests: usize,
}

/// Status of one upstream, as this host sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Address of the upstream.
    pub upstream: UpstreamId,
    /// Service that the upstream serves.
    pub service: String,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Number of requests in flight from this host.
    pub in_flight: u32,
    /// Maximum number of requests in flight from this host.
    pub limit: u32,
    /// Whether the upstream is ejected because too many of its requests failed.
    pub ejected: bool,
}

impl From<UpstreamStats> for UpstreamStatus {
    fn from(stats: UpstreamStats) -> UpstreamStatus {
        UpstreamStatus {
            upstream: stats.info.id,
            service: stats.info.service,
            zone: stats.info.zone,
            in_flight: stats.in_flight,
            limit: stats.limit,
            ejected: stats.ejected,
        }
    }
}

/// What a release note would change. Computing it changes nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Preview {
    /// Version of the release in force.
    pub base: Version,
    /// Version that the note would create.
    pub version: Version,
    /// Descriptions of the changes, one line each.
    pub changes: Vec<String>,
}

/// The answer of one zone to a call to every zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneAnswer {
    /// The zone that answered.
    pub zone: ZoneName,
    /// The answer, or why there is none.
    pub answer: Result<Box<Answer>, Refusal>,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The call was carried out and returns nothing.
    Done,
    /// The worker is registered; each heartbeat renews its lease for this long.
    Registered(#[serde(with = "types::quantity::duration")] Duration),
    /// A worker's renewed lease and instructions.
    Heartbeat(HeartbeatResponse),
    /// The requested job.
    Job(Box<JobInfo>),
    /// All jobs of a zone.
    Jobs(Vec<JobInfo>),
    /// All workers of a zone.
    Workers(Vec<WorkerInfo>),
    /// Result of applying a release note.
    Applied(ApplyOutcome),
    /// The release in force.
    Release(Box<Release>),
    /// What a release note would change.
    Preview(Preview),
    /// State of an idempotency record.
    Record(RecordAnswer),
    /// Granted slots of upstreams.
    Grants(Vec<SlotGrant>),
    /// Status of a host.
    Status(Box<HostStatus>),
    /// The answers of all zones, sorted by zone.
    Zones(Vec<ZoneAnswer>),
}

/// Counters and gauges of one host, for metrics.
#[derive(Clone, Debug, Default)]
pub struct HostStats {
    /// Placements that this host made as a zone leader since its start.
    pub placements: u64,
    /// Runs preempted for urgent jobs since the start.
    pub preemptions: u64,
    /// Jobs found unable to meet their deadline since the start.
    pub late_jobs: u64,
    /// Workers declared lost since the start.
    pub workers_lost: u64,
    /// Queues and latencies of each service.
    pub services: Vec<ServiceStats>,
    /// Jobs with waiting tasks in this host's zone; 0 if this host does not lead it.
    pub waiting_jobs: usize,
    /// Version of the release in force.
    pub release: Version,
    /// Requests that are queued or in flight.
    pub open_requests: usize,
    /// Term of the group of this host's zone; 0 if this host is not a member.
    pub zone_term: u64,
    /// Whether this host leads the group of its zone.
    pub leads_zone: bool,
    /// Whether this host leads the cell group.
    pub leads_cell: bool,
    /// `urgent` or the job class, and the waiting time, of each task placed since the last reading.
    pub waits: Vec<(String, Duration)>,
    /// Services with a latency objective, and the time within which an answer counts as good.
    pub objectives: Vec<(String, Duration)>,
    /// Whether a planned stop may end.
    pub drained: bool,
    /// Time of this reading.
    pub at: Timestamp,
}
