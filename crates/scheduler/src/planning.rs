//! From the state to a placement pass and back: which steps wait, where there is room, whom to ask.

use crate::group::Then;
use crate::leader::{hex, Leader, PLAN_AT_LEAST, PLAN_EVERY};
use crate::node::Node;
use dispatch::AdviceCall;
use jobs::{Command, Job, LifeId, Placement, Progress, Room, RunNumber, State, StepRef, TaskRef};
use placement::speeds::Speeds;
use placement::steps::{plan, rank, Allowed, Demand, Pausable, Urgency, WorkerRoom};
use std::time::Duration;
use types::{HostId, Timestamp};

/// A run of which this many percent are done is not stopped for another.
const NEARLY_DONE: u32 = 75;
/// Tasks placed by one command.
const MAX_TASKS_PER_COMMAND: usize = 256;

impl Node {
    pub(crate) fn plan_if_due(&mut self) {
        let now = self.now;
        let mut callers = self.known.present(now);
        if !callers.contains(&self.cfg.host) {
            callers.push(self.cfg.host.clone());
        }
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        leader.advice.expire(now);
        let wait = if leader.plan_due { Duration::ZERO } else { PLAN_AT_LEAST };
        if leader.placing || leader.ready.is_empty() || now < leader.next_plan + wait {
            return;
        }
        leader.plan_due = false;
        leader.next_plan = now + PLAN_EVERY;
        let Decided { placements, calls, pauses } = leader.plan(&group.state, &callers, now);
        for (life, task, run) in pauses {
            log::info!(job = hex(task.step.job).as_str(), index = task.index, run = run, life = life;
                "run paused for more urgent work");
            if let Some(session) = leader.sessions.get_mut(&life) {
                session.stop_run(task, run, now);
            }
        }
        for call in calls {
            self.ask_advice(call);
        }
        if placements.is_empty() {
            return;
        }
        let placed = self.propose(&Command::Place { placements }, Then::Placed);
        if let Some(leader) = self.leader_mut() {
            leader.placing = placed;
        }
    }
}

/// What a pass came to.
struct Decided {
    placements: Vec<Placement>,
    calls: Vec<AdviceCall>,
    pauses: Vec<(LifeId, TaskRef, RunNumber)>,
}

impl Leader {
    /// One pass: what to place, what to stop for it, and which calls to make for advice.
    fn plan(&mut self, state: &State, callers: &[HostId], now: Timestamp) -> Decided {
        self.advice.set_callers(callers);
        self.ready.retain(|step| state.job(step.job).is_some_and(|job| job.is_ready(*step)));
        let mut rooms = self.rooms(state, now);
        let mut calls = Vec::new();
        let mut ranked = Vec::new();
        for step in self.ready.clone() {
            let Some(job) = state.job(step.job) else { continue };
            let urgency = urgency(state, job, step, &self.speeds);
            let rank = rank(&urgency, now);
            if let Some(mut demand) = self.demand(state, job, step, &rooms, now, &mut calls) {
                demand.tight = urgency.is_tight(now);
                let due = urgency.submitted + urgency.objective;
                demand.can_wait_for_stop = now + self.stop_time + urgency.left <= due;
                ranked.push((rank, demand));
            }
        }
        ranked.sort_by_key(|(rank, demand)| (*rank, demand.step));
        let demands: Vec<Demand> = ranked.into_iter().map(|(_, demand)| demand).collect();
        let decided = plan(&mut rooms, &demands);
        for (step, lives) in decided.renew {
            calls.extend(self.ask(state, step, lives, now));
        }
        for step in &decided.short {
            let unknown = self.unknown_lives(state, *step, &rooms);
            calls.extend(self.ask(state, *step, unknown, now));
        }
        let mut count = 0;
        let mut placements = decided.placements;
        placements.retain(|placement| {
            count += placement.tasks.len();
            count <= MAX_TASKS_PER_COMMAND || placement.tasks.len() == count
        });
        self.plan_due |= count > MAX_TASKS_PER_COMMAND;
        Decided { placements, calls, pauses: decided.pauses }
    }

    fn rooms(&self, state: &State, now: Timestamp) -> Vec<WorkerRoom> {
        let usable = |id: LifeId| self.sessions.get(&id).is_some_and(|s| s.is_usable(now));
        let lives = state.lives().filter(|life| !life.info.draining && usable(life.id));
        let room = |life: &jobs::Life| {
            let (stopping, pausable) = self.givers(state, life);
            WorkerRoom {
                life: life.id,
                service: life.info.service.clone(),
                rack: life.info.rack().to_string(),
                labels: life.info.labels.clone(),
                capacity: life.info.capacity,
                free: life.free(),
                slowness: self.speeds.slowness(life.id),
                stopping,
                pausable,
            }
        };
        lives.map(room).collect()
    }

    /// Room on a worker that is free soon, and runs that could be stopped without loss.
    fn givers(&self, state: &State, life: &jobs::Life) -> (Room, Vec<Pausable>) {
        let mut stopping = Room::default();
        let mut pausable: Vec<(u32, Pausable)> = Vec::new();
        let Some(session) = self.sessions.get(&life.id) else { return (stopping, Vec::new()) };
        for status in session.runs() {
            let of_life = |run: &&jobs::Run| (run.task, run.run) == (status.task, status.run);
            let Some(run) = life.runs.iter().find(of_life) else { continue };
            if status.stopping {
                stopping = stopping.plus(&run.need);
                continue;
            }
            let Some(spec) = state.spec(status.task.step) else { continue };
            let Some(job) = state.job(status.task.step.job) else { continue };
            let loses_nothing = spec.checkpoint && !spec.gang && !spec.long_running;
            if loses_nothing && status.working_since.is_some() && status.percent < NEARLY_DONE {
                let priority = state.policy(job.queue).priority;
                let need = run.need;
                let run = Pausable { task: status.task, run: status.run, need, priority };
                pausable.push((status.percent, run));
            }
        }
        pausable.sort_by_key(|(percent, _)| *percent);
        (stopping, pausable.into_iter().map(|(_, run)| run).collect())
    }

    /// What a step wants, or `None` while it is not known which workers may run it.
    fn demand(
        &mut self,
        state: &State,
        job: &Job,
        step: StepRef,
        rooms: &[WorkerRoom],
        now: Timestamp,
        calls: &mut Vec<AdviceCall>,
    ) -> Option<Demand> {
        let spec = state.spec(step)?;
        let progress = job.step(step)?;
        let policy = state.policy(job.queue);
        let allowed = match &policy.advice {
            None => Allowed::Any,
            Some(advice) => {
                let known = self.advice.step(step).filter(|known| known.is_known());
                let Some(known) = known else {
                    let lives = self.unknown_lives(state, step, rooms);
                    calls.extend(self.ask(state, step, lives, now));
                    return None;
                };
                Allowed::Only(known.good(now, advice.ticket_life).collect())
            }
        };
        let mut placed: Vec<(LifeId, u32)> = Vec::new();
        if spec.max_per_worker > 0 {
            for task in &progress.tasks {
                if let Progress::Placed(life) = task.progress {
                    match placed.iter_mut().find(|(id, _)| *id == life) {
                        Some((_, count)) => *count += 1,
                        None => placed.push((life, 1)),
                    }
                }
            }
        }
        Some(Demand {
            step,
            tasks: progress.waiting().collect(),
            need: spec.charge(),
            gang: spec.gang,
            same_rack: spec.same_rack,
            required_label: spec.required_label.clone(),
            data_rack: spec.data_rack.clone(),
            max_per_worker: spec.max_per_worker,
            service: policy.service.clone(),
            allowed,
            placed,
            tight: false,
            priority: policy.priority,
            can_wait_for_stop: false,
        })
    }

    /// Workers that could hold a task of the step and were not asked about.
    fn unknown_lives(&self, state: &State, step: StepRef, rooms: &[WorkerRoom]) -> Vec<LifeId> {
        let (Some(spec), Some(job)) = (state.spec(step), state.job(step.job)) else {
            return Vec::new();
        };
        let service = &state.policy(job.queue).service;
        let known = self.advice.step(step);
        let fits = |room: &&WorkerRoom| {
            let labelled = spec.required_label.as_ref().is_none_or(|l| room.labels.contains(l));
            room.service == *service
                && labelled
                && spec.charge().fits_in(&room.capacity)
                && !known.is_some_and(|known| known.knows(room.life))
        };
        rooms.iter().filter(fits).map(|room| room.life).collect()
    }

    fn ask(
        &mut self,
        state: &State,
        step: StepRef,
        lives: Vec<LifeId>,
        now: Timestamp,
    ) -> Option<AdviceCall> {
        let queue = state.job(step.job)?.queue;
        let policy = state.policy(queue).advice?;
        self.advice.ask(step, lives, &policy, now)
    }
}

/// When the job of a step is to be done.
fn urgency(state: &State, job: &Job, step: StepRef, speeds: &Speeds) -> Urgency {
    let policy = state.policy(job.queue);
    let request = job.request.as_ref();
    let chain = request.map(|request| request.chain()).unwrap_or_default();
    let spec = state.spec(step);
    let left = spec.map(|spec| spec.estimate).unwrap_or_default();
    let left = left.mul_f64(speeds.correction(job.queue));
    let due = match request.and_then(|request| request.schedule) {
        Some(schedule) => schedule.first + schedule.interval * step.occurrence,
        None => job.submitted,
    };
    Urgency { priority: policy.priority, submitted: due, objective: policy.objective(chain), left }
}
