//! Commands for configurations of queues, services and client accounts.

use crate::output::{print_json, Format};
use crate::run::Context;
use crate::Error;
use client::ClientBuilder;
use jobs::{difference, review, Configuration, Difference, Finding};
use serde::Serialize;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// Result of a check.
#[derive(Serialize)]
struct Report {
    version: u64,
    findings: Vec<Finding>,
    /// Version in force, and what differs from it; `None` if nothing was compared.
    in_force: Option<u64>,
    differences: Vec<Difference>,
}

/// Checks a configuration, and compares it with the one in force if `against` names a host or file.
/// The error is [`Error::Findings`] if there are any.
pub(crate) async fn check(cx: &Context, path: &Path, against: Option<&str>) -> Result<(), Error> {
    let configuration = read_file(path)?;
    let in_force = match against {
        Some(origin) => Some(read(origin).await?),
        None => None,
    };
    let report = Report {
        version: configuration.version,
        findings: review(&configuration),
        in_force: in_force.as_ref().map(|other| other.version),
        differences: in_force.map_or_else(Vec::new, |other| difference(&other, &configuration)),
    };
    match cx.format {
        Format::Json => print_json(&report),
        Format::Text => print(path, &report),
    }
    match report.findings.len() + usize::from(report.is_overtaken()) {
        0 => Ok(()),
        count => Err(Error::Findings(count)),
    }
}

impl Report {
    /// Whether the configuration would change nothing, since its version is not the highest.
    fn is_overtaken(&self) -> bool {
        self.in_force.is_some_and(|version| self.version <= version)
    }
}

fn print(path: &Path, report: &Report) {
    println!("{}: valid, version {}", path.display(), report.version);
    for Finding { subject, cause, .. } in &report.findings {
        println!("  {subject}: {cause}");
    }
    let Some(version) = report.in_force else { return };
    if report.is_overtaken() {
        println!("  version: {} is not higher than {version}, which is in force", report.version);
    }
    println!("compared with version {version}:");
    for Difference { subject, change } in &report.differences {
        println!("  {subject}: {change}");
    }
    if report.differences.is_empty() {
        println!("  nothing changes");
    }
}

async fn read(origin: &str) -> Result<Configuration, Error> {
    if origin.parse::<SocketAddr>().is_err() {
        return read_file(Path::new(origin));
    }
    let client = ClientBuilder::new(origin).build();
    let read = platform::read_configuration(&client).await?;
    read.map_err(|cause| Error::Configuration(origin.to_string(), cause))
}

/// Reads and checks a file. The cause of an error begins with its line where that is known.
fn read_file(path: &Path) -> Result<Configuration, Error> {
    let origin = path.display().to_string();
    let text = fs::read(path).map_err(|e| Error::Io(origin.clone(), e))?;
    platform::decode_configuration(text).map_err(|cause| Error::Configuration(origin, cause))
}
