//! Membership changes of the group: adds hosts with a new disk and removes members that are gone.
//!
//! A dead voter costs the group one of the losses that it tolerates, until the voter is back or its
//! vote is given to another host. Each change therefore keeps the number of further losses or raises
//! it: a learner that has caught up gets a vote, which makes the number of voters even, and then
//! the dead voter is removed.

use crate::group::host_list;
use crate::node::Node;
use consensus::{Config, Raft, Role};
use std::time::Duration;
use types::{HostId, MemberId, Timestamp};

/// A voter that was silent for this long gives its vote to another host. A link between live hosts
/// that breaks is replaced in less: 0.9 s until it is noticed and 0.8 s to connect again.
const SILENT_VOTER_TIMEOUT: Duration = Duration::from_secs(2);
/// A member that was silent for this long is removed even if the group tolerates no more losses
/// without it. Should it come back, it asks to join again.
const GONE_MEMBER_TIMEOUT: Duration = Duration::from_secs(8);
/// Minimum number of live voters for the removal of a silent one.
const MIN_LIVE_VOTERS: usize = 3;
/// A member heard within this time counts as live.
const MEMBER_LIVE_WITHIN: Duration = Duration::from_secs(1);

impl Node {
    /// Proposes the next membership change if one is needed. Only one is in progress at a time.
    pub(crate) fn reconfigure_group(&mut self) {
        let now = self.now;
        let Some(group) = &self.group else { return };
        let raft = &group.raft;
        let is_draining = |host: &HostId| self.peers.is_draining(host, now);
        let leaving = leaving_voter(raft, is_draining, now);
        let change = without_leaving_voter(raft, leaving, is_draining, now)
            .or_else(|| self.next_join(leaving.is_some()))
            .or_else(|| without_gone_learner(raft, now));
        let Some(next) = change.filter(|next| next != raft.config()) else { return };
        let voters = host_list(&next, |role| role != Role::Learner);
        let learners = host_list(&next, |role| role == Role::Learner);
        let Some(group) = &mut self.group else { return };
        // Refused while another change is in progress; the next call tries again.
        match group.raft.propose_config(now, next) {
            Ok(_) => log::info!(voters = voters.as_str(), learners = learners.as_str();
                "membership change proposed"),
            Err(e) => log::debug!(cause:display = e; "membership change refused for now"),
        }
    }

    /// The next change on the way of a new data directory into the group. A learner beyond the
    /// wanted number of voters gets a vote if a voter is leaving.
    fn next_join(&self, voter_leaves: bool) -> Option<Config> {
        let now = self.now;
        let raft = &self.group.as_ref()?.raft;
        let config = raft.config();
        let voters = config.voters().count();
        // Only hosts with a disk ask to join. Beyond the wanted number of voters they become
        // learners.
        let is_voter = |host: &HostId| {
            let replaces =
                config.members().iter().any(|m| m.host == *host && m.role == Role::Voter);
            replaces || voters < self.cfg.max_voters || voter_leaves
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
        let may_vote = |member: MemberId| {
            let host = config.get(member).map(|member| &member.host);
            is_live(raft, member, now)
                && !host.is_some_and(|host| self.peers.is_draining(host, now))
        };
        self.join_requests.next_change(
            config,
            &intended,
            raft.last_index(),
            |member| raft.matched(member).filter(|_| may_vote(member)),
            now,
        )
    }
}

/// A voter whose vote another host should have: it is about to stop, or has been silent for
/// [`SILENT_VOTER_TIMEOUT`].
fn leaving_voter<F>(raft: &Raft, is_draining: F, now: Timestamp) -> Option<MemberId>
where
    F: Fn(&HostId) -> bool,
{
    let config = raft.config();
    let is_leaving = |id: &MemberId| {
        let drains = config.get(*id).is_some_and(|member| is_draining(&member.host));
        *id != raft.id() && (drains || is_silent(raft, *id, SILENT_VOTER_TIMEOUT, now))
    };
    config.voters().find(is_leaving)
}

/// The membership without a voter that is leaving or gone. `None` if too few voters would remain
/// that are there and stay, or if a voter that is leaving had better be kept: an odd number of
/// voters tolerates as many losses with it as without it.
fn without_leaving_voter<F>(
    raft: &Raft,
    leaving: Option<MemberId>,
    is_draining: F,
    now: Timestamp,
) -> Option<Config>
where
    F: Fn(&HostId) -> bool,
{
    let config = raft.config();
    let stays = |id: &MemberId| {
        let drains = config.get(*id).is_some_and(|member| is_draining(&member.host));
        is_live(raft, *id, now) && (!drains || *id == raft.id())
    };
    if config.voters().filter(stays).count() < MIN_LIVE_VOTERS {
        return None;
    }
    let is_even = config.voters().count().is_multiple_of(2);
    let is_gone = |id: &MemberId| is_silent(raft, *id, GONE_MEMBER_TIMEOUT, now);
    let removed = leaving.filter(|_| is_even).or_else(|| config.voters().find(is_gone))?;
    Some(config.without(removed))
}

/// The membership without a learner that is gone; `None` if there is none.
fn without_gone_learner(raft: &Raft, now: Timestamp) -> Option<Config> {
    let config = raft.config();
    let mut learners = config.members().iter().filter(|m| m.role == Role::Learner);
    let gone = learners.find(|m| is_silent(raft, m.id, GONE_MEMBER_TIMEOUT, now))?;
    Some(config.without(gone.id))
}

/// Whether another member has not answered this leader for this long.
fn is_silent(raft: &Raft, id: MemberId, span: Duration, now: Timestamp) -> bool {
    id != raft.id() && raft.last_response(id).is_some_and(|at| now > at + span)
}

/// Whether a member answered this leader within [`MEMBER_LIVE_WITHIN`], or is this leader.
fn is_live(raft: &Raft, id: MemberId, now: Timestamp) -> bool {
    id == raft.id() || raft.last_response(id).is_some_and(|at| now < at + MEMBER_LIVE_WITHIN)
}

/// Number of voters that are live.
pub(crate) fn live_voters(raft: &Raft, now: Timestamp) -> usize {
    raft.config().voters().filter(|id| is_live(raft, *id, now)).count()
}
