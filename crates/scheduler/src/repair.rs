//! Bringing hosts with a new disk into the group, and their old folders out.

use crate::node::Node;
use consensus::Role;
use types::HostId;

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
        if intended.is_empty() {
            return;
        }
        let change = self.newcomers.next_change(
            config,
            &intended,
            raft.last_index(),
            |member| raft.matched(member),
            now,
        );
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
