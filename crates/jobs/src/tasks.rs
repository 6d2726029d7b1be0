//! Progress of the tasks of a step.

use crate::footprint::Footprint;
use crate::job::{Progress, Task};
use crate::model::{LifeId, RunNumber};
use crate::sizes;
use serde::{Deserialize, Serialize};
use types::SortedMap;

/// The tasks of a step, by index. Only a task with a history that is not done takes memory of its
/// own: a step of any width costs what has been touched of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tasks {
    count: u32,
    /// First and end of each range of done tasks, in order and with gaps between them.
    done: Vec<(u32, u32)>,
    done_count: u32,
    /// Tasks that were placed before and are not done.
    touched: SortedMap<u32, Task>,
    /// Number of touched tasks that are placed now.
    placed: u32,
    /// Size of all checkpoints.
    saved_bytes: usize,
}

impl Tasks {
    pub(crate) fn new(count: u32) -> Tasks {
        Tasks { count, ..Tasks::default() }
    }

    /// Number of tasks.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Number of tasks that are done.
    pub fn done(&self) -> u32 {
        self.done_count
    }

    /// Progress of a task; `None` if the step has no such task.
    pub fn progress(&self, index: u32) -> Option<Progress> {
        match self.touched.get(&index) {
            Some(task) => Some(task.progress),
            None if index >= self.count => None,
            None if self.is_done(index) => Some(Progress::Done),
            None => Some(Progress::Waiting),
        }
    }

    /// A task with a history that is not done.
    pub fn touched(&self, index: u32) -> Option<&Task> {
        self.touched.get(&index)
    }

    /// Tasks with a history that are not done, by index.
    pub fn all_touched(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.touched.iter().map(|(index, task)| (*index, task))
    }

    /// Indexes of the tasks that wait to be assigned, in order.
    pub fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        let mut done = self.done.iter().peekable();
        let placed = |task: &Task| matches!(task.progress, Progress::Placed(_));
        let mut placed = self.touched.iter().filter(move |(_, task)| placed(task)).peekable();
        let mut next = 0;
        std::iter::from_fn(move || {
            loop {
                if let Some((_, end)) = done.next_if(|(first, _)| *first == next) {
                    next = *end;
                } else if placed.next_if(|(index, _)| **index == next).is_some() {
                    next += 1;
                } else {
                    break;
                }
            }
            let index = next;
            next += 1;
            (index < self.count).then_some(index)
        })
    }

    /// Number of tasks that wait to be assigned.
    pub fn waiting_count(&self) -> u32 {
        self.count - self.done_count - self.placed
    }

    /// Number of tasks that are assigned to workers.
    pub fn placed(&self) -> u32 {
        self.placed
    }

    pub(crate) fn footprint(&self) -> Footprint {
        let touched = self.touched.len();
        let bytes = self.done.len() * sizes::RANGE + touched * sizes::TASK + self.saved_bytes;
        Footprint { bytes, touched }
    }

    /// Highest number of a run of a task that is not done.
    pub(crate) fn last_run(&self) -> RunNumber {
        self.touched.values().map(|task| task.run).max().unwrap_or_default()
    }

    /// Assigns a waiting task. Returns the number of the run: `run`, or the next one of the task.
    pub(crate) fn place(&mut self, index: u32, life: LifeId, run: Option<RunNumber>) -> RunNumber {
        let task = self.touched.get_or_insert_with(index, Task::default);
        task.run = run.unwrap_or(task.run + 1);
        task.progress = Progress::Placed(life);
        self.placed += 1;
        task.run
    }

    /// Returns a task to the waiting state, and changes what is known of it.
    pub(crate) fn release(&mut self, index: u32) -> Option<&mut Task> {
        let task = self.touched.get_mut(&index)?;
        if matches!(task.progress, Progress::Placed(_)) {
            task.progress = Progress::Waiting;
            self.placed -= 1;
        }
        Some(task)
    }

    /// Keeps a checkpoint of a touched task in place of the one before.
    pub(crate) fn save(&mut self, index: u32, saved: &str) {
        let Some(task) = self.touched.get_mut(&index) else { return };
        let before = task.saved.replace(saved.to_string());
        self.saved_bytes = self.saved_bytes + saved.len() - before.map_or(0, |saved| saved.len());
    }

    /// Marks a task as done.
    pub(crate) fn finish(&mut self, index: u32) {
        if index >= self.count || self.is_done(index) {
            return;
        }
        if let Some(task) = self.touched.remove(&index) {
            self.placed -= u32::from(matches!(task.progress, Progress::Placed(_)));
            self.saved_bytes -= task.saved.map_or(0, |saved| saved.len());
        }
        self.done_count += 1;
        let i = self.done.partition_point(|(_, end)| *end < index);
        let joins_next = |range: Option<&(u32, u32)>| range.is_some_and(|r| r.0 == index + 1);
        if self.done.get(i).is_some_and(|(_, end)| *end == index) {
            self.done[i].1 = index + 1;
            if joins_next(self.done.get(i + 1)) {
                self.done[i].1 = self.done.remove(i + 1).1;
            }
        } else if joins_next(self.done.get(i)) {
            self.done[i].0 = index;
        } else {
            self.done.insert(i, (index, index + 1));
        }
    }

    /// Marks all tasks as done.
    pub(crate) fn finish_all(&mut self) {
        *self =
            Tasks { done: vec![(0, self.count)], done_count: self.count, ..Tasks::new(self.count) };
    }

    fn is_done(&self, index: u32) -> bool {
        let i = self.done.partition_point(|(_, end)| *end <= index);
        self.done.get(i).is_some_and(|(first, _)| *first <= index)
    }
}

/// The tasks as earlier releases kept them, each with a record.
impl From<Vec<Task>> for Tasks {
    fn from(all: Vec<Task>) -> Tasks {
        let mut tasks = Tasks::new(u32::try_from(all.len()).unwrap_or(u32::MAX));
        for (index, task) in (0..).zip(all) {
            if task.progress == Progress::Done {
                tasks.finish(index);
            } else if task != Task::default() {
                tasks.placed += u32::from(task.progress != Progress::Waiting);
                tasks.saved_bytes += task.saved.as_ref().map_or(0, String::len);
                tasks.touched.insert(index, task);
            }
        }
        tasks
    }
}
