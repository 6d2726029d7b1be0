//! What a member of the group answers from its own copy of the state, so that the leader need not.
//!
//! At 350 workers and 150 jobs a second most calls are callers who look at their jobs and workers
//! that say again what they said before. A copy may be a little behind the leader's, so it answers
//! only what stays true: that a job is over, or that a worker has said something.

use crate::call::{Answer, Call};
use crate::node::Node;
use jobs::{LifeId, WorkerInfo};
use std::time::Duration;
use types::{HostId, SortedMap, Timestamp};

/// A copy answers while its leader was heard within this time.
const FRESH: Duration = Duration::from_secs(1);
/// The leader hears of each worker at least this often through each member that the worker talks to.
const BEAT_PASSED_ON: Duration = Duration::from_secs(4);
/// A member that did not answer is not asked to read for this long.
const REST: Duration = Duration::from_secs(2);

/// What a host knows of answering from copies.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    /// When a worker's heartbeat last went on to the leader.
    passed_on: SortedMap<LifeId, Timestamp>,
    /// Members that did not answer, and until when they are passed over.
    resting: SortedMap<HostId, Timestamp>,
    turn: usize,
}

impl Copies {
    /// The member that is to read next: any but the leader, by turns.
    pub(crate) fn reader(
        &mut self,
        members: &[HostId],
        leader: &HostId,
        now: Timestamp,
    ) -> Option<HostId> {
        let rests = |host: &HostId| self.resting.get(host).is_some_and(|until| now < *until);
        let others: Vec<&HostId> =
            members.iter().filter(|host| *host != leader && !rests(host)).collect();
        self.turn = self.turn.wrapping_add(1);
        let host = others.get(self.turn % others.len().max(1))?;
        Some((*host).clone())
    }

    /// A member did not answer in time.
    pub(crate) fn rest(&mut self, host: HostId, now: Timestamp) {
        self.resting.retain(|_, until| now < *until);
        self.resting.insert(host, now + REST);
    }
}

impl Node {
    /// The answer to a call from this member's copy, where that is as good as the leader's.
    pub(crate) fn answer_from_copy(&mut self, call: &Call) -> Option<Answer> {
        let now = self.now;
        if self.draining || !self.known.leader_heard_within(now, FRESH) {
            return None;
        }
        let state = &self.group.as_ref()?.state;
        match call {
            Call::JobPhase { id, queue } => {
                let job = state.job(*id).filter(|job| state.address(job.queue) == queue)?;
                job.phase.is_over().then_some(Answer::Phase(job.phase))
            }
            Call::Heartbeat(beat) => {
                let WorkerInfo { worker, born, .. } = &beat.info;
                let life = state.find_life(worker, *born).filter(|life| life.info == beat.info)?;
                let passed_on = self.copies.passed_on.get(&life.id);
                let lately = passed_on.is_some_and(|at| now < *at + BEAT_PASSED_ON);
                if !lately {
                    let id = life.id;
                    self.copies.passed_on.retain(|id, _| state.life(*id).is_some());
                    self.copies.passed_on.insert(id, now);
                }
                lately.then_some(Answer::Done)
            }
            _ => None,
        }
    }

    /// Where a call that only reads goes first: a member that is not the leader, so that the
    /// leader's processor is left to placing.
    pub(crate) fn reader_for(&mut self, call: &Call, leader: &HostId) -> Option<HostId> {
        if !matches!(call, Call::JobPhase { .. }) || self.cfg.disk {
            return None;
        }
        self.copies.reader(self.known.members(), leader, self.now)
    }
}
