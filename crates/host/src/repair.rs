//! Repair of a group's membership by its leader, one change at a time. The settings list the hosts
//! that vote. New data directories of listed hosts join, and old ones and hosts that are no longer
//! listed lose their votes.

use crate::config::InjectedBug;
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
        let keep_votes = self.cfg.has_bug(InjectedBug::KeepOldVotes);
        let repair = Repair { raft: &group.raft, listed: &listed, silence, now };
        match repair.next_step(requests) {
            Some(Step::Change(config))
                if keep_votes && takes_a_vote(group.raft.config(), &config) => {}
            Some(Step::Change(config)) => {
                // Refused while another change is in progress; the next call tries again.
                let _ = group.raft.propose_config(now, config);
            }
            Some(Step::TransferLeadership(to)) => group.raft.transfer_leadership(now, to),
            None => {}
        }
    }
}

/// What a leader does next for its group's membership.
enum Step {
    Change(Config),
    TransferLeadership(MemberId),
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
    fn next_step(&self, requests: &JoinRequests) -> Option<Step> {
        let config = self.raft.config();
        let change = requests.next_change(
            config,
            &self.may_join(requests),
            self.raft.last_index(),
            |member| self.raft.matched(member),
            self.now,
        );
        let votes = change.as_ref().unwrap_or(config).voters().count();
        if votes > self.listed.len() {
            self.end_unlisted_vote(change)
        } else {
            change.map(Step::Change)
        }
    }

    /// The hosts that may join, with their roles. A host that is not listed and holds the group's log
    /// becomes a learner, so that it knows the group's leader.
    fn may_join(&self, requests: &JoinRequests) -> Vec<(HostId, Role)> {
        let asked = requests.hosts().into_iter().filter(|host| !self.is_listed(host));
        let learners = asked.map(|host| (host, Role::Learner));
        self.listed.iter().cloned().chain(learners).collect()
    }

    /// The next step while the group has, or by `change` gets, more votes than the settings list.
    /// A silent unlisted voter is removed before another gets a vote: it could only raise the number
    /// of answers that a majority needs. One that answers keeps its vote while the group bears
    /// another loss by it.
    fn end_unlisted_vote(&self, change: Option<Config>) -> Option<Step> {
        if let Some(silent) = self.unlisted_voters().find(|m| self.is_silent(m.id)) {
            return Some(Step::Change(self.raft.config().without(silent.id)));
        }
        // A voter that this leader has not heard yet may be gone. It will answer or become silent.
        if !self.unlisted_voters().all(|m| self.was_heard(m.id)) {
            return None;
        }
        let votes = self.raft.config().voters().count();
        match change {
            Some(change) => Some(Step::Change(change)),
            // An even number of votes bears no more losses than one vote fewer.
            None if votes.is_multiple_of(2) || self.all_listed_vote() => {
                self.demote_unlisted_voter()
            }
            None => None,
        }
    }

    /// Makes an unlisted voter a learner, so that its host still knows the group's leader. The
    /// leader itself is the last, and first lets another lead.
    fn demote_unlisted_voter(&self) -> Option<Step> {
        let Some(other) = self.unlisted_voters().find(|m| m.id != self.raft.id()) else {
            return self.raft.transfer_target().map(Step::TransferLeadership);
        };
        let learner = Member { role: Role::Learner, ..other.clone() };
        Some(Step::Change(self.raft.config().with(learner)))
    }

    /// Whether each listed host has a vote and answers.
    fn all_listed_vote(&self) -> bool {
        let config = self.raft.config();
        self.listed.iter().all(|(host, _)| {
            let mut members = config.members().iter().filter(|m| m.host == *host);
            members.any(|m| config.votes(m.id) && self.answers(m.id))
        })
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

    fn answers(&self, member: MemberId) -> bool {
        self.was_heard(member) && !self.is_silent(member)
    }

    /// Whether the member has answered this leader.
    fn was_heard(&self, member: MemberId) -> bool {
        member == self.raft.id() || self.raft.matched(member).is_some_and(|matched| matched > 0)
    }
}

fn takes_a_vote(config: &Config, next: &Config) -> bool {
    config.voters().any(|id| !next.votes(id))
}

impl Group {
    /// Whether the group's configuration lists this member.
    pub(crate) fn knows_member(&self, member: types::MemberId) -> bool {
        self.raft.config().get(member).is_some()
    }
}
