//! Background tasks of a group's leader: placement, adoption of releases, detection of lost
//! workers and rolling replacement of service runs.

use crate::group::{Completion, StateMachine};
use crate::home::zone_job;
use crate::host::Host;
use crate::message::GroupId;
use placement::Plan;
use state::{Placement, RecordPhase, StoredOutcome, ZoneCommand, ZoneState};
use std::time::Duration;
use types::{Fence, JobClass, JobId, Timestamp, ZoneName};

/// Maximum number of placements in one plan, and so in one command.
const MAX_PLACEMENTS_PER_PLAN: usize = 512;
/// Interval of the checks for conditions that no message reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which old jobs, lost workers and records are removed.
const TRIM_INTERVAL: Duration = Duration::from_secs(600);
/// A changed service has at most its task count divided by this replaced at a time, at least one.
const REPLACEMENT_DIVISOR: u32 = 10;
/// How long after the longest request timeout an unfinished record gets an unknown outcome.
const RECORD_GRACE: Duration = Duration::from_secs(30);

impl Host {
    pub(crate) fn run_leader_tasks(&mut self, id: &GroupId) {
        let now = self.now;
        let Some(group) = self.groups.get(id) else { return };
        if group.raft.has_committed_in_term() {
            self.repair_membership(id);
        }
        if self.leader_mut(id).is_none() {
            return;
        }
        self.adopt_release(id);
        self.plan_placements(id);
        self.answer_parked(id, &[]);
        if self.leader_mut(id).is_some_and(|leader| now >= leader.next_check) {
            self.run_checks(id);
        }
    }

    fn plan_placements(&mut self, id: &GroupId) {
        let now = self.now;
        let Some(leader) = self.leader_mut(id) else { return };
        if leader.plan_in_flight.is_some() || !leader.planner.is_due(now) {
            return;
        }
        let plan = leader.planner.plan(now, MAX_PLACEMENTS_PER_PLAN);
        self.stats.preemptions += plan.stops.len() as u64;
        self.stats.late_jobs += plan.late.len() as u64;
        self.propose_plan(id, plan);
    }

    fn propose_plan(&mut self, id: &GroupId, plan: Plan) {
        let now = self.now;
        for job in plan.late {
            self.propose(id, ZoneCommand::MarkLate { job }, Completion::Nothing);
        }
        if !plan.stops.is_empty() {
            self.propose(id, ZoneCommand::Stop { fences: plan.stops }, Completion::Nothing);
        }
        if plan.placements.is_empty() {
            return;
        }
        let placement = |planned: placement::PlannedTask| Placement {
            job: planned.job,
            worker: planned.worker,
            incarnation: planned.incarnation,
        };
        let placements = plan.placements.into_iter().map(placement).collect();
        let command = ZoneCommand::Place { placements, at: now };
        let Some(group) = self.groups.get_mut(id) else { return };
        let index = group.propose_zone(now, &command, Completion::Planned).ok();
        if let Some(leader) = &mut group.leader {
            leader.plan_in_flight = index;
        }
    }

    /// Proposes the changes that bring the zone to the release in force.
    fn adopt_release(&mut self, id: &GroupId) {
        let now = self.now;
        let GroupId::Zone(zone) = id else { return };
        let Some(group) = self.groups.get_mut(id) else { return };
        let (Some(leader), StateMachine::Zone(state)) = (&mut group.leader, &group.machine) else {
            return;
        };
        let release = self.release.current();
        if leader.adoption_in_flight.is_some() || release.version <= state.release() {
            return;
        }
        let command = adoption(state, release, zone, &self.zones, now);
        let index = group.propose_zone(now, &command, Completion::Adopted).ok();
        if let Some(leader) = &mut group.leader {
            leader.adoption_in_flight = index;
        }
    }

    /// Checks for conditions that no message reports: silent workers, ended quarantines, outdated
    /// runs, abandoned records and expired state.
    fn run_checks(&mut self, id: &GroupId) {
        let now = self.now;
        let cfg = self.cfg.clone();
        let Some(group) = self.groups.get_mut(id) else { return };
        let (Some(leader), StateMachine::Zone(state)) = (&mut group.leader, &group.machine) else {
            return;
        };
        leader.next_check = now + CHECK_INTERVAL;
        leader.refresh_workers(state, now);
        leader.slot_allocator.remove_expired(now);
        let silent = leader.silent_workers(state, &cfg, now);
        let mut commands: Vec<ZoneCommand> = Vec::new();
        for (worker, incarnation) in silent {
            leader.mark_loss_proposed(&worker, incarnation);
            self.stats.workers_lost += 1;
            commands.push(ZoneCommand::WorkerLost { worker, incarnation, at: now });
        }
        commands.extend(replacements(state));
        commands.extend(abandoned_records(state, now, cfg.max_timeout + RECORD_GRACE));
        if now >= leader.next_trim {
            leader.next_trim = now + TRIM_INTERVAL;
            commands.push(ZoneCommand::Trim {
                before: now.saturating_sub(cfg.keep_ended),
                records_before: now.saturating_sub(cfg.keep_records),
            });
        }
        for command in commands {
            self.propose(id, command, Completion::Nothing);
        }
    }
}

/// The command that brings a zone from the release it has adopted to `release`.
fn adoption(
    state: &ZoneState,
    release: &types::Release,
    zone: &ZoneName,
    zones: &[ZoneName],
    now: Timestamp,
) -> ZoneCommand {
    let mut jobs = Vec::new();
    let mut kept: Vec<JobId> = Vec::new();
    for declared in release.jobs.values() {
        let Some(part) = zone_job(declared, zone, zones) else { continue };
        match state.find_job(&part.spec.key()) {
            Some((id, job)) if job.added == Some(part.added) => {
                kept.push(id);
                if job.spec != part.spec {
                    jobs.push(part);
                }
            }
            _ => jobs.push(part),
        }
    }
    kept.sort_unstable();
    let declared = state.jobs().iter().filter(|(_, job)| job.added.is_some());
    let withdrawn = declared.map(|(id, _)| *id).filter(|id| kept.binary_search(id).is_err());
    let quotas: Vec<_> = release.quotas.values().cloned().collect();
    let same_quotas = state.quotas().values().eq(quotas.iter());
    ZoneCommand::Adopt {
        base: state.release(),
        version: release.version,
        jobs,
        withdrawn: withdrawn.collect(),
        quotas: (!same_quotas).then_some(quotas),
        at: now,
    }
}

/// Stops some outdated runs of each changed service, provided that none of its tasks waits and none
/// of its runs is stopping.
fn replacements(state: &ZoneState) -> Option<ZoneCommand> {
    let mut fences: Vec<Fence> = Vec::new();
    for job in state.jobs().values() {
        let changed = job.generation > 0 && job.spec.class == JobClass::Service && !job.is_over();
        if !changed || job.waiting() > 0 {
            continue;
        }
        let run = |fence: &Fence| state.runs().get(fence);
        if job.runs.iter().filter_map(run).any(|run| run.stopping) {
            continue;
        }
        let old = |fence: &&Fence| run(fence).is_some_and(|r| r.generation < job.generation);
        let at_a_time = (job.spec.tasks / REPLACEMENT_DIVISOR).max(1) as usize;
        fences.extend(job.runs.iter().filter(old).take(at_a_time));
    }
    (!fences.is_empty()).then_some(ZoneCommand::Stop { fences })
}

/// Finishes records whose owner can no longer do so: their outcome stays unknown.
fn abandoned_records(state: &ZoneState, now: Timestamp, longest: Duration) -> Vec<ZoneCommand> {
    let open = state.records().iter().filter(|(_, r)| r.phase == RecordPhase::Begun);
    let old = open.filter(|(_, record)| now > record.at + longest);
    old.map(|(key, record)| ZoneCommand::RecordFinish {
        key: key.clone(),
        owner: record.owner.clone(),
        outcome: Some(StoredOutcome::Unknown),
        at: now,
    })
    .collect()
}
