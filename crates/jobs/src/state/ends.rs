//! Handling of ended and lost runs.

use super::State;
use crate::command::Effect;
use crate::footprint::Footprint;
use crate::job::{Job, Occurrence, Phase, Progress, Task};
use crate::model::{End, EndKind, LifeId, RunNumber, TaskRef};
use types::{SortedMap, Timestamp};

impl State {
    pub(super) fn record_end(
        &mut self,
        id: LifeId,
        end: End,
        at: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(life) = self.lives.get_mut(&id) else { return };
        if end.number <= life.last_seen {
            return;
        }
        life.last_seen = end.number;
        let End { task, run, kind, saved, .. } = end;
        if let Some(removed) = life.remove(task, run) {
            self.release_use(&removed);
            effects.push(Effect::Freed { life: id, task, run, kind: Some(kind) });
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if job.phase.is_over() {
            return;
        }
        let attempts = self.queues[job.queue as usize].policy.attempts.max(1);
        let Some(request) = job.request.clone() else { return };
        let Some(spec) = request.steps.get(usize::from(task.step.step)) else { return };
        if kind == EndKind::Done && !spec.long_running {
            self.task_done(task, spec.gang, id, run, at, effects);
            return;
        }
        let footprint = |job: &Job| job.step(task.step).map(|step| step.tasks.footprint());
        let before = footprint(job).unwrap_or_default();
        let Some(failures) = requeue_after_end(job, task, run, id, kind, saved) else { return };
        self.stored.replace(before, footprint(job).unwrap_or_default());
        if spec.gang {
            effects.push(Effect::GangBroken(task.step));
        }
        if kind == EndKind::Failed && failures >= attempts && !spec.long_running {
            self.stored -= end_job(job, Phase::Failed, at, effects);
        } else if job.is_ready(task.step) {
            effects.push(Effect::Ready(task.step));
        }
    }

    /// Marks a task as done; for a gang marks all of its tasks.
    fn task_done(
        &mut self,
        task: TaskRef,
        gang: bool,
        life: LifeId,
        run: RunNumber,
        at: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(step) = job.step_mut(task.step) else { return };
        let before = step.tasks.footprint();
        let ended = step.tasks.touched(task.index).map(|member| (task.index, member));
        let others = step.tasks.all_touched().filter(|(index, _)| gang && *index != task.index);
        for (index, member) in ended.into_iter().chain(others) {
            if let Progress::Placed(other) = member.progress {
                // Members of the same gang run end by themselves; all other runs must be stopped.
                let is_ended_run = other == life && member.run == run && index == task.index;
                let same_gang_run = gang && member.run == run;
                if !(is_ended_run || same_gang_run) {
                    let task = TaskRef { step: task.step, index };
                    effects.push(Effect::Superseded { life: other, task, run: member.run });
                }
            }
        }
        if gang {
            step.tasks.finish_all();
        } else {
            step.tasks.finish(task.index);
        }
        self.stored.replace(before, step.tasks.footprint());
        if !step.is_done() {
            return;
        }
        let occurrence = task.step.occurrence;
        if job.occurrences.get(&occurrence).is_some_and(Occurrence::is_done) {
            let removed = job.occurrences.remove(&occurrence);
            self.stored -= removed.map(|removed| removed.footprint()).unwrap_or_default();
            job.finished += 1;
            if job.finished >= job.times() {
                self.stored -= end_job(job, Phase::Complete, at, effects);
            }
            return;
        }
        effects.extend(job.steps_ready_of(occurrence).map(Effect::Ready));
    }

    pub(super) fn release_lost_run(
        &mut self,
        id: LifeId,
        task: TaskRef,
        run: RunNumber,
        effects: &mut Vec<Effect>,
    ) {
        let removed = self.lives.get_mut(&id).and_then(|life| life.remove(task, run));
        if let Some(removed) = removed {
            self.release_use(&removed);
            effects.push(Effect::Freed { life: id, task, run, kind: None });
        }
        self.requeue_task(id, task, run, effects);
    }

    /// Returns a task to the waiting state if `run` is its latest run.
    pub(super) fn requeue_task(
        &mut self,
        id: LifeId,
        task: TaskRef,
        run: RunNumber,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if job.phase.is_over() {
            return;
        }
        let gang = job.request.as_ref().is_some_and(|request| {
            request.steps.get(usize::from(task.step.step)).is_some_and(|spec| spec.gang)
        });
        let Some(step) = job.step_mut(task.step) else { return };
        let is_latest = |task: &Task| task.progress == Progress::Placed(id) && task.run == run;
        if !step.tasks.touched(task.index).is_some_and(is_latest) {
            return;
        }
        step.tasks.release(task.index);
        if gang {
            effects.push(Effect::GangBroken(task.step));
        }
        if job.is_ready(task.step) {
            effects.push(Effect::Ready(task.step));
        }
    }
}

/// Ends a job and drops the state that only active jobs need. Returns what that state took.
pub(super) fn end_job(
    job: &mut Job,
    phase: Phase,
    at: Timestamp,
    effects: &mut Vec<Effect>,
) -> Footprint {
    let mut freed = job.footprint();
    job.phase = phase;
    job.ended = Some(at);
    job.request = None;
    job.occurrences = SortedMap::default();
    effects.push(Effect::JobOver(job.id));
    freed -= job.footprint();
    freed
}

/// Returns the task of an ended run to the waiting state. Returns how often the task, or its gang,
/// has failed so far, or `None` if the run was not the latest.
fn requeue_after_end(
    job: &mut Job,
    task: TaskRef,
    run: RunNumber,
    life: LifeId,
    kind: EndKind,
    saved: Option<String>,
) -> Option<u32> {
    let gang = job.request.as_ref()?.steps.get(usize::from(task.step.step))?.gang;
    let step = job.step_mut(task.step)?;
    let is_latest = |task: &Task| task.progress == Progress::Placed(life) && task.run == run;
    step.tasks.touched(task.index).filter(|task| is_latest(task))?;
    let failed = kind == EndKind::Failed;
    let state = step.tasks.release(task.index)?;
    state.failures += u32::from(failed);
    let failures = state.failures;
    if !gang {
        if let Some(saved) = saved {
            step.tasks.save(task.index, &saved);
        }
        return Some(failures);
    }
    if let Some(saved) = saved {
        // A checkpoint of any member is valid for all, and all must resume from the same one.
        (0..step.tasks.count()).for_each(|index| step.tasks.save(index, &saved));
    }
    // Several members may fail in the same run, which counts as one failure of the gang.
    if failed && run > step.failed_run {
        step.failed_run = run;
        step.gang_failures += 1;
    }
    Some(step.gang_failures)
}
