//! What waiting steps need, and how urgent they are.

use crate::leader::Leader;
use jobs::{sizes, LifeId, Progress, State, StepRef, TaskRef, Tasks};
use placement::steps::{Demand, EligibleWorkers, Urgency};
use std::time::Duration;
use types::Timestamp;

/// Runs are paused for a step only after the advice service was asked about this many workers, or
/// about all of them.
const MIN_ASKED_BEFORE_PAUSING: usize = 48;
/// A step other than a gang waits for a stop only if the stop takes at most this long: tight work
/// would be late anyway after a longer one.
const MAX_QUICK_STOP: Duration = Duration::from_millis(400);
/// Added to the duration of a call for new tickets: the time for messages between the hosts.
const RENEWAL_MARGIN: Duration = Duration::from_millis(60);
/// Tasks of one step, other than a gang, that a pass looks at. A pass places fewer in one command.
const MAX_TASKS_PER_DEMAND: usize = 1_024;
/// Part of the room for jobs that the records of touched tasks may take in addition, as a divisor.
const TOUCHED_DIVISOR: usize = 2;
/// Largest number of workers assumed in a call for new tickets when its duration is estimated.
const MAX_RENEWED_TICKETS: usize = 16;

impl Leader {
    /// What a step needs; `None` if no task can start now or the advice service has not answered a
    /// call about the step yet.
    pub(crate) fn demand(
        &self,
        state: &State,
        step: StepRef,
        urgency: &Urgency,
        now: Timestamp,
    ) -> Option<Demand> {
        let job = state.job(step.job)?;
        let spec = state.spec(step)?;
        let progress = job.step(step)?;
        let tasks = self.startable(state, step, &progress.tasks, spec.gang);
        if tasks.is_empty() {
            return None;
        }
        let policy = state.policy(job.queue);
        let mut asked_enough = true;
        let mut renewal = Duration::ZERO;
        let eligible = match &policy.advice {
            None => EligibleWorkers::Any,
            Some(advice) => {
                let known = self.advice.step(step).filter(|known| known.any_asked())?;
                asked_enough = known.asked() >= MIN_ASKED_BEFORE_PAUSING
                    || known.asked() >= self.usable_workers(now);
                renewal = advice
                    .duration((progress.tasks.count() as usize).min(MAX_RENEWED_TICKETS))
                    + RENEWAL_MARGIN;
                EligibleWorkers::Only(known.eligible(advice.ticket_life).collect())
            }
        };
        let placed = if spec.max_per_worker > 0 {
            count_placed_by_life(&progress.tasks)
        } else {
            Vec::new()
        };
        Some(Demand {
            step,
            account: job.account.clone(),
            tasks,
            need: spec.charge(),
            gang: spec.gang,
            same_rack: spec.same_rack,
            required_label: spec.required_label.clone(),
            data_rack: spec.data_rack.clone(),
            max_per_worker: spec.max_per_worker,
            service: policy.service.clone(),
            eligible,
            placed,
            tight: self.is_tight(urgency, now),
            priority: policy.priority,
            // A gang can wait for a slow stop: its objective leaves it more time than a stop takes.
            can_wait_for_stop: (spec.gang || (asked_enough && self.stop_time <= MAX_QUICK_STOP))
                && now + self.stop_time + urgency.left <= urgency.submitted + urgency.objective,
            stop_time: self.stop_time,
            renewal,
            suspect: spec.gang && self.has_kept_apart(state, step, &progress.tasks),
            yields: false,
            by_speed: self.learning.is_uneven(),
        })
    }

    /// Separates suspect tasks, which start apart from others. The tasks of a gang stay together.
    pub(crate) fn split_suspects(&self, state: &State, demand: Demand) -> Vec<Demand> {
        if demand.gang || !state.has_suspects(demand.step) {
            return vec![demand];
        }
        let is_apart =
            |i: &u32| self.is_kept_apart(state, TaskRef { step: demand.step, index: *i });
        let (suspects, others): (Vec<u32>, Vec<u32>) =
            demand.tasks.iter().partition(|i| is_apart(i));
        let suspects = Demand { tasks: suspects, suspect: true, ..demand.clone() };
        let others = Demand { tasks: others, ..demand };
        [suspects, others].into_iter().filter(|demand| !demand.tasks.is_empty()).collect()
    }

    fn has_kept_apart(&self, state: &State, step: StepRef, tasks: &Tasks) -> bool {
        let mut indexes = 0..tasks.count();
        state.has_suspects(step)
            && indexes.any(|index| self.is_kept_apart(state, TaskRef { step, index }))
    }

    /// Priority, objective and remaining work of a step, by which waiting steps are ranked.
    pub(crate) fn urgency(&self, state: &State, step: StepRef) -> Option<Urgency> {
        let job = state.job(step.job)?;
        let policy = state.policy(job.queue);
        let request = job.request.as_ref();
        let critical_path =
            request.map(|request| self.critical_path(job.queue, request)).unwrap_or_default();
        let estimate = state.spec(step).map(|spec| spec.estimate).unwrap_or_default();
        let left = self.forecast(job.queue, estimate).median;
        let due = match request.and_then(|request| request.schedule) {
            Some(schedule) => schedule.first + schedule.interval * step.occurrence,
            None => job.submitted,
        };
        let objective = policy.objective(critical_path);
        Some(Urgency { priority: policy.priority, submitted: due, objective, left })
    }

    /// Tasks that wait for placement, without those that a delayed earlier start order may still
    /// start and those that are given up if a silent worker has crashed. No task of a gang is
    /// returned if one of them is held back. Without room for more records of touched
    /// tasks, only touched ones are returned: these end or fail in time.
    fn startable(&self, state: &State, step: StepRef, tasks: &Tasks, gang: bool) -> Vec<u32> {
        let in_doubt = |index: &u32| {
            let task = TaskRef { step, index: *index };
            state.in_doubt_starts().iter().any(|start| start.task == task)
                || state.awaits_silent_workers(task)
        };
        let full = state.touched_tasks() * sizes::TASK > self.room / TOUCHED_DIVISOR;
        let may_start = |index: &u32| !full || tasks.touched(*index).is_some();
        if gang {
            let waiting: Vec<u32> = tasks.waiting().collect();
            let held_back = waiting.iter().any(|index| in_doubt(index) || !may_start(index));
            return if held_back { Vec::new() } else { waiting };
        }
        let free = tasks.waiting().filter(|index| may_start(index) && !in_doubt(index));
        free.take(MAX_TASKS_PER_DEMAND).collect()
    }
}

/// Number of placed tasks of a step per life.
fn count_placed_by_life(tasks: &Tasks) -> Vec<(LifeId, u32)> {
    let mut placed: Vec<(LifeId, u32)> = Vec::new();
    for (_, task) in tasks.all_touched() {
        if let Progress::Placed(life) = task.progress {
            match placed.iter_mut().find(|(id, _)| *id == life) {
                Some((_, count)) => *count += 1,
                None => placed.push((life, 1)),
            }
        }
    }
    placed
}
