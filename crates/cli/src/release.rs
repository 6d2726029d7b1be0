//! Commands for release notes and the release.

use crate::output::{print_json, table, Format};
use crate::run::Context;
use crate::Error;
use host::{HostStatus, Preview};
use serde_json::json;
use settings::{parse_note_file, sha256_hex};
use state::ApplyOutcome;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};
use types::{Release, Version};

/// Longest time that `apply` waits for the release to be in force on all hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the hosts' releases are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) fn check(cx: &Context, path: &Path) -> Result<(), Error> {
    let note = parse_note_file(path)?;
    match cx.format {
        Format::Json => print_json(&note),
        Format::Text => println!(
            "{}: good; based on version {}, {} added, {} changed, {} withdrawn, {} services",
            path.display(),
            note.base,
            note.add.len(),
            note.change.len(),
            note.withdraw.len(),
            note.services.len()
        ),
    }
    Ok(())
}

pub(crate) async fn diff(cx: &Context, path: &Path) -> Result<(), Error> {
    let note = parse_note_file(path)?;
    let preview: Preview = cx.target.post("/v1/release/preview", &note).await?;
    if cx.format == Format::Json {
        print_json(&preview);
        return Ok(());
    }
    println!("version {} becomes {}:", preview.base, preview.version);
    for change in &preview.changes {
        println!("  {change}");
    }
    if preview.changes.is_empty() {
        println!("  nothing changes");
    }
    Ok(())
}

pub(crate) async fn apply(
    cx: &Context,
    path: &Path,
    request: Option<&String>,
) -> Result<(), Error> {
    let note = parse_note_file(path)?;
    let text = fs::read(path).map_err(|e| Error::Io(path.display().to_string(), e))?;
    // The default id is the file's digest, so that running the command again after a lost answer
    // is safe.
    let request = request.cloned().unwrap_or_else(|| sha256_hex(&text));
    let body = json!({ "request": request, "note": note });
    let outcome: ApplyOutcome = cx.target.post("/v1/release", &body).await?;
    let ApplyOutcome::Accepted { version, .. } = &outcome else {
        return Err(Error::Refused("the note was not accepted".to_string()));
    };
    let statuses = wait_in_force(cx, *version).await?;
    if cx.format == Format::Json {
        print_json(&json!({ "outcome": outcome, "hosts": in_force_rows(&statuses) }));
        return Ok(());
    }
    println!("version {version} accepted; in force:");
    print!("{}", table(&["HOST", "ZONE", "VERSION"], &in_force_rows(&statuses)));
    Ok(())
}

/// Waits until the host and all its known peers have the release, or [`IN_FORCE_TIMEOUT`] is over.
async fn wait_in_force(cx: &Context, version: Version) -> Result<HostStatus, Error> {
    let until = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let status: HostStatus = cx.target.get("/v1/status").await?;
        let everywhere =
            status.release >= version && status.peers.iter().all(|peer| peer.release >= version);
        if everywhere || Instant::now() >= until {
            return Ok(status);
        }
        async_std::task::sleep(POLL_INTERVAL).await;
    }
}

fn in_force_rows(status: &HostStatus) -> Vec<Vec<String>> {
    let own = vec![status.host.clone(), status.zone.clone(), status.release.to_string()];
    let peers = status
        .peers
        .iter()
        .map(|peer| vec![peer.host.clone(), peer.zone.clone(), peer.release.to_string()]);
    std::iter::once(own).chain(peers).collect()
}

pub(crate) async fn show(cx: &Context) -> Result<(), Error> {
    let release: Release = cx.target.get("/v1/release").await?;
    if cx.format == Format::Json {
        print_json(&release);
        return Ok(());
    }
    println!("version {} ({})", release.version, release.digest);
    let jobs: Vec<Vec<String>> = release
        .jobs
        .iter()
        .map(|(key, job)| {
            vec![
                key.to_string(),
                format!("{:?}", job.spec.class),
                job.spec.tasks.to_string(),
                job.changed.to_string(),
            ]
        })
        .collect();
    print!("{}", table(&["JOB", "CLASS", "TASKS", "SINCE"], &jobs));
    let services: Vec<Vec<String>> = release
        .services
        .values()
        .map(|service| vec![service.name.clone(), format!("{:?}", service.timeout)])
        .collect();
    print!("{}", table(&["SERVICE", "TIMEOUT"], &services));
    Ok(())
}
