//! The replicated state as people see it.

use crate::call::{Answer, JobInfo, RunInfo, WorkerInfo, ZoneCall};
use crate::group::Group;
use state::{Job, ZoneState};
use types::{JobKey, Refusal, RefusalKind, Release, Timestamp, ZoneName};

/// The answer to a call that only reads.
pub(crate) fn answer(
    group: &Group,
    zone: &ZoneName,
    call: &ZoneCall,
    now: Timestamp,
) -> Result<Answer, Refusal> {
    let state = group.zone().expect("zone calls go to zone groups");
    match call {
        ZoneCall::Explain(key) => explain(group, state, zone, key, now),
        ZoneCall::Jobs => {
            let jobs = state.jobs().values().map(|job| job_info(state, zone, job));
            Ok(Answer::Jobs(jobs.collect()))
        }
        ZoneCall::Workers => Ok(Answer::Workers(workers(state, now))),
        ZoneCall::Cancel(_) | ZoneCall::DrainWorker { .. } => {
            unreachable!("commands are proposed, not read")
        }
    }
}

fn explain(
    group: &Group,
    state: &ZoneState,
    zone: &ZoneName,
    key: &JobKey,
    now: Timestamp,
) -> Result<Answer, Refusal> {
    let Some((id, job)) = state.find_job(key) else {
        let message = format!("job `{key}` does not exist in zone {zone}");
        return Err(Refusal::new(RefusalKind::NotFound, message));
    };
    let mut info = job_info(state, zone, job);
    if info.waiting > 0 {
        if state.waits_for_predecessor(job) {
            info.reason = "an earlier job of this name is still stopping".to_string();
        } else if let Some(leader) = &group.leader {
            info.reason = leader.planner.explain(id, now);
        }
    }
    Ok(Answer::Job(Box::new(info)))
}

fn job_info(state: &ZoneState, zone: &ZoneName, job: &Job) -> JobInfo {
    let runs = job.runs.iter().filter_map(|fence| {
        let run = state.runs().get(fence)?;
        Some(RunInfo {
            fence: *fence,
            index: run.index,
            worker: run.worker.clone(),
            stopping: run.stopping,
        })
    });
    JobInfo {
        spec: job.spec.clone(),
        zone: zone.clone(),
        status: job.status.clone(),
        declared: job.added,
        waiting: job.waiting(),
        runs: runs.collect(),
        succeeded: job.succeeded,
        failed: job.failed,
        unknown: job.unknown,
        late: job.late,
        waited: job.started.map(|at| at.saturating_sub(job.submitted)),
        reason: job.reason.clone(),
    }
}

fn workers(state: &ZoneState, now: Timestamp) -> Vec<WorkerInfo> {
    let info = |(id, worker): (&types::WorkerId, &state::Worker)| WorkerInfo {
        worker: id.clone(),
        rack: worker.rack.clone(),
        status: worker.status(),
        quarantined_for: worker.quarantined_until.checked_sub(now).filter(|left| !left.is_zero()),
        capacity: worker.capacity,
        used: worker.used,
        runs: worker.runs.len(),
    };
    state.workers().iter().map(info).collect()
}

/// One line for each difference between two releases.
pub(crate) fn changes(old: &Release, new: &Release) -> Vec<String> {
    let mut out = Vec::new();
    for (key, job) in new.jobs.iter() {
        match old.jobs.get(key) {
            None => out.push(format!("+ job {key}: {} tasks", job.spec.tasks)),
            Some(before) if before.spec != job.spec => {
                out.push(format!("~ job {key}: {}", describe_job_change(&before.spec, &job.spec)));
            }
            Some(_) => {}
        }
    }
    let gone = old.jobs.keys().filter(|key| !new.jobs.contains_key(*key));
    out.extend(gone.map(|key| format!("- job {key}")));
    for (name, service) in new.services.iter() {
        match old.services.get(name) {
            None => out.push(format!("+ service {name}")),
            Some(before) if before != service => out.push(format!("~ service {name}")),
            Some(_) => {}
        }
    }
    let gone = old.services.keys().filter(|name| !new.services.contains_key(*name));
    out.extend(gone.map(|name| format!("- service {name}")));
    for (team, quota) in new.quotas.iter() {
        if old.quotas.get(team) != Some(quota) {
            out.push(format!("~ quota {team}: weight {}, limit {}", quota.weight, quota.limit));
        }
    }
    out
}

fn describe_job_change(old: &types::JobSpec, new: &types::JobSpec) -> String {
    if old.tasks != new.tasks {
        return format!("{} tasks become {}", old.tasks, new.tasks);
    }
    "its tasks are replaced one after another".to_string()
}
