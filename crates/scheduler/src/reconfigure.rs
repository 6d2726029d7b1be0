//! Membership changes of the group: moves votes, adds hosts with a new disk and removes members that
//! are gone.

use crate::group::host_list;
use crate::node::Node;
use crate::votes::{next_vote_change, MemberView, VoteChange};
use consensus::{Config, Member, Raft, Role, CAUGHT_UP_ENTRIES};
use std::time::Duration;
use types::{HostId, MemberId, Timestamp};

/// A voter that was silent for this long counts as leaving. A link between live hosts that breaks
/// is replaced in less: 0.9 s until it is noticed and 0.8 s to connect again.
const SILENT_VOTER_TIMEOUT: Duration = Duration::from_secs(2);
/// A member without a vote that was silent for this long is removed. Should it come back, it asks to
/// join again.
const GONE_MEMBER_TIMEOUT: Duration = Duration::from_secs(8);
/// A member heard within this time counts as live.
const MEMBER_LIVE_WITHIN: Duration = Duration::from_secs(1);

impl Node {
    /// Proposes the next membership change if one is needed. Only one is in progress at a time.
    pub(crate) fn reconfigure_group(&mut self) {
        let now = self.now;
        let Some(group) = &self.group else { return };
        let raft = &group.raft;
        let change = self
            .next_votes(raft)
            .or_else(|| self.next_join(raft))
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

    /// The membership after the next change of a vote.
    fn next_votes(&self, raft: &Raft) -> Option<Config> {
        let config = raft.config();
        let views: Vec<MemberView> =
            config.members().iter().map(|member| self.view(raft, member)).collect();
        let (id, role) = match next_vote_change(&views, raft.id(), self.cfg.max_voters)? {
            VoteChange::Grant(id) => (id, Role::Voter),
            VoteChange::Revoke(id) => (id, Role::Learner),
        };
        let member = config.get(id)?.clone();
        Some(config.with(Member { role, ..member }))
    }

    fn view(&self, raft: &Raft, member: &Member) -> MemberView {
        let (id, now) = (member.id, self.now);
        let is_leader = id == raft.id();
        let peer = self.peers.by_host.get(&member.host);
        let zone = if is_leader { Some(&self.cfg.zone) } else { peer.map(|peer| &peer.zone) };
        let votes = member.role != Role::Learner;
        let silent = is_silent(raft, id, SILENT_VOTER_TIMEOUT, now);
        let leaving = !is_leader && (silent || self.peers.is_draining(&member.host, now));
        let has_log =
            |matched: u64| matched > 0 && matched + CAUGHT_UP_ENTRIES >= raft.last_index();
        let caught_up = votes || raft.matched(id).is_some_and(has_log);
        let answers = is_live(raft, id, now);
        MemberView { id, zone: zone.cloned(), votes, answers, leaving, caught_up }
    }

    /// The next change on the way of a new data directory into the group. Only hosts with a disk
    /// ask to join.
    fn next_join(&self, raft: &Raft) -> Option<Config> {
        let now = self.now;
        let config = raft.config();
        // A learner may have asked an earlier leader, which added it.
        let mut asked = self.join_requests.hosts();
        asked.extend(config.members().iter().map(|m| m.host.clone()));
        // A new directory takes over the vote of its host's old one; other votes are granted apart.
        let role = |host: &HostId| {
            let votes = |m: &Member| m.host == *host && m.role == Role::Voter;
            if config.members().iter().any(votes) {
                Role::Voter
            } else {
                Role::Learner
            }
        };
        let intended: Vec<(HostId, Role)> =
            asked.into_iter().map(|host| (host.clone(), role(&host))).collect();
        let live_match = |id| raft.matched(id).filter(|_| is_live(raft, id, now));
        self.join_requests.next_change(config, &intended, raft.last_index(), live_match, now)
    }
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
    // A leader that was just elected has heard nobody, and matches no entry yet.
    let answered = raft.matched(id).is_some_and(|matched| matched > 0);
    let heard = raft.last_response(id).is_some_and(|at| now < at + MEMBER_LIVE_WITHIN);
    id == raft.id() || (answered && heard)
}

/// Number of voters that are live.
pub(crate) fn live_voters(raft: &Raft, now: Timestamp) -> usize {
    raft.config().voters().filter(|id| is_live(raft, *id, now)).count()
}
