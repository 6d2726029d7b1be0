//! Selects the voters of the cell's and each zone's consensus group.

use crate::HostEntry;
use types::{HostId, ZoneName};

/// Largest number of voters in the cell's group.
const MAX_CELL_VOTERS: usize = 5;
/// Largest number of voters in a zone's group, not counting its witness.
const MAX_ZONE_VOTERS: usize = 5;

/// A voter of a consensus group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Name of the host.
    pub host: HostId,
    /// Whether the host only breaks ties. A witness votes, but leads only to pass on log
    /// entries that no other member has.
    pub witness: bool,
}

/// Returns the voters of a zone's group: its hosts with a disk. If their number is even, a witness
/// in another zone is added, so that a majority remains after the loss of one host.
///
/// ```
/// use settings::{zone_voters, HostEntry};
/// let host = |host: &str, zone: &str| HostEntry {
///     host: host.into(), zone: zone.into(), peers: "127.0.0.1:1".parse().unwrap(), disk: true,
/// };
/// let hosts = [host("a-1", "a"), host("a-2", "a"), host("b-1", "b")];
/// let names: Vec<_> = zone_voters(&hosts, "a").into_iter().map(|v| (v.host, v.witness)).collect();
/// assert_eq!(names, [("a-1".into(), false), ("a-2".into(), false), ("b-1".into(), true)]);
/// ```
pub fn zone_voters(hosts: &[HostEntry], zone: &str) -> Vec<Voter> {
    let mut own: Vec<&HostEntry> = hosts.iter().filter(|h| h.disk && h.zone == zone).collect();
    own.sort_by(|a, b| a.host.cmp(&b.host));
    own.truncate(MAX_ZONE_VOTERS);
    let voter = |h: &&HostEntry| Voter { host: h.host.clone(), witness: false };
    let mut voters: Vec<Voter> = own.iter().map(voter).collect();
    if voters.len().is_multiple_of(2) {
        let witness = next_zone(hosts, zone).and_then(|zone| first_host(hosts, &zone));
        voters.extend(witness.map(|host| Voter { host, witness: true }));
    }
    voters
}

/// Returns the voters of the cell's group: hosts with a disk, taken from the zones in turn until
/// there are enough. Their number is odd, at most 5; without any disk there are none.
pub fn cell_voters(hosts: &[HostEntry]) -> Vec<Voter> {
    let mut zones: Vec<(ZoneName, Vec<HostId>)> = Vec::new();
    for zone in zones_with_disks(hosts) {
        let mut names: Vec<HostId> =
            hosts.iter().filter(|h| h.disk && h.zone == zone).map(|h| h.host.clone()).collect();
        names.sort();
        zones.push((zone, names));
    }
    let rounds = 0..zones.iter().map(|(_, names)| names.len()).max().unwrap_or(0);
    let in_turn = rounds.flat_map(|i| zones.iter().filter_map(move |(_, names)| names.get(i)));
    let mut voters: Vec<Voter> =
        in_turn.map(|host| Voter { host: host.clone(), witness: false }).collect();
    voters.truncate(MAX_CELL_VOTERS);
    // An even number of voters tolerates no more failures than one fewer voter, but its majority
    // is larger by one answer.
    if voters.len().is_multiple_of(2) {
        voters.pop();
    }
    voters
}

fn zones_with_disks(hosts: &[HostEntry]) -> Vec<ZoneName> {
    let mut zones: Vec<ZoneName> =
        hosts.iter().filter(|h| h.disk).map(|h| h.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

/// Returns the zone with disks that follows `zone` by name, wrapping around.
fn next_zone(hosts: &[HostEntry], zone: &str) -> Option<ZoneName> {
    let zones = zones_with_disks(hosts);
    let others: Vec<&ZoneName> = zones.iter().filter(|z| *z != zone).collect();
    let after = others.iter().find(|z| z.as_str() > zone).or(others.first())?;
    Some(after.to_string())
}

fn first_host(hosts: &[HostEntry], zone: &str) -> Option<HostId> {
    hosts.iter().filter(|h| h.disk && h.zone == zone).map(|h| h.host.clone()).min()
}
