//! Workers that restart under their old name.
//!
//! A restarted worker has lost its state and carries out orders that were sent to its previous
//! life: a start that was never answered, or one that was sent again before the first heartbeat of
//! the new life arrived. Three measures prevent a task from running both there and elsewhere:
//!
//! - Orders to each life have a fence of their own. Once the new life has answered an order, it
//!   refuses those to the previous one.
//! - Tasks that the new life may have started before that are held back, also under later leaders,
//!   until the worker has answered and stopped them. That holds too where nobody has heard of a new
//!   life: its leases begin when it accepts a start, and outlast those of the life before.
//! - A worker that was silent is not told which ends it may forget until it has said which life it
//!   is.
//!
//! None of this is needed for a worker that comes back under another name: orders name their worker.

use crate::group::OnApplied;
use crate::node::Node;
use dispatch::{OutlastingStarts, Session};
use jobs::{Command, InDoubtStart, LifeId, RunNumber, TaskRef};
use types::{Timestamp, WorkerId};

impl Node {
    /// Before a life ends, holds back the tasks that orders to it may start in the worker's next
    /// life.
    pub(crate) fn hold_in_doubt_starts(&mut self, life: LifeId) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let (Some(session), Some(life)) = (leader.sessions.get(&life), group.state.life(life))
        else {
            return;
        };
        let tasks = session.in_doubt_starts(now);
        if tasks.is_empty() {
            return;
        }
        let worker = life.info.worker.clone();
        log::warn!(worker = worker.as_str(), life = life.id, tasks = tasks.len();
            "tasks held back: the worker's next life may start them by delayed orders");
        self.propose(&Command::StartsInDoubt { worker, tasks, at: now }, OnApplied::Nothing);
    }

    /// Before runs are given up because the leases of their worker's life have expired, holds back the
    /// tasks that the worker's next life may be running longer.
    pub(crate) fn hold_outlasting_starts(&mut self, life: LifeId, lost: &[(TaskRef, RunNumber)]) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else { return };
        let Some(session) = leader.sessions.get(&life) else { return };
        let (worker, answers) = (session.worker().to_string(), session.is_answering());
        let silent_ms = session.last_answer().map(|at| now.saturating_sub(at).as_millis() as u64);
        let held = session.outlasting_starts(lost, now);
        log::warn!(worker = worker.as_str(), life = life, runs = lost.len(), answers = answers,
            silent_ms = silent_ms, held = held.as_ref().map_or(0, |held| held.tasks.len()),
            held_unanswered = held.as_ref().map_or(0, |held| held.unanswered),
            held_ms = held.as_ref().map(|held| held.until.saturating_sub(now).as_millis() as u64);
            "runs given up: their worker reported no end");
        let Some(OutlastingStarts { tasks, until, .. }) = held else { return };
        let command = Command::StartsInDoubt { worker: worker.clone(), tasks, at: now };
        if self.propose(&command, OnApplied::Nothing) {
            if let Some(leader) = self.leader_mut() {
                leader.held_until.insert((worker, now), until);
            }
        }
    }

    /// Releases the tasks held back for a worker at whose address there is another one now: orders
    /// name their worker.
    pub(crate) fn release_starts_of_replaced(&mut self, worker: &WorkerId) {
        let now = self.now;
        let Some(group) = &self.group else { return };
        let held = group.state.in_doubt_starts().iter().filter(|start| start.worker == *worker);
        if let Some(last) = held.map(|start| start.at).max() {
            log::info!(worker = worker.as_str(); "held tasks released: the worker was replaced");
            let upto = now.max(last);
            let command = Command::StartsResolved { worker: worker.clone(), upto };
            self.propose(&command, OnApplied::Nothing);
        }
    }

    /// Holds back tasks that were placed while the end of their worker's life was being committed.
    /// Later placements are checked against the held tasks when they are applied.
    pub(crate) fn hold_in_doubt_of_ended(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let ended = std::mem::take(&mut leader.ended_lives);
        let known = |worker: &WorkerId, task: &TaskRef| {
            let mut in_doubt = group.state.in_doubt_starts().iter();
            in_doubt.any(|start| start.worker == *worker && start.task == *task)
        };
        let not_recorded = |(worker, mut tasks): (WorkerId, Vec<TaskRef>)| {
            tasks.retain(|task| !known(&worker, task));
            (!tasks.is_empty()).then_some(Command::StartsInDoubt { worker, tasks, at: now })
        };
        let commands: Vec<Command> = ended.into_iter().filter_map(not_recorded).collect();
        for command in commands {
            self.propose(&command, OnApplied::Nothing);
        }
    }

    /// Releases held tasks once their earlier start orders can't be carried out any more.
    pub(crate) fn release_resolved_starts(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        if group.state.in_doubt_starts().is_empty() || leader.resolution_in_flight {
            return;
        }
        let key = |start: &InDoubtStart| (start.worker.clone(), start.at);
        let longest = Session::longest_doubt(&self.cfg.session);
        for start in group.state.in_doubt_starts() {
            leader.held_until.get_or_insert_with(key(start), || now + longest);
        }
        let is_held = |known: &(WorkerId, Timestamp)| {
            group.state.in_doubt_starts().iter().any(|start| key(start) == *known)
        };
        leader.held_until.retain(|known, until| now < *until || is_held(known));
        let is_reconciled = |worker: &str| {
            let lives = group.state.lives().filter(|life| life.info.worker == worker);
            let mut sessions = lives.filter_map(|life| leader.sessions.get(&life.id));
            sessions.any(|session| session.is_reconciled())
        };
        let mut resolved: Vec<(WorkerId, Timestamp)> = Vec::new();
        for start in group.state.in_doubt_starts() {
            let reconciled = is_reconciled(&start.worker);
            let until = leader.held_until.get(&key(start)).copied().unwrap_or(now + longest);
            if reconciled || now >= until {
                let upto = if reconciled { now.max(start.at) } else { start.at };
                resolved.push((start.worker.clone(), upto));
            }
        }
        resolved.sort_unstable();
        resolved.dedup();
        for (worker, upto) in resolved {
            log::info!(worker = worker.as_str(); "held tasks of a worker released");
            let proposed =
                self.propose(&Command::StartsResolved { worker, upto }, OnApplied::StartsResolved);
            if let Some(leader) = self.leader_mut() {
                leader.resolution_in_flight = proposed;
            }
        }
    }
}
