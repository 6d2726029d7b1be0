//! What really happened, as workers and upstreams saw it.

use std::sync::{Arc, Mutex};
use std::time::Instant;
use types::{Fence, JobKey, WorkerId};

/// One run of one task on one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// The run.
    pub fence: Fence,
    /// The job.
    pub job: JobKey,
    /// Which of the job's tasks.
    pub index: u32,
    /// Where it ran.
    pub worker: WorkerId,
    /// When it began.
    pub began: Instant,
    /// When it ended; `None` while it runs.
    pub ended: Option<Instant>,
}

/// One execution of one request by one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The upstream's address.
    pub upstream: String,
    /// Path of the request, without its service.
    pub path: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// How many requests the upstream had under way, this one counted.
    pub concurrent: u32,
}

#[derive(Debug, Default)]
struct Entries {
    runs: Vec<RunRecord>,
    executions: Vec<Execution>,
}

/// A journal that stand-ins share. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Journal(Arc<Mutex<Entries>>);

impl Journal {
    /// All runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.0.lock().expect("no one panics with the lock").runs.clone()
    }

    /// All executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.0.lock().expect("no one panics with the lock").executions.clone()
    }

    /// Runs of a job so far.
    pub fn runs_of(&self, job: &str) -> Vec<RunRecord> {
        self.runs().into_iter().filter(|run| run.job.to_string() == job).collect()
    }

    /// Pairs of runs of the same task that were live at the same time. There must be none.
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
        self.0.lock().expect("no one panics with the lock").runs.push(run);
    }

    pub(crate) fn end_run(&self, fence: Fence, worker: &WorkerId) {
        let mut entries = self.0.lock().expect("no one panics with the lock");
        let run = entries.runs.iter_mut().find(|r| r.fence == fence && r.worker == *worker);
        if let Some(run) = run.filter(|run| run.ended.is_none()) {
            run.ended = Some(Instant::now());
        }
    }

    pub(crate) fn execute(&self, execution: Execution) {
        self.0.lock().expect("no one panics with the lock").executions.push(execution);
    }
}

fn overlap(a: &RunRecord, b: &RunRecord) -> bool {
    let ends_before = |x: &RunRecord, y: &RunRecord| x.ended.is_some_and(|end| end <= y.began);
    !ends_before(a, b) && !ends_before(b, a)
}
