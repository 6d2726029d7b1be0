//! Release notes and the release that results from applying them.

use crate::job::check_name;
use crate::{quantity, JobKey, JobSpec, ServiceName, SortedMap, TeamName, Version};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A service-level objective: the fraction of requests to be answered within a given time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Largest latency of a good answer.
    #[serde(with = "quantity::duration")]
    pub answer_within: Duration,
    /// Fraction of requests that must be good, such as 0.999; between 0 and 1, exclusive.
    pub target: f64,
}

/// A service that callers reach through the entry hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, which upstreams announce.
    pub name: ServiceName,
    /// Largest timeout of a request; it applies if the caller sets none or a longer one.
    #[serde(with = "quantity::duration")]
    pub timeout: Duration,
    /// Whether a request without an idempotency key may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Objective for the burn rate report; `None` if the service has none.
    #[serde(default)]
    pub objective: Option<Objective>,
}

/// A team's share of the resources of each zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamQuota {
    /// Name of the team.
    pub team: TeamName,
    /// Weight relative to other teams when tasks wait; usually 1.
    pub weight: f64,
    /// Largest fraction of a zone's resources that the team may use; 1 for no limit.
    #[serde(default = "no_limit")]
    pub limit: f64,
}

fn no_limit() -> f64 {
    1.0
}

/// A change to the release, sent by an operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Version of the release that the note changes; the note is rejected for any other.
    pub base: Version,
    /// Specs of jobs to add.
    #[serde(default)]
    pub add: Vec<JobSpec>,
    /// New specs of existing jobs.
    #[serde(default)]
    pub change: Vec<JobSpec>,
    /// Jobs to remove, written `team/name`.
    #[serde(default)]
    pub withdraw: Vec<String>,
    /// Services to add or replace.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Services to remove.
    #[serde(default)]
    pub withdraw_services: Vec<ServiceName>,
    /// Team quotas to add or replace.
    #[serde(default)]
    pub quotas: Vec<TeamQuota>,
}

impl ReleaseNote {
    /// Validates the note by itself, without the current release. The error has the form
    /// `field: cause`.
    pub fn check(&self) -> Result<(), String> {
        for (list, specs) in [("add", &self.add), ("change", &self.change)] {
            for (i, spec) in specs.iter().enumerate() {
                spec.check().map_err(|e| format!("{list}[{i}].{e}"))?;
            }
        }
        for (i, key) in self.withdraw.iter().enumerate() {
            key.parse::<JobKey>().map_err(|e| format!("withdraw[{i}]: {e}"))?;
        }
        self.check_services()?;
        for (i, quota) in self.quotas.iter().enumerate() {
            check_name(&format!("quotas[{i}].team"), &quota.team)?;
            if !(quota.weight > 0.0 && quota.weight <= 1e6) {
                return Err(format!("quotas[{i}].weight: must be above 0, is {}", quota.weight));
            }
            if !(quota.limit > 0.0 && quota.limit <= 1.0) {
                return Err(format!("quotas[{i}].limit: must be in (0, 1], is {}", quota.limit));
            }
        }
        Ok(())
    }

    fn check_services(&self) -> Result<(), String> {
        for (i, service) in self.services.iter().enumerate() {
            check_name(&format!("services[{i}].name"), &service.name)?;
            if service.timeout.is_zero() {
                return Err(format!("services[{i}].timeout: must be more than 0"));
            }
            let Some(objective) = &service.objective else { continue };
            if !(objective.target > 0.0 && objective.target < 1.0) {
                return Err(format!(
                    "services[{i}].objective.target: must be between 0 and 1, is {}",
                    objective.target
                ));
            }
        }
        Ok(())
    }
}

/// A job of a release, with the versions that added and changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeclaredJob {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Version that added the job. A job that is withdrawn and added again is a different job.
    pub added: Version,
    /// Version that last changed the job's spec.
    pub changed: Version,
}

/// The declared state of the whole cell: the result of all accepted release notes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Increases by one with each accepted note; 0 before the first.
    pub version: Version,
    /// SHA-256 of the note that produced this version, in hex; empty before the first.
    pub digest: String,
    /// Declared jobs by full name.
    pub jobs: SortedMap<JobKey, DeclaredJob>,
    /// Declared services by name.
    pub services: SortedMap<ServiceName, Service>,
    /// Quotas by team.
    pub quotas: SortedMap<TeamName, TeamQuota>,
}

impl Release {
    /// Returns the next release: this one with `note` applied. `digest` is the note's SHA-256 in
    /// hex. The error has the form `field: cause`.
    ///
    /// ```
    /// use types::{Release, ReleaseNote};
    /// let first = Release::default().apply(&ReleaseNote::default(), "00").unwrap();
    /// assert_eq!(first.version, 1);
    /// // The same note again has an outdated base.
    /// assert!(first.apply(&ReleaseNote::default(), "00").is_err());
    /// ```
    pub fn apply(&self, note: &ReleaseNote, digest: &str) -> Result<Release, String> {
        note.check()?;
        if note.base != self.version {
            return Err(format!(
                "base: is {}, but version {} is in force",
                note.base, self.version
            ));
        }
        let mut next = self.clone();
        next.version += 1;
        next.digest = digest.to_string();
        for (i, key) in note.withdraw.iter().enumerate() {
            let key: JobKey = key.parse()?;
            next.jobs.remove(&key).ok_or(format!("withdraw[{i}]: job `{key}` does not exist"))?;
        }
        for (i, name) in note.withdraw_services.iter().enumerate() {
            let gone = next.services.remove(name);
            gone.ok_or(format!("withdraw_services[{i}]: service `{name}` does not exist"))?;
        }
        for (i, spec) in note.add.iter().enumerate() {
            let (added, changed) = (next.version, next.version);
            let declared = DeclaredJob { spec: spec.clone(), added, changed };
            if next.jobs.insert(spec.key(), declared).is_some() {
                return Err(format!("add[{i}].name: job `{}` exists; use change", spec.key()));
            }
        }
        for (i, spec) in note.change.iter().enumerate() {
            let Some(job) = next.jobs.get_mut(&spec.key()) else {
                return Err(format!("change[{i}].name: job `{}` does not exist", spec.key()));
            };
            if job.spec.class != spec.class || job.spec.zone != spec.zone {
                return Err(format!(
                    "change[{i}]: class and zone of `{}` stay; withdraw it and add another",
                    spec.key()
                ));
            }
            (job.spec, job.changed) = (spec.clone(), next.version);
        }
        for service in &note.services {
            next.services.insert(service.name.clone(), service.clone());
        }
        for quota in &note.quotas {
            next.quotas.insert(quota.team.clone(), quota.clone());
        }
        Ok(next)
    }
}
