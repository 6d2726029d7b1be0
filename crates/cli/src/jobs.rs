//! Commands for jobs and workers.

use crate::output::{print_json, table, Format};
use crate::run::Context;
use crate::Error;
use host::{Answer, JobInfo, WorkerInfo, ZoneAnswer};
use serde_json::{json, Value};
use std::path::Path;
use types::quantity::format_bytes;
use types::{JobKey, JobSpec, RefusalKind};

pub(crate) fn check(cx: &Context, path: &Path) -> Result<(), Error> {
    let spec = settings::parse_job_file(path)?;
    match cx.format {
        Format::Json => print_json(&spec),
        Format::Text => {
            println!("{}: good; {} with {} tasks", path.display(), spec.key(), spec.tasks)
        }
    }
    Ok(())
}

pub(crate) async fn submit(cx: &Context, path: &Path) -> Result<(), Error> {
    let spec = settings::parse_job_file(path)?;
    let _: Value = cx.target.post("/v1/jobs", &spec).await?;
    print_submitted(cx, &spec);
    Ok(())
}

fn print_submitted(cx: &Context, spec: &JobSpec) {
    match cx.format {
        Format::Json => print_json(&json!({ "job": spec.key().to_string() })),
        Format::Text => println!("{} submitted with {} tasks", spec.key(), spec.tasks),
    }
}

fn job_path(text: &str) -> Result<String, Error> {
    let key: JobKey = text.parse().map_err(Error::Usage)?;
    Ok(format!("/v1/jobs/{}/{}", key.team, key.name))
}

/// Splits the zones' answers into answers, refusals with their causes, and zones without an answer.
/// A zone that does not have the job is left out.
fn split_answers(zones: Vec<ZoneAnswer>) -> (Vec<Answer>, Vec<String>, Vec<String>) {
    let (mut answers, mut refused, mut unanswered) = (Vec::new(), Vec::new(), Vec::new());
    for zone in zones {
        match zone.answer {
            Ok(answer) => answers.push(*answer),
            Err(refusal) => match refusal.kind {
                RefusalKind::Unavailable | RefusalKind::Unknown => unanswered.push(zone.zone),
                RefusalKind::NotFound => {}
                _ => refused.push(format!("zone {}: {}", zone.zone, refusal.message)),
            },
        }
    }
    (answers, refused, unanswered)
}

fn warn_unanswered(unanswered: &[String]) {
    if !unanswered.is_empty() {
        eprintln!("ebonywalk: zones that did not answer: {}", unanswered.join(", "));
    }
}

pub(crate) async fn cancel(cx: &Context, job: &str) -> Result<(), Error> {
    let zones: Vec<ZoneAnswer> = cx.target.delete(&job_path(job)?).await?;
    let (answers, refused, unanswered) = split_answers(zones);
    if let Some(cause) = refused.first() {
        return Err(Error::Refused(cause.clone()));
    }
    if !unanswered.is_empty() {
        let message = format!("zones that did not answer: {}; cancel again", unanswered.join(", "));
        return Err(Error::Unknown(message));
    }
    if answers.is_empty() {
        return Err(Error::Refused(format!("job `{job}` does not exist")));
    }
    println!("{job} cancelled");
    Ok(())
}

pub(crate) async fn explain(cx: &Context, job: &str) -> Result<(), Error> {
    let zones: Vec<ZoneAnswer> = cx.target.get(&job_path(job)?).await?;
    let (answers, _, unanswered) = split_answers(zones);
    warn_unanswered(&unanswered);
    let infos: Vec<JobInfo> = answers
        .into_iter()
        .filter_map(|answer| match answer {
            Answer::Job(info) => Some(*info),
            _ => None,
        })
        .collect();
    if infos.is_empty() {
        return Err(if unanswered.is_empty() {
            Error::Refused(format!("job `{job}` does not exist"))
        } else {
            Error::Unknown(format!("job `{job}` was not found in the zones that answered"))
        });
    }
    if cx.format == Format::Json {
        print_json(&infos);
        return Ok(());
    }
    infos.iter().for_each(print_job);
    Ok(())
}

fn print_job(info: &JobInfo) {
    println!("{} in zone {}: {:?}", info.spec.key(), info.zone, info.status);
    println!(
        "  {} tasks: {} wait, {} run, {} succeeded, {} failed, {} unknown",
        info.spec.tasks,
        info.waiting,
        info.runs.len(),
        info.succeeded,
        info.failed,
        info.unknown
    );
    if let Some(version) = info.declared {
        println!("  declared by release {version}");
    }
    if info.late {
        println!("  it can't meet its deadline any more");
    }
    if !info.reason.is_empty() {
        println!("  {}", info.reason);
    }
    for run in &info.runs {
        let stopping = if run.stopping { ", stopping" } else { "" };
        println!("  task {} on {} (fence {}{stopping})", run.index, run.worker, run.fence);
    }
}

pub(crate) async fn list(cx: &Context) -> Result<(), Error> {
    let zones: Vec<ZoneAnswer> = cx.target.get("/v1/jobs").await?;
    let (answers, _, unanswered) = split_answers(zones);
    warn_unanswered(&unanswered);
    let infos: Vec<JobInfo> = answers
        .into_iter()
        .flat_map(|answer| match answer {
            Answer::Jobs(jobs) => jobs,
            _ => Vec::new(),
        })
        .collect();
    if cx.format == Format::Json {
        print_json(&infos);
        return Ok(());
    }
    let rows: Vec<Vec<String>> = infos.iter().map(job_row).collect();
    print!("{}", table(&["JOB", "ZONE", "CLASS", "STATUS", "WAIT", "RUN", "DONE"], &rows));
    Ok(())
}

fn job_row(info: &JobInfo) -> Vec<String> {
    vec![
        info.spec.key().to_string(),
        info.zone.clone(),
        format!("{:?}", info.spec.class),
        format!("{:?}{}", info.status, if info.late { ", late" } else { "" }),
        info.waiting.to_string(),
        info.runs.len().to_string(),
        info.succeeded.to_string(),
    ]
}

pub(crate) async fn workers(cx: &Context) -> Result<(), Error> {
    let zones: Vec<ZoneAnswer> = cx.target.get("/v1/workers").await?;
    let named: Vec<(String, WorkerInfo)> = zones
        .iter()
        .flat_map(|zone| match zone.answer.as_ref().map(|answer| &**answer) {
            Ok(Answer::Workers(workers)) => {
                workers.iter().map(|w| (zone.zone.clone(), w.clone())).collect()
            }
            _ => Vec::new(),
        })
        .collect();
    warn_unanswered(&split_answers(zones).2);
    if cx.format == Format::Json {
        print_json(&named);
        return Ok(());
    }
    let rows: Vec<Vec<String>> = named.iter().map(worker_row).collect();
    print!("{}", table(&["WORKER", "ZONE", "RACK", "STATUS", "CPU", "MEMORY", "RUNS"], &rows));
    Ok(())
}

fn worker_row((zone, info): &(String, WorkerInfo)) -> Vec<String> {
    let quarantine = match info.quarantined_for {
        Some(left) => format!(", set aside for {}s", left.as_secs()),
        None => String::new(),
    };
    vec![
        info.worker.clone(),
        zone.clone(),
        info.rack.clone(),
        format!("{:?}{quarantine}", info.status),
        format!("{}m/{}m", info.used.cpu, info.capacity.cpu),
        format!("{}/{}", format_bytes(info.used.memory), format_bytes(info.capacity.memory)),
        info.runs.to_string(),
    ]
}

pub(crate) async fn drain_worker(
    cx: &Context,
    zone: &str,
    worker: &str,
    draining: bool,
) -> Result<(), Error> {
    let path = format!("/v1/workers/{zone}/{worker}/drain");
    let _: Value = cx.target.post(&path, &json!({ "draining": draining })).await?;
    let what = if draining { "gets no new work" } else { "gets work again" };
    println!("{worker} {what}");
    Ok(())
}
