//! What is known of tasks that ran on workers when these crashed.

use crate::model::{LifeId, RunNumber, TaskRef};
use serde::{Deserialize, Serialize};
use types::SortedMap;

/// A task is given up after this many crashes that it may have caused, at which it was running for
/// sure, if it was the only suspect of the last.
const SURE_CRASHES_TO_GIVE_UP: u32 = 2;
/// A task is given up after this many crashes that it may have caused. One of them may be counted by
/// mistake: a task that has ended counts as running while its worker could not report the end.
const CRASHES_TO_GIVE_UP: u32 = 3;
/// A task is given up after this many crashes although it is not certain that it had started before
/// each of them: a worker may have crashed before it got the order.
pub(crate) const UNCERTAIN_CRASHES_TO_GIVE_UP: u32 = 4;
/// From this many crashes on a run counts as a suspect of the next one for as long as it lasts.
const CRASHES_TO_STAY_SUSPECT: u32 = 2;

/// A run that was assigned to a life when its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Task that the run executed.
    pub task: TaskRef,
    /// Number of the run; 0 if only the task is known.
    pub run: RunNumber,
    /// Whether the worker is known to have started the run. Otherwise it may have.
    pub started: bool,
    /// Whether the run may have caused the crash.
    pub suspect: bool,
    /// Whether the run is known to have been running when the worker crashed: it had no time to end
    /// without a report.
    pub sure: bool,
}

/// Crashes of workers that ran a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// Crashes after the worker had started the task.
    pub certain: u32,
    /// Crashes of workers that may have started the task.
    pub possible: u32,
    /// Crashes, of either kind, that the task may have caused.
    pub suspected: u32,
    /// Those of them at which it is known to have been running.
    pub sure: u32,
}

impl TaskCrashes {
    /// Number of crashes, certain or not.
    pub fn total(&self) -> u32 {
        self.certain + self.possible
    }

    /// Whether a run of the task is a suspect of each crash of its worker for as long as it lasts: it
    /// may cause crashes long after its start. It is not kept apart for so long.
    ///
    /// ```
    /// use jobs::TaskCrashes;
    /// assert!(!TaskCrashes { certain: 1, ..TaskCrashes::default() }.stays_suspect());
    /// assert!(TaskCrashes { certain: 2, ..TaskCrashes::default() }.stays_suspect());
    /// ```
    pub fn stays_suspect(&self) -> bool {
        self.total() >= CRASHES_TO_STAY_SUSPECT
    }

    /// Whether the next runs of the task are kept apart from others, so that the next crash shows
    /// which one causes it.
    pub fn is_suspect(&self) -> bool {
        self.suspected > 0 || self.stays_suspect()
    }

    /// Whether the task is given up after a crash that it may have caused. `alone` says that no
    /// other job may have caused it.
    ///
    /// ```
    /// use jobs::TaskCrashes;
    /// let twice = TaskCrashes { certain: 2, suspected: 2, sure: 2, possible: 0 };
    /// assert!(twice.is_enough(true) && !twice.is_enough(false));
    /// assert!(!TaskCrashes { sure: 1, ..twice }.is_enough(true));
    /// assert!(TaskCrashes { certain: 3, ..twice }.is_enough(false));
    /// ```
    pub fn is_enough(&self, alone: bool) -> bool {
        (alone && self.sure >= SURE_CRASHES_TO_GIVE_UP)
            || self.certain >= CRASHES_TO_GIVE_UP
            || self.total() >= UNCERTAIN_CRASHES_TO_GIVE_UP
    }
}

/// Crashes by task, and the silent lives that may turn out to have crashed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct CrashRecords {
    pub(crate) tasks: SortedMap<TaskRef, TaskCrashes>,
    /// Tasks that ran on a life when its leases expired without a word from the worker.
    pub(crate) silent: SortedMap<LifeId, Vec<(TaskRef, RunNumber)>>,
}

impl CrashRecords {
    /// Counts a crash for a run that was assigned to the worker.
    pub(crate) fn count(&mut self, crashed: &CrashedRun) {
        let found = self.tasks.get_or_insert_with(crashed.task, TaskCrashes::default);
        found.suspected += u32::from(crashed.suspect);
        found.sure += u32::from(crashed.suspect && crashed.sure);
        if crashed.started {
            found.certain += 1;
        } else if crashed.suspect {
            found.possible += 1;
        }
    }

    /// Keeps only tasks for which `f` holds.
    pub(crate) fn retain<F>(&mut self, f: F)
    where
        F: Fn(&TaskRef) -> bool,
    {
        self.tasks.retain(|task, _| f(task));
        for tasks in self.silent.values_mut() {
            tasks.retain(|(task, _)| f(task));
        }
        self.silent.retain(|_, tasks| !tasks.is_empty());
    }
}
