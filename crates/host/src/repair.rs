//! Repair of a group's membership by its leader, one change at a time. The settings list the hosts
//! that vote. New data directories of listed hosts join, and old ones and hosts that are no longer
//! listed lose their votes.

use crate::group::Group;
use crate::host::Host;
use crate::message::GroupId;
use consensus::{Config, JoinRequests, Member, Raft, Role};
use std::time::Duration;
use types::{HostId, MemberId, Timestamp};

impl Host {
    /// Proposes the next membership change if one is needed.
    pub(crate) fn repair_membership(&mut self, id: &GroupId) {
        let now = self.now;
        let listed: Vec<(HostId, Role)> = match self.cfg.groups.get(id) {
            Some(members) => members.iter().map(|m| (m.host.clone(), m.role)).collect(),
            None => return,
        };
        let (Some(group), Some(requests)) = (self.groups.get_mut(id), self.join_requests.get(id))
        else {
            return;
        };
        let silence = self.cfg.tuning.election_timeout;
        let repair = Repair { raft: &group.raft, listed: &listed, silence, now };
        if let Some(config) = repair.next_change(requests) {
            // Refused while another change is in progress; the next call tries again.
            let _ = group.raft.propose_config(now, config);
        }
    }
}

/// A leader's view of its group's membership, and of what the settings want.
struct Repair<'a> {
    raft: &'a Raft,
    /// The group's hosts in the settings, with their roles.
    listed: &'a [(HostId, Role)],
    /// A voter that has not answered for this long is silent.
    silence: Duration,
    now: Timestamp,
}

impl Repair<'_> {
    fn next_change(&self, requests: &JoinRequests) -> Option<Config> {
        let config = self.raft.config();
        let change = requests.next_change(
            config,
            self.listed,
            self.raft.last_index(),
            |member| self.raft.matched(member),
            self.now,
        );
        let votes = change.as_ref().unwrap_or(config).voters().count();
        if votes > self.listed.len() {
            self.without_unlisted_vote(change)
        } else {
            change
        }
    }

    /// The next change while the group has, or by `change` gets, more votes than the settings list.
    /// A silent unlisted voter is removed before another gets a vote: it could only raise the number
    /// of answers that a majority needs.
    fn without_unlisted_vote(&self, change: Option<Config>) -> Option<Config> {
        let config = self.raft.config();
        if let Some(silent) = self.unlisted_voters().find(|m| self.is_silent(m.id)) {
            return Some(config.without(silent.id));
        }
        // A voter that this leader has not heard yet may be gone. It will answer or become silent.
        change.filter(|_| self.unlisted_voters().all(|m| self.was_heard(m.id)))
    }

    fn unlisted_voters(&self) -> impl Iterator<Item = &Member> {
        let members = self.raft.config().members().iter();
        members.filter(|m| m.role != Role::Learner && !self.is_listed(&m.host))
    }

    fn is_listed(&self, host: &HostId) -> bool {
        self.listed.iter().any(|(listed, _)| listed == host)
    }

    fn is_silent(&self, member: MemberId) -> bool {
        self.raft.last_response(member).is_some_and(|at| self.now >= at + self.silence)
    }

    /// Whether the member has answered this leader.
    fn was_heard(&self, member: MemberId) -> bool {
        member == self.raft.id() || self.raft.matched(member).is_some_and(|matched| matched > 0)
    }
}

impl Group {
    /// Whether the group's configuration lists this member.
    pub(crate) fn knows_member(&self, member: types::MemberId) -> bool {
        self.raft.config().get(member).is_some()
    }
}
