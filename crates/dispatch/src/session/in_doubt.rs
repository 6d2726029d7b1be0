//! Starts that the next life of a worker with the same name may still carry out.

use super::{InjectedBug, Session};
use jobs::TaskRef;
use types::Timestamp;

impl Session {
    /// Sets the name of the worker.
    pub fn set_worker(&mut self, worker: &str) {
        self.worker = worker.to_string();
    }

    /// Name of the worker; empty if not set.
    pub fn worker(&self) -> &str {
        &self.worker
    }

    /// Whether the worker has answered a poll of this leader, and so has said what it runs.
    pub fn has_listed(&self) -> bool {
        self.leader_accepted
    }

    /// Whether the worker obeys this leader, has no runs that are not assigned to it, and all ends
    /// that it has reported are recorded.
    pub fn is_reconciled(&self) -> bool {
        self.leader_accepted && self.unknown_runs.is_empty() && self.uncommitted_end.is_none()
    }

    /// Records that another worker has taken the address. Orders name their worker, so it carries
    /// out none of those that were sent to this one.
    pub fn record_replacement(&mut self) {
        self.replaced = true;
    }

    /// Tasks that the worker's next life with the same name may have started or may still start.
    /// The start order got no answer, or an answer that does not identify the life, or was sent by
    /// an earlier leader.
    pub fn in_doubt_starts(&self, now: Timestamp) -> Vec<TaskRef> {
        if self.replaced || self.cfg.injected_bug == InjectedBug::ForgetInDoubtStarts {
            return Vec::new();
        }
        let recent = self.unanswered.iter().filter(|(_, at)| now < *at + self.cfg.max_order_delay);
        let open = self.runs.iter().filter(|entry| !self.leader_accepted || !entry.listed);
        let mut tasks: Vec<TaskRef> =
            recent.map(|(task, _)| *task).chain(open.map(|entry| entry.task)).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks
    }
}
