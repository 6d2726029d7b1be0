//! Layouts of earlier releases: 2, with a record of each task and without withdrawn ids, and that of
//! the release before client accounts, whose snapshots and log entries name no version.

use super::{Queue, State};
use crate::command::Command;
use crate::configuration::{
    AdvicePolicy, Configuration, QueueAddress, QueuePolicy, RequestLimits, ServicePolicy,
};
use crate::crashes::CrashRecords;
use crate::job::{Job, Occurrence, Phase, StepState, Task};
use crate::life::Life;
use crate::model::{InDoubtStart, JobRequest, LifeId, QueueId, RunNumber, TaskRef};
use accounts::Rates;
use runtimes::Learned;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use types::{
    AccountName, JobId, ResourceVector, ServiceName, SortedMap, Timestamp, Version, WorkerId,
};

/// Encoding of the last part of the state if no crashes are known. Still earlier releases lack it.
const NO_CRASH_RECORDS: [u8; 2] = [0, 0];
/// Numbers of the commands whose last field layout 2 lacks.
const SUBMIT: u8 = 1;
const CANCEL: u8 = 2;
/// Encoding of that field if it is not known.
const NONE: [u8; 1] = [0];
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

/// A step with a record of each task.
#[derive(Deserialize)]
struct OldStepState {
    tasks: Vec<Task>,
    _done: u32,
    gang_failures: u32,
    failed_run: RunNumber,
}

#[derive(Deserialize)]
struct OldOccurrence {
    steps: Vec<OldStepState>,
}

/// A job of layout 2.
#[derive(Deserialize)]
struct Job2 {
    id: JobId,
    queue: QueueId,
    account: Option<AccountName>,
    submitted: Timestamp,
    phase: Phase,
    ended: Option<Timestamp>,
    request: Option<Arc<JobRequest>>,
    occurrences: Vec<(u32, OldOccurrence)>,
    opened: u32,
    finished: u32,
    over_rate: bool,
}

/// The state of layout 2.
#[derive(Deserialize)]
struct State2 {
    configuration: Arc<Configuration>,
    queues: Vec<Queue>,
    jobs: Vec<(JobId, Job2)>,
    lives: SortedMap<LifeId, Box<Life>>,
    last_life: LifeId,
    in_doubt: Vec<InDoubtStart>,
    crashes: CrashRecords,
    rates: Rates,
    former_quotas: SortedMap<AccountName, ResourceVector>,
    learned: Learned,
}

#[derive(Deserialize)]
struct OldJob {
    id: JobId,
    queue: QueueId,
    submitted: Timestamp,
    phase: Phase,
    ended: Option<Timestamp>,
    request: Option<Arc<JobRequest>>,
    occurrences: Vec<(u32, OldOccurrence)>,
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
    Ok(postcard::from_bytes::<State2>(data)?.into())
}

/// Decodes a log entry of layout 2.
pub(crate) fn decode_command_2(data: &[u8]) -> postcard::Result<Command> {
    match data.first() {
        Some(&(SUBMIT | CANCEL)) => postcard::from_bytes(&[data, NONE.as_slice()].concat()),
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

impl From<OldOccurrence> for Occurrence {
    fn from(old: OldOccurrence) -> Occurrence {
        let step = |old: OldStepState| StepState {
            tasks: old.tasks.into(),
            gang_failures: old.gang_failures,
            failed_run: old.failed_run,
        };
        Occurrence { steps: old.steps.into_iter().map(step).collect() }
    }
}

fn occurrences(old: Vec<(u32, OldOccurrence)>) -> SortedMap<u32, Occurrence> {
    old.into_iter().map(|(index, occurrence)| (index, occurrence.into())).collect()
}

impl From<Job2> for Job {
    fn from(old: Job2) -> Job {
        Job {
            id: old.id,
            queue: old.queue,
            account: old.account,
            submitted: old.submitted,
            phase: old.phase,
            ended: old.ended,
            request: old.request,
            occurrences: occurrences(old.occurrences),
            opened: old.opened,
            finished: old.finished,
            over_rate: old.over_rate,
        }
    }
}

impl From<State2> for State {
    fn from(old: State2) -> State {
        let job = |(id, job): (JobId, Job2)| (id, Box::new(job.into()));
        State {
            configuration: old.configuration,
            queues: old.queues,
            jobs: old.jobs.into_iter().map(job).collect(),
            lives: old.lives,
            last_life: old.last_life,
            in_doubt: old.in_doubt,
            crashes: old.crashes,
            rates: old.rates,
            former_quotas: old.former_quotas,
            learned: old.learned,
            ..State::default()
        }
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
            occurrences: occurrences(old.occurrences),
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
                Command::Submit { id, queue, request, at, key: None, room: None }
            }
            OldCommand::Cancel { id, at } => Command::Cancel { id, key: None, at, queue: None },
        }
    }
}
