//! What a session knows of a next life of its worker that has the same name.

use super::{InjectedBug, Session};
use jobs::TaskRef;
use types::Timestamp;

impl Session {
    /// Names the worker.
    pub fn set_worker(&mut self, worker: &str) {
        self.worker = worker.to_string();
    }

    /// Name of the worker, empty where it was not said.
    pub fn worker(&self) -> &str {
        &self.worker
    }

    /// Whether the worker obeys this leader, runs nothing that it should not, and all ends that it
    /// has listed are in the log.
    pub fn is_reconciled(&self) -> bool {
        self.settled && self.strays.is_empty() && self.noting.is_none()
    }

    /// Tasks of which a start may have been, or may still be, carried out by the next life of the
    /// worker, if that has the same name: the order got no answer, or one from which the life can't
    /// be told, or an earlier leader gave it.
    pub fn in_doubt_starts(&self, now: Timestamp) -> Vec<TaskRef> {
        if self.cfg.injected_bug == InjectedBug::ForgetInDoubtStarts {
            return Vec::new();
        }
        let recent = self.unanswered.iter().filter(|(_, at)| now < *at + self.cfg.max_order_delay);
        let open = self.runs.iter().filter(|entry| !self.settled || !entry.listed);
        let mut tasks: Vec<TaskRef> =
            recent.map(|(task, _)| *task).chain(open.map(|entry| entry.task)).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks
    }
}
