//! Bringing hosts with a new disk into the group, and their old folders out.

use crate::node::Node;
use consensus::{Config, Raft, Role};
use std::time::Duration;
use types::{HostId, Timestamp};

/// A voter that was silent for this long gives way, where enough others vote.
const GIVE_WAY_AFTER: Duration = Duration::from_secs(8);
/// Fewest voters that a silent one leaves behind.
const LEAST_VOTERS: usize = 3;
/// A voter heard this recently is there.
const THERE: Duration = Duration::from_secs(1);

impl Node {
    /// One change of members at a time, when one is due.
    pub(crate) fn repair(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let raft = &mut group.raft;
        let config = raft.config();
        let voters = config.voters().count();
        // Whoever asks to join has a disk; beyond the wanted number they only learn.
        let is_voter = |host: &HostId| {
            let replaces =
                config.members().iter().any(|m| m.host == *host && m.role == Role::Voter);
            replaces || voters < self.cfg.voters
        };
        // A learner may have been taken in by an earlier leader, whom it asked.
        let learners = config.members().iter().filter(|m| m.role == Role::Learner);
        let mut asked = self.newcomers.hosts();
        asked.extend(learners.map(|m| m.host.clone()));
        let intended: Vec<(HostId, Role)> = asked
            .into_iter()
            .map(|host| {
                let role = if is_voter(&host) { Role::Voter } else { Role::Learner };
                (host, role)
            })
            .collect();
        let change = without_silent_voter(raft, now).or_else(|| {
            self.newcomers.next_change(
                config,
                &intended,
                raft.last_index(),
                |member| raft.matched(member),
                now,
            )
        });
        if let Some(next) = change.filter(|next| next != config) {
            log::info!(members = next.members().len(), voters = next.voters().count();
                "the group's members change");
            // While another change is under way this is refused, and tried again.
            if let Err(e) = raft.propose_config(now, next) {
                log::debug!(cause:display = e; "the change of members has to wait");
            }
        }
    }
}

/// The config without a voter that has been silent for long, as after its host was replaced by one
/// at another address. Where few vote, it keeps its vote: it may come back.
fn without_silent_voter(raft: &Raft, now: Timestamp) -> Option<Config> {
    let config = raft.config();
    let heard = |id| if id == raft.id() { Some(now) } else { raft.last_response(id) };
    let there = config.voters().filter(|id| heard(*id).is_some_and(|at| now < at + THERE)).count();
    let silent = config.voters().find(|id| heard(*id).is_some_and(|at| now > at + GIVE_WAY_AFTER));
    let silent = silent.filter(|_| there >= LEAST_VOTERS)?;
    Some(config.without(silent))
}
