//! Forms a new group exactly once.
//!
//! The hosts listed in the settings announce to each other that their data directories are
//! empty. The host with the lowest name forms the group once it has heard this from *all* others.
//! A host that already knows the group answers the announcement differently, so a host with a
//! wiped data directory cannot form a second group and joins as a new member instead.

use crate::{Config, Member, Role};
use std::time::Duration;
use types::{HostId, MemberId, SortedMap, Timestamp};

/// How long an announcement of an empty data directory stays valid.
const EMPTY_STORE_VALID: Duration = Duration::from_secs(5);
/// Interval between two announcements of an empty data directory.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// A member of a new group, as listed in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct InitialMember {
    /// The entry host of the member.
    pub host: HostId,
    /// Role of the member, voter or witness.
    pub role: Role,
}

/// The formation of a group on a host that should be a member and has an empty data directory.
#[derive(Debug)]
pub struct GroupFormation {
    members: Vec<InitialMember>,
    empty_stores: SortedMap<HostId, (MemberId, Timestamp)>,
    /// When to announce this host's empty data directory next.
    pub next_announcement: Timestamp,
}

impl GroupFormation {
    /// Starts the formation of a group of `members`; the first announcement is due at once.
    pub fn new(members: Vec<InitialMember>, now: Timestamp) -> GroupFormation {
        GroupFormation { members, empty_stores: SortedMap::default(), next_announcement: now }
    }

    /// Records the announcement of another host's empty data directory, with its identity.
    pub fn record_empty_store(&mut self, host: &HostId, member: MemberId, now: Timestamp) {
        self.empty_stores.insert(host.clone(), (member, now));
    }

    /// The hosts to announce this host's empty data directory to.
    pub fn other_hosts(&self, me: &HostId) -> Vec<HostId> {
        let others = self.members.iter().filter(|m| m.host != *me);
        others.map(|m| m.host.clone()).collect()
    }

    /// The group's first configuration, or `None` if this host must not form the group: it does
    /// not have the lowest name, or another host has not announced itself recently.
    pub fn initial_config(&self, me: &HostId, my_id: MemberId, now: Timestamp) -> Option<Config> {
        let first = self.members.iter().map(|m| &m.host).min()?;
        if first != me {
            return None;
        }
        let members = self.members.iter().map(|initial| {
            let id = if initial.host == *me {
                my_id
            } else {
                let (id, heard) = self.empty_stores.get(&initial.host)?;
                (now < *heard + EMPTY_STORE_VALID).then_some(*id)?
            };
            Some(Member { id, host: initial.host.clone(), role: initial.role })
        });
        Some(Config::new(members.collect::<Option<Vec<Member>>>()?))
    }
}
