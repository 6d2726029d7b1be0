//! How a group comes to be, exactly once.
//!
//! The members that settings name tell each other that their folders are blank. Only when the
//! first of them by name has heard that from *all* others does it form the group. Anyone who knows
//! of the group answers a blank folder in another way, so a wiped folder can't make the group anew:
//! it joins as a new member instead.

use crate::{Config, Member, Role};
use std::time::Duration;
use types::{HostId, MemberId, SortedMap, Timestamp};

/// A blank folder must have been heard of this recently.
const FRESH: Duration = Duration::from_secs(5);
/// How often a blank folder says so.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// A member of a group, as settings have it.
#[derive(Clone, Debug, PartialEq)]
pub struct InitialMember {
    /// The entry host.
    pub host: HostId,
    /// Voter or witness.
    pub role: Role,
}

/// A group that this host should be a member of and whose folder is blank.
#[derive(Debug)]
pub struct GroupFormation {
    members: Vec<InitialMember>,
    blanks: SortedMap<HostId, (MemberId, Timestamp)>,
    /// When this folder is to be announced next.
    pub next_announcement: Timestamp,
}

impl GroupFormation {
    /// A folder that waits for these members.
    pub fn new(members: Vec<InitialMember>, now: Timestamp) -> GroupFormation {
        GroupFormation { members, blanks: SortedMap::default(), next_announcement: now }
    }

    /// Notes that another member's folder is blank.
    pub fn record_empty_store(&mut self, host: &HostId, member: MemberId, now: Timestamp) {
        self.blanks.insert(host.clone(), (member, now));
    }

    /// Hosts to tell that this folder is blank.
    pub fn other_hosts(&self, me: &HostId) -> Vec<HostId> {
        let others = self.members.iter().filter(|m| m.host != *me);
        others.map(|m| m.host.clone()).collect()
    }

    /// The members, once this host is the one to form the group and all others are blank.
    pub fn initial_config(&self, me: &HostId, my_id: MemberId, now: Timestamp) -> Option<Config> {
        let first = self.members.iter().map(|m| &m.host).min()?;
        if first != me {
            return None;
        }
        let members = self.members.iter().map(|initial| {
            let id = if initial.host == *me {
                my_id
            } else {
                let (id, heard) = self.blanks.get(&initial.host)?;
                (now < *heard + FRESH).then_some(*id)?
            };
            Some(Member { id, host: initial.host.clone(), role: initial.role })
        });
        Some(Config::new(members.collect::<Option<Vec<Member>>>()?))
    }
}
