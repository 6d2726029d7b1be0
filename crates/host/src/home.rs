//! Which zone owns a job or an idempotency key. Every host computes the same answer locally.

use state::ZoneJob;
use types::{DeclaredJob, JobClass, JobKey, JobSpec, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rendezvous hashing: the zone whose hash with the text is largest. Adding or removing a zone
/// moves few keys.
fn zone_by_hash(text: &str, zones: &[ZoneName]) -> ZoneName {
    let weight = |zone: &&ZoneName| {
        xxh3_64_with_seed(text.as_bytes(), xxh3_64_with_seed(zone.as_bytes(), 0))
    };
    zones.iter().max_by_key(weight).cloned().unwrap_or_default()
}

/// The zone that stores the record of an idempotency key: the zone that the key names, as in
/// `zone-a:4711`, or else one chosen by hash. A caller that names the zone it talks to can continue
/// while that zone is partitioned from the others.
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

/// The zone that runs a job that is not spread over zones: the zone it names, or else one chosen by
/// the hash of its key.
pub fn home_zone_of_job(key: &JobKey, named: Option<&ZoneName>, zones: &[ZoneName]) -> ZoneName {
    named.cloned().unwrap_or_else(|| zone_by_hash(&key.to_string(), zones))
}

/// A zone's part of a declared job, or `None` if it has none. The tasks of a service that names no
/// zone are divided evenly between all zones.
pub fn zone_job(job: &DeclaredJob, zone: &ZoneName, zones: &[ZoneName]) -> Option<ZoneJob> {
    let tasks = match (job.spec.class, &job.spec.zone) {
        (JobClass::Service, None) => zone_task_count(job.spec.tasks, zone, zones, &job.spec.key()),
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

/// Number of a service's tasks that run in `zone`. Which zones get the remainder depends on the
/// hash of the job key, so that different jobs favour different zones.
fn zone_task_count(tasks: u32, zone: &ZoneName, zones: &[ZoneName], key: &JobKey) -> u32 {
    let count = zones.len() as u32;
    let Some(position) = zones.iter().position(|z| z == zone) else { return 0 };
    let offset = (xxh3_64_with_seed(key.to_string().as_bytes(), 0) % u64::from(count)) as u32;
    let rank = (position as u32 + offset) % count;
    tasks / count + u32::from(rank < tasks % count)
}

/// A task's index within the whole cell. Zones that share a service interleave their indexes
/// (`index * zones + position`), so that indexes stay unique however many tasks there are.
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
