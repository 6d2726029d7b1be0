//! Calls that followers answer from their own copy of the state, to relieve the leader.
//!
//! At 350 workers and 150 jobs per second most calls are clients polling their jobs and workers
//! repeating unchanged heartbeats. A copy may lag behind the leader's, so a follower answers only
//! what can't change any more: that a job is finished, or that a worker's heartbeat was applied.

use crate::call::{Answer, Call};
use crate::calls::visible_job;
use crate::capacity_reports::CapacityReport;
use crate::node::Node;
use jobs::WorkerInfo;
use std::time::Duration;
use types::{HostId, SortedMap, Timestamp};

/// A follower answers only if it heard the leader within this time.
const MAX_LEADER_AGE: Duration = Duration::from_secs(1);
/// A follower that did not answer gets no reads for this long.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(2);

/// State of a host for sending reads to followers and answering them.
#[derive(Debug, Default)]
pub(crate) struct FollowerReads {
    /// Followers that did not answer, and until when they are skipped.
    unresponsive: SortedMap<HostId, Timestamp>,
    next_turn: usize,
}

impl FollowerReads {
    /// The next follower for a read, in round-robin order: one that answers the leader and has not
    /// left a read of this host unanswered.
    pub(crate) fn next_follower(
        &mut self,
        responsive: &[HostId],
        leader: &HostId,
        now: Timestamp,
    ) -> Option<HostId> {
        let is_unresponsive =
            |host: &HostId| self.unresponsive.get(host).is_some_and(|until| now < *until);
        let others: Vec<&HostId> =
            responsive.iter().filter(|host| *host != leader && !is_unresponsive(host)).collect();
        self.next_turn = self.next_turn.wrapping_add(1);
        let host = others.get(self.next_turn % others.len().max(1))?;
        Some((*host).clone())
    }

    /// Records that a follower did not answer in time.
    pub(crate) fn mark_unresponsive(&mut self, host: HostId, now: Timestamp) {
        self.unresponsive.retain(|_, until| now < *until);
        self.unresponsive.insert(host, now + UNRESPONSIVE_FOR);
    }
}

impl Node {
    /// Answers a call from this member's copy of the state; `None` if only the leader can answer
    /// it.
    pub(crate) fn answer_as_follower(&mut self, call: &Call) -> Option<Answer> {
        let now = self.now;
        if self.draining || !self.peers.leader_heard_within(now, MAX_LEADER_AGE) {
            return None;
        }
        let state = &self.group.as_ref()?.state;
        match call {
            Call::JobPhase { id, queue, key } => {
                if !self.may_serve(queue, key.as_ref()) {
                    return None;
                }
                let job = visible_job(state, *id, queue, key.as_ref()).ok()??;
                job.phase.is_over().then_some(Answer::Phase(job.phase))
            }
            Call::Heartbeat(heartbeat) => {
                let WorkerInfo { worker, born, .. } = &heartbeat.info;
                let life =
                    state.find_life(worker, *born).filter(|life| life.info == heartbeat.info)?;
                let clock = heartbeat.clock?;
                let report = CapacityReport { life: life.id, clock, capacity: life.info.capacity };
                self.capacity_reports.record(report, now);
                Some(Answer::Done)
            }
            _ => None,
        }
    }

    /// The follower that a read is sent to first, which leaves the leader's CPU time to placement.
    /// `None` for all other calls, and on hosts with a copy of their own.
    pub(crate) fn follower_for(&mut self, call: &Call, leader: &HostId) -> Option<HostId> {
        if !matches!(call, Call::JobPhase { .. }) || self.cfg.disk {
            return None;
        }
        self.follower_reads.next_follower(self.peers.responsive_members(), leader, self.now)
    }
}
