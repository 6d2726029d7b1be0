//! Record of the runs that workers carried out and the requests that upstreams executed.

use std::sync::{Arc, Mutex};
use std::time::Instant;
use types::{Fence, JobKey, WorkerId};

/// A run of a task on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// Fencing token of the run.
    pub fence: Fence,
    /// Job that the task belongs to.
    pub job: JobKey,
    /// Index of the task in its job.
    pub index: u32,
    /// Worker that carried out the run.
    pub worker: WorkerId,
    /// When the worker began the run.
    pub began: Instant,
    /// When the run ended; `None` while it is running.
    pub ended: Option<Instant>,
}

/// An execution of a request by an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Address of the upstream.
    pub upstream: String,
    /// Path of the request, without the service.
    pub path: String,
    /// Idempotency key of the caller, if it sent one.
    pub key: Option<String>,
    /// Requests that the upstream was executing, including this one.
    pub concurrent: u32,
}

#[derive(Debug, Default)]
struct Entries {
    runs: Vec<RunRecord>,
    executions: Vec<Execution>,
}

/// A record of runs and executions that all stand-ins of a test share. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Journal(Arc<Mutex<Entries>>);

impl Journal {
    /// All runs so far, in the order in which they began.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.0.lock().expect("lock is not poisoned").runs.clone()
    }

    /// All executions so far, in the order in which they began.
    pub fn executions(&self) -> Vec<Execution> {
        self.0.lock().expect("lock is not poisoned").executions.clone()
    }

    /// Runs so far of the job with this `TEAM/NAME` key.
    pub fn runs_of(&self, job: &str) -> Vec<RunRecord> {
        self.runs().into_iter().filter(|run| run.job.to_string() == job).collect()
    }

    /// Pairs of runs of the same task that were running at the same time. Any pair is a fault of
    /// the program under test.
    pub fn overlapping_runs(&self) -> Vec<(RunRecord, RunRecord)> {
        let runs = self.runs();
        let mut out = Vec::new();
        for (i, a) in runs.iter().enumerate() {
            let same = |b: &&RunRecord| (&a.job, a.index) == (&b.job, b.index) && overlap(a, b);
            out.extend(runs[i + 1..].iter().filter(same).map(|b| (a.clone(), b.clone())));
        }
        out
    }

    pub(crate) fn begin_run(&self, run: RunRecord) {
        self.0.lock().expect("lock is not poisoned").runs.push(run);
    }

    pub(crate) fn end_run(&self, fence: Fence, worker: &WorkerId) {
        let mut entries = self.0.lock().expect("lock is not poisoned");
        let run = entries.runs.iter_mut().find(|r| r.fence == fence && r.worker == *worker);
        if let Some(run) = run.filter(|run| run.ended.is_none()) {
            run.ended = Some(Instant::now());
        }
    }

    pub(crate) fn execute(&self, execution: Execution) {
        self.0.lock().expect("lock is not poisoned").executions.push(execution);
    }
}

fn overlap(a: &RunRecord, b: &RunRecord) -> bool {
    let ends_before = |x: &RunRecord, y: &RunRecord| x.ended.is_some_and(|end| end <= y.began);
    !ends_before(a, b) && !ends_before(b, a)
}
