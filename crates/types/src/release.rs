//! Release notes and the release they add up to.

use crate::job::check_name;
use crate::{quantity, JobKey, JobSpec, ServiceName, SortedMap, TeamName, Version};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A service-level objective: this fraction of requests answered within this time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The time within which an answer counts as good.
    #[serde(with = "quantity::duration")]
    pub answer_within: Duration,
    /// The fraction of requests that must be good, such as 0.999.
    pub target: f64,
}

/// A service that callers reach through the entry hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name; upstreams announce themselves under it.
    pub name: ServiceName,
    /// The longest a request may take when the caller names no deadline.
    #[serde(with = "quantity::duration")]
    pub timeout: Duration,
    /// Whether a request without an idempotency key may be sent twice.
    #[serde(default)]
    pub idempotent: bool,
    /// What the burn report measures.
    #[serde(default)]
    pub objective: Option<Objective>,
}

/// A team's part of the cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamQuota {
    /// The team.
    pub team: TeamName,
    /// Weight against other teams when work waits; 1 is usual.
    pub weight: f64,
    /// The largest fraction of the zone that the team may hold; 1 for no limit.
    #[serde(default = "whole")]
    pub limit: f64,
}

fn whole() -> f64 {
    1.0
}

/// What an operator sends: changes to the release with version `base`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// The version that this note changes.
    pub base: Version,
    /// Jobs that are new.
    #[serde(default)]
    pub add: Vec<JobSpec>,
    /// Jobs that exist and get a new spec.
    #[serde(default)]
    pub change: Vec<JobSpec>,
    /// Jobs that go, written `team/name`.
    #[serde(default)]
    pub withdraw: Vec<String>,
    /// Services added or changed.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Services that go.
    #[serde(default)]
    pub withdraw_services: Vec<ServiceName>,
    /// Team quotas added or changed.
    #[serde(default)]
    pub quotas: Vec<TeamQuota>,
}

impl ReleaseNote {
    /// Checks what can be checked without the current release; the error names field and cause.
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

/// A job of a release, and since when it is there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeclaredJob {
    /// What is declared.
    pub spec: JobSpec,
    /// The version that added it; a job withdrawn and added again is another job.
    pub added: Version,
    /// The version that last changed it.
    pub changed: Version,
}

/// What is declared for the whole cell, as all accepted notes add up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Grows by one with each accepted note; 0 before the first.
    pub version: Version,
    /// Digest of the note that made this version, in hex.
    pub digest: String,
    /// Declared jobs.
    pub jobs: SortedMap<JobKey, DeclaredJob>,
    /// Declared services.
    pub services: SortedMap<ServiceName, Service>,
    /// Team quotas.
    pub quotas: SortedMap<TeamName, TeamQuota>,
}

impl Release {
    /// The release that follows when `note`, with `digest`, is accepted.
    ///
    /// ```
    /// use types::{Release, ReleaseNote};
    /// let first = Release::default().apply(&ReleaseNote::default(), "00").unwrap();
    /// assert_eq!(first.version, 1);
    /// // The same note again is based on a version that has passed.
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
