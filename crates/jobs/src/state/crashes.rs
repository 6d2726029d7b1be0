//! Tasks that ran on workers when these crashed: counting, and giving up those that cause it.

use super::ends::end_job;
use super::State;
use crate::command::Effect;
use crate::crashes::{CrashedRun, TaskCrashes, UNCERTAIN_CRASHES_TO_GIVE_UP};
use crate::job::{Phase, Progress};
use crate::model::{LifeId, RunNumber, StepRef, TaskRef};
use types::{JobId, Timestamp};

impl State {
    /// Crashes of workers that ran the task.
    pub fn task_crashes(&self, task: TaskRef) -> TaskCrashes {
        self.crashes.tasks.get(&task).copied().unwrap_or_default()
    }

    /// Whether any task is known to have run on a worker that crashed or may have crashed.
    pub fn has_crash_records(&self) -> bool {
        !self.crashes.tasks.is_empty() || !self.crashes.silent.is_empty()
    }

    /// Whether the task may have caused a crash, or ran on a worker that is silent since.
    pub fn is_suspect(&self, task: TaskRef) -> bool {
        self.task_crashes(task).is_suspect()
            || self.crashes.silent.values().flatten().any(|(silent, _)| *silent == task)
    }

    /// Number of workers that crashed, or are silent, since they ran the task.
    pub fn lost_workers(&self, task: TaskRef) -> u32 {
        self.task_crashes(task).total() + self.silent_workers(task)
    }

    /// Whether the task must not start again before its silent workers have shown whether they
    /// crashed: if they did, it is given up.
    pub fn awaits_silent_workers(&self, task: TaskRef) -> bool {
        self.silent_workers(task) > 0 && self.lost_workers(task) >= UNCERTAIN_CRASHES_TO_GIVE_UP
    }

    fn silent_workers(&self, task: TaskRef) -> u32 {
        let silent = self.crashes.silent.values().flatten().filter(|(silent, _)| *silent == task);
        silent.count() as u32
    }

    /// Whether any task of the step is suspect.
    pub fn has_suspects(&self, step: StepRef) -> bool {
        let counted =
            self.crashes.tasks.iter().any(|(task, n)| task.step == step && n.is_suspect());
        counted || self.crashes.silent.values().flatten().any(|(task, _)| task.step == step)
    }

    /// Lives whose leases have expired without a word from the worker, while tasks ran there that
    /// are not done yet.
    pub fn silent_lives(&self) -> impl Iterator<Item = LifeId> + '_ {
        self.crashes.silent.keys().copied()
    }

    /// Runs that a silent life may have been executing; none if the life is not silent.
    pub fn silent_tasks(&self, life: LifeId) -> &[(TaskRef, RunNumber)] {
        self.crashes.silent.get(&life).map_or(&[], Vec::as_slice)
    }

    pub(super) fn worker_silent(&mut self, life: LifeId, tasks: Vec<(TaskRef, RunNumber)>) {
        if self.lives.contains_key(&life) {
            let known = self.crashes.silent.get_or_insert_with(life, Vec::new);
            known.extend(tasks);
            known.sort_unstable();
            known.dedup();
        }
    }

    /// Ends the life, counts the crash for what ran there, and gives up jobs whose tasks cause
    /// crashes.
    pub(super) fn worker_crashed(
        &mut self,
        id: LifeId,
        runs: Vec<CrashedRun>,
        at: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if !self.lives.contains_key(&id) {
            return;
        }
        let mut runs = runs;
        let silent = self.crashes.silent.remove(&id).unwrap_or_default();
        for (task, run) in silent {
            if !runs.iter().any(|known| (known.task, known.run) == (task, run)) {
                runs.push(CrashedRun { task, run, started: false, suspect: true, sure: false });
            }
        }
        self.life_over(id, effects);
        self.forget_crashes_of_ended();
        runs.retain(|crashed| self.is_open(&crashed.task));
        for crashed in &runs {
            self.crashes.count(crashed);
        }
        let suspects = || runs.iter().filter(|crashed| crashed.suspect);
        let mut jobs: Vec<JobId> = suspects().map(|crashed| crashed.task.step.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let alone = jobs.len() == 1;
        for id in jobs {
            let mut tasks = suspects().map(|crashed| crashed.task).filter(|t| t.step.job == id);
            let Some(task) = tasks.find(|task| self.task_crashes(*task).is_enough(alone)) else {
                continue;
            };
            effects.push(Effect::GivenUp { task, crashes: self.task_crashes(task) });
            if let Some(job) = self.jobs.get_mut(&id) {
                self.stored -= end_job(job, Phase::Failed, at, effects);
            }
        }
    }

    pub(super) fn forget_crashes_of_ended(&mut self) {
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|task| self.is_open(task));
        self.crashes = crashes;
    }

    /// Whether the task has still to be done.
    pub fn is_open(&self, task: &TaskRef) -> bool {
        let job = self.job(task.step.job).filter(|job| !job.phase.is_over());
        let step = job.and_then(|job| job.step(task.step));
        let progress = step.and_then(|step| step.tasks.progress(task.index));
        progress.is_some_and(|progress| progress != Progress::Done)
    }
}
