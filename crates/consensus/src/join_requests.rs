//! Bringing a host with a new data folder into a group, and its old folder out.

use crate::{Config, Index, Member, Role};
use std::time::Duration;
use types::{HostId, MemberId, SortedMap, Timestamp};

/// A newcomer must have been heard this recently.
const FRESH: Duration = Duration::from_secs(10);
/// A learner this close to the end of the log has caught up.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// Folders that asked to join, by host.
#[derive(Debug, Default)]
pub struct JoinRequests(SortedMap<HostId, (MemberId, Timestamp)>);

impl JoinRequests {
    /// Hosts whose folders asked to join.
    pub fn hosts(&self) -> Vec<HostId> {
        self.0.keys().cloned().collect()
    }

    /// Notes that a folder asks to join.
    pub fn record(&mut self, host: &HostId, member: MemberId, now: Timestamp) {
        self.0.insert(host.clone(), (member, now));
    }

    /// The next single change that repair needs: learner in, old folder out, learner promoted.
    /// `intended` are the group's hosts with the role that settings give them.
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
            // Nothing matches before the first answer.
            let caught_up =
                matched(learner.id).is_some_and(|m| m > 0 && m + CAUGHT_UP_ENTRIES >= last_index);
            if caught_up {
                return Some(next_step_for(config, learner, intended));
            }
        }
        self.next_learner(config, intended, now)
    }

    /// The host's folder was wiped once more.
    fn is_superseded(&self, member: &Member, now: Timestamp) -> bool {
        self.0.get(&member.host).is_some_and(|(id, heard)| *id != member.id && now < *heard + FRESH)
    }

    fn next_learner(
        &self,
        config: &Config,
        intended: &[(HostId, Role)],
        now: Timestamp,
    ) -> Option<Config> {
        let newcomer = self.0.iter().find(|(host, (id, heard))| {
            let wanted = intended.iter().any(|(h, _)| h == *host);
            wanted && now < *heard + FRESH && config.get(*id).is_none()
        });
        let (host, (id, _)) = newcomer?;
        Some(config.with(Member { id: *id, host: host.clone(), role: Role::Learner }))
    }
}

/// First the host's old folder loses its vote, then the new one gets it: one vote at a time.
fn next_step_for(config: &Config, learner: &Member, intended: &[(HostId, Role)]) -> Config {
    let old = config.members().iter().find(|m| m.host == learner.host && m.id != learner.id);
    if let Some(old) = old {
        return config.without(old.id);
    }
    let role = intended.iter().find(|(host, _)| *host == learner.host).map(|(_, role)| *role);
    config.with(Member { role: role.unwrap_or(Role::Learner), ..learner.clone() })
}
