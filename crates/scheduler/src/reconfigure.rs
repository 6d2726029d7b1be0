//! Membership changes of the group: adds hosts with a new disk and removes members that are gone.

use crate::node::Node;
use consensus::{Config, Raft, Role};
use std::time::Duration;
use types::{HostId, MemberId, Timestamp};

/// A voter that was silent for this long is removed if enough live voters remain.
const SILENT_VOTER_TIMEOUT: Duration = Duration::from_secs(8);
/// Minimum number of live voters for the removal of a silent one.
const MIN_LIVE_VOTERS: usize = 3;
/// A voter heard within this time counts as live.
const VOTER_LIVE_WITHIN: Duration = Duration::from_secs(1);

impl Node {
    /// Proposes the next membership change if one is needed. Only one is in progress at a time.
    pub(crate) fn reconfigure_group(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let raft = &mut group.raft;
        let config = raft.config();
        let voters = config.voters().count();
        // Only hosts with a disk ask to join. Beyond the wanted number of voters they become
        // learners.
        let is_voter = |host: &HostId| {
            let replaces =
                config.members().iter().any(|m| m.host == *host && m.role == Role::Voter);
            replaces || voters < self.cfg.max_voters
        };
        // A learner may have asked an earlier leader, which added but did not promote it.
        let learners = config.members().iter().filter(|m| m.role == Role::Learner);
        let mut asked = self.join_requests.hosts();
        asked.extend(learners.map(|m| m.host.clone()));
        let intended: Vec<(HostId, Role)> = asked
            .into_iter()
            .map(|host| {
                let role = if is_voter(&host) { Role::Voter } else { Role::Learner };
                (host, role)
            })
            .collect();
        let change = without_silent_voter(raft, now).or_else(|| {
            self.join_requests.next_change(
                config,
                &intended,
                raft.last_index(),
                |member| raft.matched(member),
                now,
            )
        });
        if let Some(next) = change.filter(|next| next != config) {
            let (members, voters) = (next.members().len(), next.voters().count());
            // Refused while another change is in progress; the next call tries again.
            match raft.propose_config(now, next) {
                Ok(_) => {
                    log::info!(members = members, voters = voters; "membership change proposed")
                }
                Err(e) => log::debug!(cause:display = e; "membership change refused for now"),
            }
        }
    }
}

/// The member list without a voter that was silent for [`SILENT_VOTER_TIMEOUT`], as after its host
/// was replaced by one at another address. `None` if too few live voters would remain: the silent
/// voter may come back.
fn without_silent_voter(raft: &Raft, now: Timestamp) -> Option<Config> {
    let config = raft.config();
    let is_silent = |id: &MemberId| {
        let heard = raft.last_response(*id);
        *id != raft.id() && heard.is_some_and(|at| now > at + SILENT_VOTER_TIMEOUT)
    };
    let silent = config.voters().find(is_silent);
    let silent = silent.filter(|_| live_voters(raft, now) >= MIN_LIVE_VOTERS)?;
    Some(config.without(silent))
}

/// Number of voters that answered this leader within [`VOTER_LIVE_WITHIN`], itself included.
pub(crate) fn live_voters(raft: &Raft, now: Timestamp) -> usize {
    let is_live = |id: &MemberId| {
        let heard = raft.last_response(*id);
        *id == raft.id() || heard.is_some_and(|at| now < at + VOTER_LIVE_WITHIN)
    };
    raft.config().voters().filter(is_live).count()
}
