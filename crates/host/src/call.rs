//! What can be asked of an entry host, and what it answers.

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

/// A call from outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// An upstream announces or renews itself.
    Announce(Announcement),
    /// An upstream leaves.
    Leave {
        /// The upstream.
        upstream: UpstreamId,
        /// Its life.
        incarnation: Incarnation,
    },
    /// The release in force at this host.
    Release,
    /// What a release note would change.
    Preview(ReleaseNote),
    /// How this host stands.
    Status,
    /// A call that one group answers.
    Group(GroupCall),
    /// A call that every zone answers.
    EachZone(ZoneCall),
}

/// A call that the leader of one group answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupCall {
    /// A worker starts a life.
    Register(WorkerSpec),
    /// A worker renews its lease and hears what to do.
    Heartbeat(Heartbeat),
    /// A job comes in.
    Submit(JobSpec),
    /// An operator sends a release note.
    ApplyRelease {
        /// The operator's id for the request.
        request: String,
        /// The note.
        note: ReleaseNote,
        /// Digest of the note.
        digest: String,
    },
    /// An entry host is about to send a request with an idempotency key.
    RecordBegin {
        /// The key, with its service.
        key: String,
        /// Digest of the request.
        digest: String,
        /// The exchange that asks.
        owner: Owner,
    },
    /// An entry host has the outcome of such a request.
    RecordFinish {
        /// The key, with its service.
        key: String,
        /// The exchange that asked.
        owner: Owner,
        /// The outcome, or `None` when it did not run.
        outcome: Option<StoredOutcome>,
    },
    /// An entry host renews its shares of a zone's upstreams.
    RequestSlots {
        /// The zone.
        zone: ZoneName,
        /// The entry host.
        host: HostId,
        /// The entry host's zone.
        from: ZoneName,
        /// What it holds and wants.
        requests: Vec<SlotRequest>,
    },
    /// A call that the leader of the named zone answers.
    Zone(ZoneName, ZoneCall),
}

/// A call about one zone's work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ZoneCall {
    /// A job goes.
    Cancel(JobKey),
    /// How a job stands, and why it waits.
    Explain(JobKey),
    /// All jobs.
    Jobs,
    /// All workers.
    Workers,
    /// Whether a worker gets new work.
    DrainWorker {
        /// The worker.
        worker: WorkerId,
        /// True when it gets none.
        draining: bool,
    },
}

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// The worker.
    pub worker: WorkerId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Runs that it has started and that have not ended.
    #[serde(default)]
    pub running: Vec<Fence>,
    /// Those of them that it is stopping.
    #[serde(default)]
    pub stopping: Vec<Fence>,
    /// Runs that ended and were not acknowledged.
    #[serde(default)]
    pub ended: Vec<RunEnd>,
    /// What runs really use.
    #[serde(default)]
    pub usage: Vec<RunUsage>,
    /// How old the usage is.
    #[serde(default, with = "types::quantity::duration")]
    pub usage_age: Duration,
    /// How long the answer may be held back while there is nothing to say.
    #[serde(default, with = "types::quantity::duration")]
    pub wait: Duration,
}

/// What one run really uses.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunUsage {
    /// The run.
    pub fence: Fence,
    /// What it uses.
    pub used: Resources,
}

/// What a worker is to do. It holds only while the lease that comes with it lasts, counted from
/// when the worker sent its heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The lease.
    #[serde(with = "types::quantity::duration")]
    pub lease: Duration,
    /// Tasks to start, each once for its fence.
    pub start: Vec<StartRun>,
    /// Runs to stop, saving their progress. One that was never started is never to be started,
    /// and reported as stopped.
    pub stop: Vec<Fence>,
    /// Runs to slow down.
    pub throttle: Vec<Fence>,
    /// Ends that are recorded and need not be said again.
    pub acknowledged: Vec<Fence>,
}

/// A task to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartRun {
    /// The run.
    pub fence: Fence,
    /// The job.
    pub job: JobKey,
    /// Which of the job's tasks.
    pub index: u32,
    /// What to run.
    pub command: Vec<String>,
    /// What it may use.
    pub resources: Resources,
}

/// How a job stands in one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobInfo {
    /// The job.
    pub spec: JobSpec,
    /// The zone that has it.
    pub zone: ZoneName,
    /// Where it stands.
    pub status: JobStatus,
    /// The release that declares it, if one does.
    pub declared: Option<Version>,
    /// Tasks that wait.
    pub waiting: u32,
    /// Live runs.
    pub runs: Vec<RunInfo>,
    /// Tasks that succeeded.
    pub succeeded: u32,
    /// Tasks that failed for good.
    pub failed: u32,
    /// Unrepeatable tasks that may have run.
    pub unknown: u32,
    /// It can't meet its deadline any more.
    pub late: bool,
    /// Time from submission to the start of the last task.
    pub waited: Option<Duration>,
    /// Why it waits or failed, in words.
    pub reason: String,
}

/// A live run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunInfo {
    /// The run.
    pub fence: Fence,
    /// Which of the job's tasks.
    pub index: u32,
    /// Where it runs.
    pub worker: WorkerId,
    /// It was asked to stop.
    pub stopping: bool,
}

/// How a worker stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: String,
    /// Whether it gets work.
    pub status: WorkerStatus,
    /// It failed so much that it gets nothing for this long.
    pub quarantined_for: Option<Duration>,
    /// What it can hold.
    pub capacity: Resources,
    /// What its runs hold.
    pub used: Resources,
    /// How many runs it has.
    pub runs: usize,
}

/// How one group stands, as one of its members sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group's name.
    pub group: String,
    /// Its term.
    pub term: u64,
    /// The host that leads, where known.
    pub leader: Option<HostId>,
    /// Members: host, role, and last entry known to match, where this host leads.
    pub members: Vec<MemberStatus>,
    /// Last entry that is committed.
    pub commit: u64,
    /// Last entry of the latest snapshot.
    pub snapshot: u64,
}

/// One member of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identity of its data folder.
    pub id: MemberId,
    /// The entry host.
    pub host: HostId,
    /// `Voter`, `Witness` or `Learner`.
    pub role: String,
    /// Last entry known to match.
    pub matched: Option<u64>,
}

/// Another entry host, as this one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The entry host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneName,
    /// Time since it was last heard; `None` when never.
    pub silent_for: Option<Duration>,
    /// The release in force there.
    pub release: Version,
    /// It is being stopped.
    pub draining: bool,
}

/// How an entry host stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The entry host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether the balancer may send requests.
    pub ready: bool,
    /// Why not, in words.
    pub not_ready_because: String,
    /// The release in force here.
    pub release: Version,
    /// Digest of the note that made it.
    pub release_digest: String,
    /// Groups that this host is a member of.
    pub groups: Vec<GroupStatus>,
    /// Groups that wait for their members to come for the first time.
    pub forming: Vec<String>,
    /// The other entry hosts.
    pub peers: Vec<PeerStatus>,
    /// Upstreams: address, service, zone, requests under way, limit, set aside.
    pub upstreams: Vec<UpstreamStatus>,
    /// Requests that wait or are under way here.
    pub open_requests: usize,
}

/// One upstream in a status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Its address.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests under way from here.
    pub in_flight: u32,
    /// Requests that may be under way from here.
    pub limit: u32,
    /// It is set aside for failing.
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

/// What changes when a note is applied, in words; nothing has changed yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Preview {
    /// The version in force.
    pub base: Version,
    /// The version that the note would make.
    pub version: Version,
    /// One line a change.
    pub changes: Vec<String>,
}

/// What one zone answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneAnswer {
    /// The zone.
    pub zone: ZoneName,
    /// Its answer, or why there is none.
    pub answer: Result<Box<Answer>, Refusal>,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// It is done.
    Done,
    /// The worker is registered, with the lease that each heartbeat brings.
    Registered(#[serde(with = "types::quantity::duration")] Duration),
    /// What a worker is to do.
    Heartbeat(HeartbeatResponse),
    /// A job.
    Job(Box<JobInfo>),
    /// Jobs.
    Jobs(Vec<JobInfo>),
    /// Workers.
    Workers(Vec<WorkerInfo>),
    /// What became of a release note.
    Applied(ApplyOutcome),
    /// The release.
    Release(Box<Release>),
    /// What a release note would change.
    Preview(Preview),
    /// An idempotency record.
    Record(RecordAnswer),
    /// Shares of upstreams.
    Grants(Vec<SlotGrant>),
    /// How a host stands.
    Status(Box<HostStatus>),
    /// What each zone answered.
    Zones(Vec<ZoneAnswer>),
}

/// Counts and gauges of one host, for metrics.
#[derive(Clone, Debug, Default)]
pub struct HostStats {
    /// Placements made by this host as leader.
    pub placements: u64,
    /// Runs stopped for urgent work.
    pub preemptions: u64,
    /// Jobs that were found to come too late.
    pub late_jobs: u64,
    /// Workers lost.
    pub workers_lost: u64,
    /// Services and their queues.
    pub services: Vec<ServiceStats>,
    /// Jobs that wait in the zone led by this host.
    pub waiting_jobs: usize,
    /// The release in force.
    pub release: Version,
    /// Requests that wait or are under way.
    pub open_requests: usize,
    /// Term of the zone's group, where this host is a member.
    pub zone_term: u64,
    /// Whether this host leads its zone.
    pub leads_zone: bool,
    /// Whether this host leads the cell's group.
    pub leads_cell: bool,
    /// Waiting times of tasks placed since the last reading.
    pub waits: Vec<(String, Duration)>,
    /// Services with an objective, and the time within which an answer counts as good.
    pub objectives: Vec<(String, Duration)>,
    /// A planned stop may end.
    pub drained: bool,
    /// When this reading was made.
    pub at: Timestamp,
}
