//! How jobs and runs are named in the leader's log lines.

use dispatch::Session;
use jobs::{EndKind, State, TaskCrashes, TaskRef};
use types::{JobId, Timestamp};

/// A job's id as it appears in URLs and logs.
pub(crate) fn hex(id: JobId) -> String {
    format!("{id:016x}")
}

pub(crate) fn objective_ms(state: &State, job: &jobs::Job) -> u64 {
    let critical_path =
        job.request.as_ref().map(|request| request.critical_path()).unwrap_or_default();
    state.policy(job.queue).objective(critical_path).as_millis() as u64
}

pub(crate) fn log_job_over(state: &State, id: JobId, now: Timestamp) {
    let Some(job) = state.job(id) else { return };
    let took = now.saturating_sub(job.submitted).as_millis() as u64;
    log::info!(job = hex(id).as_str(), queue = state.policy(job.queue).name.as_str(),
        phase:? = job.phase, took_ms = took; "job finished");
}

pub(crate) fn kind_name(kind: Option<EndKind>) -> &'static str {
    match kind {
        Some(EndKind::Done) => "done",
        Some(EndKind::Failed) => "failed",
        Some(EndKind::Stopped) => "stopped",
        Some(EndKind::Lapsed) => "lapsed",
        Some(EndKind::Broken) => "broken",
        Some(EndKind::Alone) => "alone",
        None => "given up",
    }
}

pub(crate) fn log_beyond_quota(job: JobId, step: u16, account: &str) {
    log::info!(job = hex(job).as_str(), step = step, account = account;
        "job refused: a step needs more at once than its account's quota allows");
}

pub(crate) fn log_no_room(job: JobId, stored: usize, room: usize) {
    log::warn!(job = hex(job).as_str(), stored_bytes = stored, room_bytes = room;
        "job refused: there is no room for it in the replicated state");
}

pub(crate) fn log_withdrawn(job: JobId) {
    log::info!(job = hex(job).as_str(); "job cancelled before a submission of it arrived");
}

pub(crate) fn log_refused_as_withdrawn(job: JobId) {
    log::info!(job = hex(job).as_str(); "job refused: it was cancelled before");
}

pub(crate) fn log_cancel_refused(job: JobId) {
    log::warn!(job = hex(job).as_str();
        "job not cancelled: it does not exist, and there is no room to keep its id");
}

pub(crate) fn log_given_up(task: TaskRef, crashes: TaskCrashes) {
    log::warn!(job = hex(task.step.job).as_str(), step = task.step.step, index = task.index,
        certain = crashes.certain, possible = crashes.possible, sure = crashes.sure;
        "job given up: workers crash under its task");
}

/// Logs each run that ended with its worker's life, and what is known of its start.
pub(crate) fn log_runs_lost(session: &Session, now: Timestamp) {
    let ago = |at: Option<Timestamp>| at.map(|at| now.saturating_sub(at).as_millis() as u64);
    for status in session.runs() {
        let task = status.task;
        log::info!(job = hex(task.step.job).as_str(), step = task.step.step, index = task.index,
            run = status.run, life = session.life(), worker = session.worker(),
            sent_ms_ago:? = ago(status.sent_at), seen_ms_ago:? = ago(status.working_since),
            answer_ms_ago:? = ago(session.last_answer()); "run lost with its worker");
    }
}
