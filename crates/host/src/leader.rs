//! State that only the leader of a zone's group keeps: worker contact times, the planner and slot
//! leases.

use crate::call::{Heartbeat, HeartbeatResponse, RunUsage, StartRun};
use crate::config::{HostConfig, InjectedBug};
use crate::home::cell_task_index;
use crate::origin::Origin;
use crate::pressure;
use consensus::Index;
use placement::{JobView, Planner, RunView, WorkerView};
use routing::SlotAllocator;
use state::{Effects, Job, Run, Worker, ZoneState};
use std::time::Duration;
use types::{Fence, Incarnation, JobClass, JobId, SortedMap, Timestamp, WorkerId, ZoneName};

/// During a lease, two clocks may drift apart by the lease divided by this (2 %).
const CLOCK_DRIFT_DIVISOR: u32 = 50;
/// Extra time for a worker to stop its runs when its lease ends.
const STOP_ALLOWANCE: Duration = Duration::from_millis(500);
/// Usage measured longer ago than this is ignored.
const MAX_USAGE_AGE: Duration = Duration::from_secs(30);

/// A heartbeat whose answer is held back while there is nothing new for the worker.
#[derive(Debug)]
pub(crate) struct ParkedHeartbeat {
    pub(crate) heartbeat: Box<Heartbeat>,
    pub(crate) origin: Origin,
    pub(crate) until: Timestamp,
}

/// The resource usage that a worker last reported for its runs.
#[derive(Debug)]
struct Usage {
    measured: Timestamp,
    runs: Vec<RunUsage>,
}

/// State that only a zone's leader keeps. It is created anew at every election, with the planner
/// loaded from the replicated state.
#[derive(Debug)]
pub(crate) struct ZoneLeader {
    pub(crate) planner: Planner,
    pub(crate) slot_allocator: SlotAllocator,
    pub(crate) parked: SortedMap<WorkerId, ParkedHeartbeat>,
    pub(crate) plan_in_flight: Option<Index>,
    pub(crate) adoption_in_flight: Option<Index>,
    pub(crate) next_check: Timestamp,
    pub(crate) next_trim: Timestamp,
    /// When this host last heard from each worker.
    last_contact: SortedMap<WorkerId, Timestamp>,
    /// Silence is counted from this time at the earliest: this host's election, or the end of the
    /// last pause of its process.
    grace_start: Timestamp,
    /// Incarnations whose loss was proposed but may not be applied yet. They get no more leases.
    proposed_losses: SortedMap<WorkerId, Incarnation>,
    usage: SortedMap<WorkerId, Usage>,
    zones: Vec<ZoneName>,
    zone: ZoneName,
    /// Jobs that shared no worker with others at the last check.
    apart: Vec<JobId>,
}

impl ZoneLeader {
    pub(crate) fn new(
        now: Timestamp,
        cfg: &HostConfig,
        seed: u64,
        name: &ZoneName,
        zone: &ZoneState,
    ) -> ZoneLeader {
        let early = if cfg.has_bug(InjectedBug::GrantSlotsAtOnce) {
            now.saturating_sub(cfg.slot_lease)
        } else {
            now
        };
        let mut leader = ZoneLeader {
            planner: Planner::new(cfg.policy.clone(), seed),
            slot_allocator: SlotAllocator::new(early, cfg.slot_lease),
            parked: SortedMap::default(),
            plan_in_flight: None,
            adoption_in_flight: None,
            next_check: now,
            next_trim: now,
            last_contact: SortedMap::default(),
            grace_start: now,
            proposed_losses: SortedMap::default(),
            usage: SortedMap::default(),
            zones: cfg.zones(),
            zone: name.clone(),
            apart: jobs_kept_apart(zone, now),
        };
        if cfg.has_bug(InjectedBug::SkipTakeoverGrace) {
            leader.grace_start = Timestamp::ZERO;
        }
        leader.sync_planner(zone, now);
        leader
    }

    /// Returns the parked heartbeats, when this host no longer leads.
    pub(crate) fn into_parked(mut self: Box<Self>) -> Vec<ParkedHeartbeat> {
        let workers: Vec<WorkerId> = self.parked.keys().cloned().collect();
        workers.iter().filter_map(|worker| self.parked.remove(worker)).collect()
    }

    /// Loads the whole zone state into the planner.
    fn sync_planner(&mut self, zone: &ZoneState, now: Timestamp) {
        self.planner.set_quotas(zone.quotas().values());
        for (id, worker) in zone.workers().iter() {
            self.planner.upsert_worker(worker_view(zone, id, worker, now));
        }
        for (fence, run) in zone.runs().iter() {
            self.sync_run(zone, *fence, run);
        }
        for id in zone.jobs().keys() {
            self.sync_job(zone, *id, now);
        }
    }

    /// Updates the planner with the changes of an applied command.
    pub(crate) fn apply_effects(&mut self, zone: &ZoneState, effects: &Effects, now: Timestamp) {
        for ended in &effects.ended {
            self.planner.remove_run(ended.fence);
            self.learn_run_time(zone, ended);
        }
        for id in &effects.workers {
            match zone.workers().get(id) {
                Some(worker) => self.planner.upsert_worker(worker_view(zone, id, worker, now)),
                None => self.planner.remove_worker(id),
            }
        }
        for fence in effects.placed.iter().chain(&effects.stopped) {
            if let Some(run) = zone.runs().get(fence) {
                self.sync_run(zone, *fence, run);
            }
        }
        for id in &effects.jobs {
            self.sync_job(zone, *id, now);
        }
    }

    fn learn_run_time(&mut self, zone: &ZoneState, ended: &state::EndedRun) {
        let Some(took) = ended.took else { return };
        let Some(job) = zone.jobs().get(&ended.job) else { return };
        if let Some(declared) = job.spec.run_time {
            self.planner.learn(&job.spec.team, &job.spec.name, declared, took);
        }
    }

    fn sync_job(&mut self, zone: &ZoneState, id: JobId, now: Timestamp) {
        match zone.jobs().get(&id) {
            // An all-at-once job is startable only while none of its tasks runs.
            Some(job) if is_startable(zone, job) => {
                let apart = zone.is_kept_apart(id, now);
                let held_until = zone.held_until(id, job);
                self.planner.upsert_job(JobView { apart, held_until, ..job_view(id, job) });
            }
            _ => self.planner.remove_job(id),
        }
    }

    fn sync_run(&mut self, zone: &ZoneState, fence: Fence, run: &Run) {
        let Some(job) = zone.jobs().get(&run.job) else { return };
        let expected = match job.spec.class {
            JobClass::Service => None,
            _ => Some(self.planner.predict(&job_view(run.job, job))),
        };
        let plain_batch = job.spec.class == JobClass::Batch && !job.spec.urgent;
        self.planner.upsert_run(RunView {
            fence,
            job: run.job,
            team: job.spec.team.clone(),
            worker: run.worker.clone(),
            resources: run.resources,
            placed: run.placed,
            expected,
            preemptible: plain_batch && !job.spec.unrepeatable,
            stopping: run.stopping,
        });
    }

    /// Updates the free resources of workers whose quarantine may have ended, jobs that need not be
    /// kept apart any more, and the workers that are closed for these or no longer are.
    pub(crate) fn refresh_workers(&mut self, zone: &ZoneState, now: Timestamp) {
        let suspects: Vec<JobId> = zone.suspect_jobs().collect();
        for id in &suspects {
            self.sync_job(zone, *id, now);
        }
        let apart = jobs_kept_apart(zone, now);
        let before = std::mem::replace(&mut self.apart, apart);
        let began = self.apart.iter().filter(|id| !before.contains(id));
        let ended = before.iter().filter(|id| !self.apart.contains(id));
        let jobs = began.chain(ended).filter_map(|id| zone.jobs().get(id));
        let runs = jobs.flat_map(|job| &job.runs).filter_map(|fence| zone.runs().get(fence));
        let quarantined = zone.workers().iter().filter(|(_, w)| !w.quarantined_until.is_zero());
        let mut stale: Vec<&WorkerId> = runs.map(|run| &run.worker).collect();
        stale.extend(quarantined.map(|(id, _)| id));
        for id in stale {
            let Some(worker) = zone.workers().get(id) else { continue };
            self.planner.upsert_worker(worker_view(zone, id, worker, now));
        }
    }

    /// Records contact with a worker, which may hold a lease until one lease after `now`.
    pub(crate) fn renew_contact(&mut self, worker: &WorkerId, now: Timestamp) {
        self.last_contact.insert(worker.clone(), now);
    }

    /// Restarts all silence timers after a pause, during which workers may have sent heartbeats
    /// that were not received.
    pub(crate) fn restart_silence_timers(&mut self, now: Timestamp) {
        self.grace_start = now;
        for last in self.last_contact.values_mut() {
            *last = now;
        }
    }

    /// Workers that have been silent for longer than any lease they may hold.
    pub(crate) fn silent_workers(
        &self,
        zone: &ZoneState,
        cfg: &HostConfig,
        now: Timestamp,
    ) -> Vec<(WorkerId, Incarnation)> {
        let lease = cfg.worker_lease;
        let wait = if cfg.has_bug(InjectedBug::LoseWorkersEarly) {
            lease / 4
        } else {
            lease + lease / CLOCK_DRIFT_DIVISOR + STOP_ALLOWANCE
        };
        let present = zone.workers().iter().filter(|(_, worker)| worker.lost_at.is_none());
        let is_silent = |id: &WorkerId| {
            let last = self.last_contact.get(id).copied().unwrap_or(Timestamp::ZERO);
            now.saturating_sub(last.max(self.grace_start)) > wait
        };
        let silent = present.filter(|(id, _)| is_silent(id));
        silent.map(|(id, worker)| (id.clone(), worker.incarnation)).collect()
    }

    /// Stores the resource usage that a worker reports.
    pub(crate) fn record_usage(&mut self, heartbeat: &Heartbeat, now: Timestamp) {
        if heartbeat.usage.is_empty() {
            return;
        }
        let measured = now.saturating_sub(heartbeat.usage_age);
        let usage = Usage { measured, runs: heartbeat.usage.clone() };
        self.usage.insert(heartbeat.worker.clone(), usage);
    }

    /// Records that the worker's loss was proposed. This incarnation gets no more leases.
    pub(crate) fn mark_loss_proposed(&mut self, worker: &WorkerId, incarnation: Incarnation) {
        self.last_contact.remove(worker);
        self.usage.remove(worker);
        self.proposed_losses.insert(worker.clone(), incarnation);
    }

    pub(crate) fn is_loss_proposed(&self, worker: &WorkerId, incarnation: Incarnation) -> bool {
        self.proposed_losses.get(worker) == Some(&incarnation)
    }

    /// The instructions for a worker: runs to start, stop and throttle.
    pub(crate) fn response(
        &self,
        zone: &ZoneState,
        heartbeat: &Heartbeat,
        lease: Duration,
        now: Timestamp,
    ) -> HeartbeatResponse {
        let mut response = HeartbeatResponse { lease, ..HeartbeatResponse::default() };
        response.acknowledged = heartbeat.ended.iter().map(|end| end.fence).collect();
        let Some(worker) = zone.workers().get(&heartbeat.worker) else { return response };
        for fence in &worker.runs {
            let Some(run) = zone.runs().get(fence) else { continue };
            let runs_there = heartbeat.running.contains(fence);
            match (run.stopping, runs_there) {
                (true, _) => response.stop.push(*fence),
                (false, false) => response.start.extend(self.start_run(zone, *fence, run)),
                (false, true) => {}
            }
        }
        // Runs that the worker reports but that are no longer assigned to it must stop too.
        let unassigned = heartbeat.running.iter().filter(|fence| !zone.runs().contains_key(*fence));
        response.stop.extend(unassigned);
        self.add_pressure_actions(zone, worker, heartbeat, now, &mut response);
        response
    }

    fn start_run(&self, zone: &ZoneState, fence: Fence, run: &Run) -> Option<StartRun> {
        let job = zone.jobs().get(&run.job)?;
        Some(StartRun {
            fence,
            job: job.spec.key(),
            index: cell_task_index(&job.spec, run.index, &self.zone, &self.zones),
            command: job.spec.command.clone(),
            resources: run.resources,
        })
    }

    /// Adds the runs to throttle or stop if the worker is short of memory.
    fn add_pressure_actions(
        &self,
        zone: &ZoneState,
        worker: &Worker,
        heartbeat: &Heartbeat,
        now: Timestamp,
        response: &mut HeartbeatResponse,
    ) {
        let Some(usage) = self.usage.get(&heartbeat.worker) else { return };
        if now.saturating_sub(usage.measured) > MAX_USAGE_AGE {
            return;
        }
        let actions = pressure::relieve_memory_pressure(&worker.capacity, &usage.runs, |fence| {
            let run = zone.runs().get(&fence)?;
            let job = zone.jobs().get(&run.job)?;
            Some(pressure::DeclaredRun {
                resources: run.resources,
                placed: run.placed,
                may_stop: job.spec.class == JobClass::Batch && !job.spec.unrepeatable,
            })
        });
        response.throttle = actions.throttle;
        response.stop.extend(actions.stop);
    }
}

/// Jobs that share no worker with others, sorted.
fn jobs_kept_apart(zone: &ZoneState, now: Timestamp) -> Vec<JobId> {
    zone.suspect_jobs().filter(|id| zone.is_kept_apart(*id, now)).collect()
}

fn is_startable(zone: &ZoneState, job: &Job) -> bool {
    let alone = job.spec.class != JobClass::AllAtOnce || job.runs.is_empty();
    alone && job.waiting() > 0 && !zone.waits_for_predecessor(job)
}

fn worker_view(zone: &ZoneState, id: &WorkerId, worker: &Worker, now: Timestamp) -> WorkerView {
    let lost = worker.lost_at.is_some();
    let closed = zone.is_closed(id, now);
    WorkerView {
        id: id.clone(),
        incarnation: worker.incarnation,
        rack: worker.rack.clone(),
        capacity: if lost { Default::default() } else { worker.capacity },
        free: if closed { Default::default() } else { worker.free_resources(now) },
        single: worker.on_probation,
    }
}

fn job_view(id: JobId, job: &Job) -> JobView {
    JobView {
        id,
        team: job.spec.team.clone(),
        name: job.spec.name.clone(),
        class: job.spec.class,
        urgent: job.spec.urgent,
        unrepeatable: job.spec.unrepeatable,
        waiting: job.waiting(),
        resources: job.spec.resources,
        run_time: job.spec.run_time,
        submitted: job.submitted,
        deadline: job.deadline(),
        held_until: job.held_until,
        late: job.late,
        apart: false,
    }
}
