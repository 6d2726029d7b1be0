//! Workers that begin another life under the name of the last one.
//!
//! Such a worker knows nothing of before and carries out what was on its way to its last life: a
//! start that got no answer, or one sent again before its first heartbeat was heard. Three things
//! keep a task from running there and elsewhere. Orders to each life have a fence of their own, so
//! that from its first answer on it refuses older ones. Tasks that it may have started until then
//! get no place, also under a later leader, until it has answered and stopped them. And a worker
//! that was silent is not told which ends to forget before it has said which life it is.

use crate::group::Then;
use crate::node::Node;
use jobs::{Command, LifeId, TaskRef, WorkerInfo};
use std::time::Duration;
use types::{Timestamp, WorkerId};

/// Orders that got no answer are carried out within this time, if ever; then tasks no longer wait
/// for a worker that has not come back.
const LATE_ORDER: Duration = Duration::from_secs(13);

impl Node {
    /// Keeps back, before a life is over, the tasks that the worker's next life may start by orders
    /// to it.
    pub(crate) fn keep_unsure_back(&mut self, life: LifeId) {
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
            "the worker's next life may start tasks of the last one; they wait until that is sure");
        self.propose(&Command::StartsInDoubt { worker, tasks, at: now }, Then::Nothing);
    }

    /// The same for the lives that this one takes the place of.
    pub(crate) fn keep_back_for(&mut self, info: &WorkerInfo) {
        let Some(group) = &self.group else { return };
        let replaced = group.state.lives().filter(|life| {
            let same_place = life.info.worker == info.worker || life.info.addr == info.addr;
            same_place && life.info.born < info.born
        });
        let replaced: Vec<LifeId> = replaced.map(|life| life.id).collect();
        for life in replaced {
            self.keep_unsure_back(life);
        }
    }

    /// Keeps back tasks that were placed while the end of their worker's life was on its way
    /// through the log. What is placed after this is checked against it where it takes effect.
    pub(crate) fn keep_back_just_placed(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let over = std::mem::take(&mut leader.just_over);
        let known = |worker: &WorkerId, task: &TaskRef| {
            let mut unsure = group.state.in_doubt_starts().iter();
            unsure.any(|start| start.worker == *worker && start.task == *task)
        };
        let left = |(worker, mut tasks): (WorkerId, Vec<TaskRef>)| {
            tasks.retain(|task| !known(&worker, task));
            (!tasks.is_empty()).then_some(Command::StartsInDoubt { worker, tasks, at: now })
        };
        let commands: Vec<Command> = over.into_iter().filter_map(left).collect();
        for command in commands {
            self.propose(&command, Then::Nothing);
        }
    }

    /// Lets tasks have a place again once their earlier starts can't be carried out any more.
    pub(crate) fn settle_unsure(&mut self) {
        let now = self.now;
        let Some(group) = &self.group else { return };
        let Some(leader) = &group.leader else { return };
        if group.state.in_doubt_starts().is_empty() || leader.settling_unsure {
            return;
        }
        let is_clean = |worker: &str| {
            let lives = group.state.lives().filter(|life| life.info.worker == worker);
            let mut sessions = lives.filter_map(|life| leader.sessions.get(&life.id));
            sessions.any(|session| session.is_reconciled())
        };
        let mut sure: Vec<(WorkerId, Timestamp)> = Vec::new();
        for start in group.state.in_doubt_starts() {
            let clean = is_clean(&start.worker);
            if clean || now >= start.at + LATE_ORDER {
                let upto = if clean { now } else { start.at };
                sure.push((start.worker.clone(), upto));
            }
        }
        sure.sort_unstable();
        sure.dedup();
        for (worker, upto) in sure {
            log::info!(worker = worker.as_str(); "no earlier start is carried out there any more");
            let proposed = self.propose(&Command::StartsResolved { worker, upto }, Then::Settled);
            if let Some(leader) = self.leader_mut() {
                leader.settling_unsure = proposed;
            }
        }
    }
}
