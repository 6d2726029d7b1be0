//! Worker heartbeats, handled by the leader of the worker's zone.
//!
//! A worker counts its lease from the time at which it sent the heartbeat. The leader answers only
//! after it has confirmed, since the heartbeat arrived, that it still leads. Any later leader was
//! therefore elected after the heartbeat was sent, and it waits a full lease before it declares the
//! worker lost.

use crate::call::{Answer, Heartbeat, HeartbeatResponse};
use crate::group::{unavailable, Completion, Read};
use crate::host::Host;
use crate::leader::ParkedHeartbeat;
use crate::message::GroupId;
use crate::origin::Origin;
use state::ZoneCommand;
use std::time::Duration;
use types::{Refusal, RefusalKind, WorkerId};

/// An answer is held back for at most a lease divided by this, so that several heartbeats fit in a
/// lease.
const MAX_WAIT_LEASE_DIVISOR: u32 = 4;

impl Host {
    pub(crate) fn handle_heartbeat(&mut self, id: &GroupId, heartbeat: Heartbeat, origin: Origin) {
        if let Some(refusal) = self.refuse_heartbeat(id, &heartbeat) {
            self.answer(origin, Err(refusal));
            return;
        }
        let now = self.now;
        let group = self.groups.get_mut(id).expect("this host leads the group");
        let new_ends: Vec<_> = match group.zone() {
            Some(zone) => {
                let is_live = |end: &&state::RunEnd| zone.runs().contains_key(&end.fence);
                heartbeat.ended.iter().filter(is_live).copied().collect()
            }
            None => Vec::new(),
        };
        if let Some(leader) = &mut group.leader {
            leader.renew_contact(&heartbeat.worker, now);
            leader.record_usage(&heartbeat, now);
        }
        let worker = heartbeat.worker.clone();
        let heartbeat = Box::new(heartbeat);
        if new_ends.is_empty() {
            self.read(id, Read::Heartbeat(heartbeat, origin));
        } else {
            let command = ZoneCommand::End { worker, ends: new_ends, at: now };
            self.propose(id, command, Completion::Heartbeat(heartbeat, origin));
        }
    }

    /// The reason not to renew the worker's lease with this heartbeat, if there is one.
    fn refuse_heartbeat(&self, id: &GroupId, heartbeat: &Heartbeat) -> Option<Refusal> {
        let group = self.groups.get(id)?;
        let zone = group.zone()?;
        let loss_proposed = group.leader.as_ref().is_some_and(|leader| {
            leader.is_loss_proposed(&heartbeat.worker, heartbeat.incarnation)
        });
        let conflict = |message: String| Some(Refusal::new(RefusalKind::Conflict, message));
        match zone.workers().get(&heartbeat.worker) {
            None => conflict(format!("worker: `{}` is not registered", heartbeat.worker)),
            Some(worker) if worker.incarnation != heartbeat.incarnation => conflict(format!(
                "incarnation: {} is over; register with one above {}",
                heartbeat.incarnation, worker.incarnation
            )),
            Some(worker) if worker.lost_at.is_some() || loss_proposed => conflict(format!(
                "incarnation: {} was lost; register with a larger one",
                heartbeat.incarnation
            )),
            Some(_) => None,
        }
    }

    /// Answers a heartbeat, or parks it while there is nothing new for the worker.
    pub(crate) fn finish_heartbeat(
        &mut self,
        id: &GroupId,
        heartbeat: Box<Heartbeat>,
        origin: Origin,
    ) {
        if let Some(refusal) = self.refuse_heartbeat(id, &heartbeat) {
            self.answer(origin, Err(refusal));
            return;
        }
        let (now, lease) = (self.now, self.cfg.worker_lease);
        let group = self.groups.get_mut(id).expect("heartbeats are handled in a group");
        let response = match (&group.leader, group.zone()) {
            (Some(leader), Some(zone)) => leader.response(zone, &heartbeat, lease, now),
            _ => {
                self.answer(origin, Err(unavailable(id)));
                return;
            }
        };
        let wait = heartbeat.wait.min(lease / MAX_WAIT_LEASE_DIVISOR);
        if wait > Duration::ZERO && !needs_prompt_answer(&response, &heartbeat) {
            let leader = group.leader.as_mut().expect("matched above");
            let parked = ParkedHeartbeat { origin, until: now + wait, heartbeat };
            let worker = parked.heartbeat.worker.clone();
            if let Some(earlier) = leader.parked.insert(worker, parked) {
                let idle = HeartbeatResponse { lease, ..HeartbeatResponse::default() };
                self.answer(earlier.origin, Ok(Answer::Heartbeat(idle)));
            }
            return;
        }
        self.answer(origin, Ok(Answer::Heartbeat(response)));
    }

    /// Answers the parked heartbeats of the given workers and those whose wait has ended.
    pub(crate) fn answer_parked(&mut self, id: &GroupId, workers: &[WorkerId]) {
        let now = self.now;
        let Some(leader) = self.groups.get_mut(id).and_then(|g| g.leader.as_mut()) else { return };
        let is_due = |worker: &WorkerId, parked: &ParkedHeartbeat| {
            parked.until <= now || workers.contains(worker)
        };
        let due = leader.parked.iter().filter(|(worker, parked)| is_due(worker, parked));
        let due: Vec<WorkerId> = due.map(|(worker, _)| worker.clone()).collect();
        for worker in due {
            let leader = self.groups.get_mut(id).and_then(|g| g.leader.as_mut());
            let Some(mut parked) = leader.and_then(|l| l.parked.remove(&worker)) else { continue };
            parked.heartbeat.wait = parked.until.saturating_sub(now);
            self.finish_heartbeat(id, parked.heartbeat, parked.origin);
        }
    }
}

/// Whether the response holds something that the worker must learn at once.
fn needs_prompt_answer(response: &HeartbeatResponse, heartbeat: &Heartbeat) -> bool {
    let new_stops = response.stop.iter().any(|fence| !heartbeat.stopping.contains(fence));
    !response.start.is_empty() || new_stops || !response.acknowledged.is_empty()
}
