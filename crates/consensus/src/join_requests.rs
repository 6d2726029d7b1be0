//! Replaces a host's old member by one with a new data directory.

use crate::{Config, Index, Member, Role};
use std::time::Duration;
use types::{HostId, MemberId, SortedMap, Timestamp};

/// How long a join request stays valid.
const REQUEST_VALID: Duration = Duration::from_secs(10);
/// A learner that lacks at most this many entries has caught up and may be promoted.
pub const CAUGHT_UP_ENTRIES: u64 = 64;

/// Members that asked to join the group, by host.
#[derive(Debug, Default)]
pub struct JoinRequests(SortedMap<HostId, (MemberId, Timestamp)>);

impl JoinRequests {
    /// Hosts that asked to join, at any time.
    pub fn hosts(&self) -> Vec<HostId> {
        self.0.keys().cloned().collect()
    }

    /// Records a join request, which replaces earlier ones of the host.
    pub fn record(&mut self, host: &HostId, member: MemberId, now: Timestamp) {
        self.0.insert(host.clone(), (member, now));
    }

    /// The next configuration change on the way to replacing a host's old member, or `None`. The
    /// steps are: add the new member as a learner, wait until it has caught up, remove the old
    /// member, promote the learner. `intended` lists the group's hosts with their roles in the
    /// settings; `matched` returns the last entry that a member is known to have, or `None` if the
    /// member must not take part in a change now.
    pub fn next_change<F>(
        &self,
        config: &Config,
        intended: &[(HostId, Role)],
        last_index: Index,
        matched: F,
        now: Timestamp,
    ) -> Option<Config>
    where
        F: Fn(MemberId) -> Option<Index>,
    {
        let learners = config.members().iter().filter(|m| m.role == Role::Learner);
        for learner in learners {
            if self.is_superseded(learner, now) {
                return Some(config.without(learner.id));
            }
            // A matched index of 0 means that the learner has not answered yet.
            let caught_up =
                matched(learner.id).is_some_and(|m| m > 0 && m + CAUGHT_UP_ENTRIES >= last_index);
            // A learner beyond the wanted number of voters stays one and must not hold up others.
            let next = caught_up.then(|| replace_or_promote(config, learner, intended));
            if let Some(next) = next.filter(|next| next != config) {
                return Some(next);
            }
        }
        self.with_new_learner(config, intended, now)
    }

    /// Whether the host asks to join with another id, since its data directory was wiped again.
    fn is_superseded(&self, member: &Member, now: Timestamp) -> bool {
        self.0
            .get(&member.host)
            .is_some_and(|(id, heard)| *id != member.id && now < *heard + REQUEST_VALID)
    }

    fn with_new_learner(
        &self,
        config: &Config,
        intended: &[(HostId, Role)],
        now: Timestamp,
    ) -> Option<Config> {
        let request = self.0.iter().find(|(host, (id, heard))| {
            let wanted = intended.iter().any(|(h, _)| h == *host);
            wanted && now < *heard + REQUEST_VALID && config.get(*id).is_none()
        });
        let (host, (id, _)) = request?;
        Some(config.with(Member { id: *id, host: host.clone(), role: Role::Learner }))
    }
}

/// Removes the host's old member if there is one, else promotes the learner. Two steps keep each
/// change to one vote.
fn replace_or_promote(config: &Config, learner: &Member, intended: &[(HostId, Role)]) -> Config {
    let old = config.members().iter().find(|m| m.host == learner.host && m.id != learner.id);
    if let Some(old) = old {
        return config.without(old.id);
    }
    let role = intended.iter().find(|(host, _)| *host == learner.host).map(|(_, role)| *role);
    config.with(Member { role: role.unwrap_or(Role::Learner), ..learner.clone() })
}
