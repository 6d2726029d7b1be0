//! Workers' reports of their capacity, which a member passes on to the leader.
//!
//! A member answers a heartbeat that changes nothing for the leader. The leader still has to learn
//! that the worker has sent it: it starts tasks only where the capacity was reported lately, since
//! one that has not been reported for long may have shrunk. All reports that a member has got go
//! along with its own next heartbeat; a new leader gets the earlier ones too.

use crate::job_log::hex;
use crate::leader::Leader;
use crate::node::Node;
use consensus::Term;
use jobs::{LifeId, ResourceVector, State, WorkerInfo};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{SortedMap, Timestamp};

/// A worker has reported the capacity that the replicated state holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// Life of the worker.
    pub life: LifeId,
    /// Reading of the worker's clock when it sent the report, in milliseconds.
    pub clock: u64,
    /// Capacity that the worker reported.
    pub capacity: ResourceVector,
}

/// The newest report of each worker that this member has got itself, also while it leads: the next
/// leader needs them.
#[derive(Debug, Default)]
pub(crate) struct CapacityReports {
    /// With the time at which the report arrived here.
    newest: SortedMap<LifeId, (CapacityReport, Timestamp)>,
    /// Term of the leader to which reports were last sent, and when.
    sent: Option<(Term, Timestamp)>,
}

impl CapacityReports {
    /// Records a report that this member answers for the leader.
    pub(crate) fn record(&mut self, report: CapacityReport, now: Timestamp) {
        let newest = self.newest.get_or_insert_with(report.life, || (report, now));
        if newest.0.clock <= report.clock {
            *newest = (report, now);
        }
    }

    /// Forgets reports that are too old to be of use.
    fn expire(&mut self, max_age: Duration, now: Timestamp) {
        self.newest.retain(|_, (_, at)| now < *at + max_age);
    }

    /// Reports that the leader of the term has not been sent.
    pub(crate) fn take_unsent(&mut self, term: Term, now: Timestamp) -> Vec<CapacityReport> {
        let last = self.sent.filter(|(known, _)| *known == term).map(|(_, at)| at);
        self.sent = Some((term, now));
        let unsent = |at: Timestamp| last.is_none_or(|last| at >= last);
        let reports = self.newest.values().filter(|(_, at)| unsent(*at));
        reports.map(|(report, _)| *report).collect()
    }

    /// The newest report of each worker.
    pub(crate) fn newest(&self) -> Vec<CapacityReport> {
        self.newest.values().map(|(report, _)| *report).collect()
    }
}

impl Node {
    /// Reports for the leader that this host sends its next heartbeat to.
    pub(crate) fn unsent_capacity_reports(&mut self) -> Vec<CapacityReport> {
        let term = self.peers.leader_term();
        self.capacity_reports.take_unsent(term, self.now)
    }

    /// Forgets reports that are too old to be of use.
    pub(crate) fn expire_capacity_reports(&mut self) {
        self.capacity_reports.expire(self.cfg.session.max_report_age, self.now);
    }

    /// Uses reports that another member has got, if this host leads.
    pub(crate) fn use_capacity_reports(&mut self, reports: Vec<CapacityReport>) {
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        for report in reports {
            leader.use_report(&group.state, report, self.now);
        }
    }
}

impl Leader {
    /// Records a heartbeat. False if the worker has sent a newer one, which has arrived earlier.
    pub(crate) fn record_heartbeat(
        &mut self,
        life: LifeId,
        clock: Option<u64>,
        now: Timestamp,
    ) -> bool {
        self.last_heartbeat.insert(life, now);
        if let Some(clock) = clock {
            let newest = self.heartbeat_clocks.get_or_insert_with(life, || clock);
            if clock < *newest {
                return false;
            }
            *newest = clock;
        }
        if let (Some(session), Some(clock)) = (self.sessions.get_mut(&life), clock) {
            session.record_clock(clock, now);
        }
        true
    }

    /// Number of workers that answer but whose capacity is not known.
    pub(crate) fn unreported_workers(&self, now: Timestamp) -> usize {
        let answers = self.sessions.values().filter(|session| session.is_answering());
        answers.filter(|session| !session.is_capacity_known(now)).count()
    }

    /// Records that a heartbeat changes what the state holds of the worker.
    pub(crate) fn record_change(&mut self, info: &WorkerInfo, clock: Option<u64>) {
        self.changing.insert((info.worker.clone(), info.born), clock);
    }

    /// Records that a worker has reported the capacity that the state holds.
    pub(crate) fn record_report(&mut self, life: LifeId, clock: Option<u64>, now: Timestamp) {
        let Some(session) = self.sessions.get_mut(&life) else { return };
        let before = session.is_usable(now);
        session.record_report(clock, now);
        self.plan_due |= !before && session.is_usable(now);
    }

    /// Uses a report that another member has got, unless the state holds another capacity.
    pub(crate) fn use_report(&mut self, state: &State, report: CapacityReport, now: Timestamp) {
        let CapacityReport { life, clock, capacity } = report;
        if let Err(cause) = jobs::check_reported_millis("clock", clock) {
            log::warn!(life = life, cause = cause.as_str(); "capacity report ignored");
            return;
        }
        if state.life(life).is_none_or(|life| life.info.capacity != capacity) {
            return;
        }
        self.last_heartbeat.insert(life, now);
        let newest = self.heartbeat_clocks.get_or_insert_with(life, || clock);
        *newest = clock.max(*newest);
        self.record_report(life, Some(clock), now);
    }

    /// The report in the heartbeat that led to the change of a life that was just applied.
    pub(crate) fn record_applied_change(&mut self, state: &State, id: LifeId, now: Timestamp) {
        let Some(life) = state.life(id) else { return };
        let key = (life.info.worker.clone(), life.info.born);
        if let Some(clock) = self.changing.remove(&key) {
            self.record_report(id, clock, now);
        }
    }

    /// Stops runs that are not known to have started, the latest first, while a worker whose
    /// capacity has shrunk has more assigned than it can hold.
    pub(crate) fn take_back_starts(&mut self, state: &State, id: LifeId, now: Timestamp) {
        let (Some(life), Some(session)) = (state.life(id), self.sessions.get_mut(&id)) else {
            return;
        };
        let mut over = life.excess();
        let unstarted = session.runs().filter(|run| run.working_since.is_none() && !run.stopping);
        let unstarted: Vec<_> = unstarted.map(|run| (run.task, run.run)).collect();
        for (task, run) in unstarted.into_iter().rev() {
            if over == ResourceVector::default() {
                return;
            }
            let found = life.runs.iter().find(|known| (known.task, known.run) == (task, run));
            let Some(known) = found else { continue };
            log::info!(job = hex(task.step.job).as_str(), step = task.step.step,
                index = task.index, run = run, life = id; "start taken back: its worker has shrunk");
            over = over.minus(&known.need);
            session.stop_run(task, run, now);
        }
    }
}
