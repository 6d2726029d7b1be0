//! Which zone owns what. Every host finds the same answer without asking anybody.

use state::ZoneJob;
use types::{DeclaredJob, JobClass, JobKey, JobSpec, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The zone whose hash with the text is largest, so that a zone more or less moves few keys.
fn zone_by_hash(text: &str, zones: &[ZoneName]) -> ZoneName {
    let weight = |zone: &&ZoneName| {
        xxh3_64_with_seed(text.as_bytes(), xxh3_64_with_seed(zone.as_bytes(), 0))
    };
    zones.iter().max_by_key(weight).cloned().unwrap_or_default()
}

/// The zone that keeps the record of an idempotency key: the one that the key names, as in
/// `zone-a:4711`, or one by hash. A caller that names the zone it talks to can go on while that
/// zone is cut off.
///
/// ```
/// let zones = ["zone-a".to_string(), "zone-b".to_string()];
/// assert_eq!(host::home_zone_of_key("zone-b:4711", &zones), "zone-b");
/// ```
pub fn home_zone_of_key(key: &str, zones: &[ZoneName]) -> ZoneName {
    let named = key.split_once(':').map(|(zone, _)| zone);
    match named.and_then(|name| zones.iter().find(|zone| *zone == name)) {
        Some(zone) => zone.clone(),
        None => zone_by_hash(key, zones),
    }
}

/// The zone that runs a job that is not spread: the one it names, or one by hash of its name.
pub fn home_zone_of_job(key: &JobKey, named: Option<&ZoneName>, zones: &[ZoneName]) -> ZoneName {
    named.cloned().unwrap_or_else(|| zone_by_hash(&key.to_string(), zones))
}

/// A zone's part of a declared job: a service without a zone is divided evenly between all.
pub fn zone_job(job: &DeclaredJob, zone: &ZoneName, zones: &[ZoneName]) -> Option<ZoneJob> {
    let tasks = match (job.spec.class, &job.spec.zone) {
        (JobClass::Service, None) => share(job.spec.tasks, zone, zones, &job.spec.key()),
        (_, named) => {
            let home = home_zone_of_job(&job.spec.key(), named.as_ref(), zones);
            if home == *zone {
                job.spec.tasks
            } else {
                0
            }
        }
    };
    let spec = JobSpec { tasks, ..job.spec.clone() };
    (tasks > 0).then_some(ZoneJob { spec, added: job.added })
}

/// Even parts; where the rest goes differs from job to job.
fn share(tasks: u32, zone: &ZoneName, zones: &[ZoneName], key: &JobKey) -> u32 {
    let count = zones.len() as u32;
    let Some(position) = zones.iter().position(|z| z == zone) else { return 0 };
    let offset = (xxh3_64_with_seed(key.to_string().as_bytes(), 0) % u64::from(count)) as u32;
    let turn = (position as u32 + offset) % count;
    tasks / count + u32::from(turn < tasks % count)
}

/// A task's index in the whole cell: zones that share a service count in turns, so that no two
/// have the same, however many tasks there are.
pub(crate) fn cell_task_index(
    spec: &JobSpec,
    index: u32,
    zone: &ZoneName,
    zones: &[ZoneName],
) -> u32 {
    let is_shared = spec.class == JobClass::Service && spec.zone.is_none();
    match zones.iter().position(|z| z == zone) {
        Some(position) if is_shared => index * zones.len() as u32 + position as u32,
        _ => index,
    }
}
