//! Workers that restart under their old name.
//!
//! A restarted worker has lost its state and carries out orders that were sent to its previous
//! life: a start that was never answered, or one that was sent again before the first heartbeat of
//! the new life arrived. Three measures prevent a task from running both there and elsewhere:
//!
//! - Orders to each life have a fence of their own. Once the new life has answered an order, it
//!   refuses those to the previous one.
//! - Tasks that the new life may have started before that are held back, also under later leaders,
//!   until the worker has answered and stopped them.
//! - A worker that was silent is not told which ends it may forget until it has said which life it
//!   is.
//!
//! None of this is needed for a worker that comes back under another name: orders name their worker.

use crate::group::OnApplied;
use crate::node::Node;
use jobs::{Command, InDoubtStart, LifeId, TaskRef};
use std::time::Duration;
use types::{SortedMap, Timestamp, WorkerId};

/// An order without an answer is carried out within this time or never. After that, tasks are no
/// longer held back for a worker that has not come back.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(13);

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
        let mut held = SortedMap::default();
        for start in group.state.in_doubt_starts() {
            let since = leader.held_since.get(&key(start)).copied().unwrap_or(now);
            held.insert(key(start), since);
        }
        leader.held_since = held;
        let is_reconciled = |worker: &str| {
            let lives = group.state.lives().filter(|life| life.info.worker == worker);
            let mut sessions = lives.filter_map(|life| leader.sessions.get(&life.id));
            sessions.any(|session| session.is_reconciled())
        };
        let mut resolved: Vec<(WorkerId, Timestamp)> = Vec::new();
        for start in group.state.in_doubt_starts() {
            let reconciled = is_reconciled(&start.worker);
            let since = leader.held_since.get(&key(start)).copied().unwrap_or(now);
            if reconciled || now >= since + MAX_ORDER_DELAY {
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
