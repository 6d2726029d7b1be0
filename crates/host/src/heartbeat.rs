//! Workers' heartbeats at the leader of their zone.
//!
//! The worker counts its lease from when it sent the heartbeat. The answer leaves only after it
//! was confirmed, since the heartbeat came, that this host leads; a later leader therefore took
//! over after the heartbeat was sent, and waits a full lease before it takes the worker for lost.

use crate::call::{Answer, Heartbeat, HeartbeatResponse};
use crate::group::{unavailable, Completion, Read};
use crate::host::Host;
use crate::leader::Parked;
use crate::message::GroupId;
use crate::origin::Origin;
use state::ZoneCommand;
use std::time::Duration;
use types::{Refusal, RefusalKind, WorkerId};

/// Longest that an answer is held back; several must fit in a lease.
const MAX_WAIT_LEASE_DIVISOR: u32 = 4;

impl Host {
    pub(crate) fn handle_heartbeat(&mut self, id: &GroupId, heartbeat: Heartbeat, origin: Origin) {
        if let Some(refusal) = self.refuse_heartbeat(id, &heartbeat) {
            self.answer(origin, Err(refusal));
            return;
        }
        let now = self.now;
        let group = self.groups.get_mut(id).expect("it leads the group");
        let new_ends: Vec<_> = match group.zone() {
            Some(zone) => {
                let live = |end: &&state::RunEnd| zone.runs().contains_key(&end.fence);
                heartbeat.ended.iter().filter(live).copied().collect()
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

    /// Why a worker gets no lease with this heartbeat.
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

    /// Answers a heartbeat, or holds the answer back while there is nothing to say.
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
        let group = self.groups.get_mut(id).expect("heartbeats wait at a group");
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
            let parked = Parked { origin, until: now + wait, heartbeat };
            let worker = parked.heartbeat.worker.clone();
            if let Some(earlier) = leader.parked.insert(worker, parked) {
                let idle = HeartbeatResponse { lease, ..HeartbeatResponse::default() };
                self.answer(earlier.origin, Ok(Answer::Heartbeat(idle)));
            }
            return;
        }
        self.answer(origin, Ok(Answer::Heartbeat(response)));
    }

    /// Answers what was held back for workers of which there is news now, or whose time is up.
    pub(crate) fn answer_parked(&mut self, id: &GroupId, workers: &[WorkerId]) {
        let now = self.now;
        let Some(leader) = self.groups.get_mut(id).and_then(|g| g.leader.as_mut()) else { return };
        let is_due =
            |worker: &WorkerId, parked: &Parked| parked.until <= now || workers.contains(worker);
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

/// Whether a worker must hear something at once.
fn needs_prompt_answer(response: &HeartbeatResponse, heartbeat: &Heartbeat) -> bool {
    let stops_anew = response.stop.iter().any(|fence| !heartbeat.stopping.contains(fence));
    !response.start.is_empty() || stops_anew || !response.acknowledged.is_empty()
}
