//! Layouts of earlier releases: 2, before withdrawn ids, and that of the release before client
//! accounts, whose snapshots and log entries name no version.

use super::{Queue, State};
use crate::command::Command;
use crate::configuration::{
    AdvicePolicy, Configuration, QueueAddress, QueuePolicy, RequestLimits, ServicePolicy,
};
use crate::crashes::CrashRecords;
use crate::job::{Job, Occurrence, Phase};
use crate::life::Life;
use crate::model::{JobRequest, LifeId, QueueId, TaskRef};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use types::{JobId, ServiceName, SortedMap, Timestamp, Version, WorkerId};

/// Encoding of the last part of the state if no crashes are known. Still earlier releases lack it.
const NO_CRASH_RECORDS: [u8; 2] = [0, 0];
/// Encoding of the last part of the state if no ids are withdrawn. Layout 2 lacks it.
const NO_WITHDRAWN_IDS: [u8; 3] = [0, 0, 0];
/// Number of the command whose last field layout 2 lacks.
const CANCEL: u8 = 2;
/// Encoding of that field if it is not known.
const NO_QUEUE: [u8; 1] = [0];
/// Number of commands, counted from the first, whose layout has changed since.
const CHANGED_COMMANDS: u8 = 3;

#[derive(Deserialize)]
struct OldQueuePolicy {
    name: String,
    service: ServiceName,
    priority: u32,
    attempts: u32,
    stretch: f64,
    slack: Duration,
    request_timeout: Duration,
    advice: Option<AdvicePolicy>,
}

#[derive(Deserialize)]
struct OldConfiguration {
    version: Version,
    queues: Vec<(QueueAddress, OldQueuePolicy)>,
    services: Vec<ServicePolicy>,
    limits: RequestLimits,
    document: Vec<u8>,
}

#[derive(Deserialize)]
struct OldQueue {
    address: QueueAddress,
    policy: OldQueuePolicy,
    open: bool,
}

#[derive(Deserialize)]
struct OldJob {
    id: JobId,
    queue: QueueId,
    submitted: Timestamp,
    phase: Phase,
    ended: Option<Timestamp>,
    request: Option<Arc<JobRequest>>,
    occurrences: SortedMap<u32, Occurrence>,
    opened: u32,
    finished: u32,
}

#[derive(Deserialize)]
struct OldInDoubtStart {
    worker: WorkerId,
    task: TaskRef,
    at: Timestamp,
}

#[derive(Deserialize)]
struct OldState {
    configuration: OldConfiguration,
    queues: Vec<OldQueue>,
    jobs: Vec<(JobId, OldJob)>,
    lives: SortedMap<LifeId, Box<Life>>,
    last_life: LifeId,
    in_doubt: Vec<OldInDoubtStart>,
    crashes: CrashRecords,
}

/// The first commands; the layout of the others is unchanged.
#[derive(Deserialize)]
enum OldCommand {
    Configure { configuration: OldConfiguration },
    Submit { id: JobId, queue: QueueAddress, request: Box<JobRequest>, at: Timestamp },
    Cancel { id: JobId, at: Timestamp },
}

/// Decodes the state of a snapshot of layout 2.
pub(crate) fn decode_state_2(data: &[u8]) -> postcard::Result<State> {
    postcard::from_bytes(&[data, NO_WITHDRAWN_IDS.as_slice()].concat())
}

/// Decodes a log entry of layout 2.
pub(crate) fn decode_command_2(data: &[u8]) -> postcard::Result<Command> {
    match data.first() {
        Some(&CANCEL) => postcard::from_bytes(&[data, NO_QUEUE.as_slice()].concat()),
        _ => postcard::from_bytes(data),
    }
}

/// Decodes the state of a snapshot that names no version.
pub(crate) fn decode_state(data: &[u8]) -> postcard::Result<State> {
    let decoded: postcard::Result<OldState> = postcard::from_bytes(data);
    let extended = || postcard::from_bytes(&[data, NO_CRASH_RECORDS.as_slice()].concat());
    Ok(decoded.or_else(|_| extended())?.into())
}

/// Decodes a log entry that names no version.
pub(crate) fn decode_command(data: &[u8]) -> postcard::Result<Command> {
    match data.first() {
        Some(number) if *number < CHANGED_COMMANDS => {
            Ok(postcard::from_bytes::<OldCommand>(data)?.into())
        }
        _ => postcard::from_bytes(data),
    }
}

impl From<OldQueuePolicy> for QueuePolicy {
    fn from(old: OldQueuePolicy) -> QueuePolicy {
        let OldQueuePolicy {
            name,
            service,
            priority,
            attempts,
            stretch,
            slack,
            request_timeout,
            advice,
        } = old;
        QueuePolicy {
            name,
            service,
            priority,
            attempts,
            stretch,
            slack,
            request_timeout,
            advice,
            open: false,
        }
    }
}

impl From<OldConfiguration> for Configuration {
    fn from(old: OldConfiguration) -> Configuration {
        let OldConfiguration { version, queues, services, limits, document } = old;
        let queues = queues.into_iter().map(|(address, policy)| (address, policy.into())).collect();
        Configuration { version, queues, services, limits, document, ..Configuration::default() }
    }
}

impl From<OldJob> for Job {
    fn from(old: OldJob) -> Job {
        Job {
            id: old.id,
            queue: old.queue,
            account: None,
            submitted: old.submitted,
            phase: old.phase,
            ended: old.ended,
            request: old.request,
            occurrences: old.occurrences,
            opened: old.opened,
            finished: old.finished,
            over_rate: false,
        }
    }
}

impl From<OldQueue> for Queue {
    fn from(old: OldQueue) -> Queue {
        Queue { address: old.address, policy: old.policy.into(), open: old.open }
    }
}

impl From<OldState> for State {
    fn from(old: OldState) -> State {
        let job = |(id, job): (JobId, OldJob)| (id, Box::new(job.into()));
        let mut state = State {
            configuration: Arc::new(old.configuration.into()),
            queues: old.queues.into_iter().map(Queue::from).collect(),
            jobs: old.jobs.into_iter().map(job).collect(),
            lives: old.lives,
            last_life: old.last_life,
            crashes: old.crashes,
            ..State::default()
        };
        for OldInDoubtStart { worker, task, at } in old.in_doubt {
            state.starts_in_doubt(&worker, vec![task], at);
        }
        state
    }
}

impl From<OldCommand> for Command {
    fn from(old: OldCommand) -> Command {
        match old {
            OldCommand::Configure { configuration } => {
                Command::Configure { configuration: Box::new(configuration.into()) }
            }
            OldCommand::Submit { id, queue, request, at } => {
                Command::Submit { id, queue, request, at, key: None }
            }
            OldCommand::Cancel { id, at } => Command::Cancel { id, key: None, at, queue: None },
        }
    }
}
