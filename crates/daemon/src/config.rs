//! Converts settings into the configuration of a host.

use host::{GroupId, HostConfig, HostConfigBuilder, InitialMember};
use placement::Policy;
use settings::{cell_voters, zone_voters, Settings, Voter};
use storage::DataDir;

/// Builds the host's configuration, with the initial members of all groups.
pub(crate) fn host_config(settings: &Settings) -> HostConfig {
    let mut builder = HostConfigBuilder::new(&settings.host, &settings.zone)
        .policy(Policy::named(&settings.policy).unwrap_or_default())
        .worker_lease(settings.worker_lease)
        .upstream_silence(settings.upstream_silence)
        .max_waiting(settings.limits.waiting)
        .max_timeout(settings.limits.timeout);
    for entry in settings.hosts.iter().filter(|entry| entry.host != settings.host) {
        builder = builder.peer(&entry.host, &entry.zone);
    }
    for (group, voters) in groups(settings) {
        builder = builder.group(group, voters.into_iter().map(initial_member).collect());
    }
    builder.build()
}

fn initial_member(voter: Voter) -> InitialMember {
    let role = if voter.witness { consensus::Role::Witness } else { consensus::Role::Voter };
    InitialMember { host: voter.host, role }
}

/// Returns all groups of the cell with their initial members.
fn groups(settings: &Settings) -> Vec<(GroupId, Vec<Voter>)> {
    let mut zones: Vec<&String> = settings.hosts.iter().map(|entry| &entry.zone).collect();
    zones.sort();
    zones.dedup();
    let zone_group =
        |zone: &String| (GroupId::Zone(zone.clone()), zone_voters(&settings.hosts, zone));
    let cell = (GroupId::Cell, cell_voters(&settings.hosts));
    zones.into_iter().map(zone_group).chain([cell]).collect()
}

/// Returns the groups of which the settings make this host an initial member, and those of which
/// its data directory has a store: a host that is no longer listed may still have a vote.
pub(crate) fn own_groups(settings: &Settings, data_dir: &DataDir) -> Vec<GroupId> {
    let is_listed = |voters: &[Voter]| voters.iter().any(|voter| voter.host == settings.host);
    groups(settings)
        .into_iter()
        .filter(|(id, voters)| is_listed(voters) || data_dir.has_group(&id.to_string()))
        .map(|(id, _)| id)
        .collect()
}
