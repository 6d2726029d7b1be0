//! Counters and gauges of a host.

use crate::account_stats::AccountStats;
use consensus::Term;
use jobs::EndKind;
use std::time::Duration;

/// Counters and gauges for metrics.
#[derive(Clone, Debug, Default)]
pub struct NodeStats {
    /// Whether this host is the leader.
    pub leads: bool,
    /// Current term of the group's log; 0 on hosts that are not members.
    pub term: Term,
    /// Members of the group whose votes count; 0 on hosts that are not members.
    pub voters: usize,
    /// Those of them that this host has heard from lately, itself included; only on the leader.
    pub live_voters: usize,
    /// Version of the configuration in force on this host.
    pub version: u64,
    /// Time since a moment at which the group certainly had no newer configuration; `None` if there
    /// was none.
    pub configuration_age: Option<Duration>,
    /// Client calls of this host that wait for an answer.
    pub open_calls: usize,
    /// Jobs in the replicated state that are not finished.
    pub open_jobs: usize,
    /// Steps with tasks that wait for placement; only on the leader.
    pub ready_steps: usize,
    /// Workers that accept new tasks; only on the leader.
    pub usable_workers: usize,
    /// Workers that answer but get no new tasks, since they have not reported their capacity lately;
    /// only on the leader.
    pub unreported_workers: usize,
    /// Workers that take no other job, since a task that may crash them has only just begun there;
    /// only on the leader.
    pub closed_workers: usize,
    /// Registered workers in the replicated state.
    pub workers: usize,
    /// Placements applied by this process while it was the leader.
    pub starts: u64,
    /// Run ends applied by this process while it was the leader, by kind: done, failed, stopped,
    /// lapsed, broken, alone.
    pub ends: [u64; 6],
    /// Calls to the advice service that this process started as the leader.
    pub advice_calls: u64,
    /// Use of the advice service in the current term; only on the leader.
    pub advice: dispatch::AdviceUsage,
    /// Jobs accepted while this process was the leader.
    pub accepted: u64,
    /// Jobs beyond their account's rate that were refused because the cell was full.
    pub refused_over_rate: u64,
    /// Jobs within their account's rate that were refused because they could not start in time.
    pub refused_too_late: u64,
    /// Start orders that may have arrived and got no answer.
    pub starts_unanswered: u64,
    /// Those of them that may have arrived at the worker's next life. Their tasks are held back if
    /// the worker is given up.
    pub starts_in_doubt: u64,
    /// Runs given up because their workers never reported an end.
    pub lost_runs: u64,
    /// Crashes of workers.
    pub worker_crashes: u64,
    /// Jobs given up because workers crash under one of their tasks.
    pub jobs_given_up: u64,
    /// Size of all jobs in the replicated state, in bytes.
    pub stored_bytes: usize,
    /// Jobs refused because there was no room for them in the replicated state.
    pub refused_no_room: u64,
    /// Ids in the replicated state that were cancelled without a job.
    pub withdrawn_ids: usize,
    /// Submissions refused because their job had been cancelled before.
    pub refused_as_withdrawn: u64,
    /// Cancellations refused because there was no such job and no room to keep its id.
    pub cancels_refused: u64,
    /// Jobs refused because a step can't run within its account's quota.
    pub beyond_quota: u64,
    /// What the largest accounts have running and waiting; only on the leader.
    pub accounts: Vec<AccountStats>,
}

impl NodeStats {
    /// Counts the end of a run.
    pub(crate) fn count_end(&mut self, kind: Option<EndKind>) {
        let i = match kind {
            Some(EndKind::Done) => 0,
            Some(EndKind::Failed) => 1,
            Some(EndKind::Stopped) => 2,
            Some(EndKind::Lapsed) => 3,
            Some(EndKind::Broken) => 4,
            Some(EndKind::Alone) => 5,
            None => {
                self.lost_runs += 1;
                return;
            }
        };
        self.ends[i] += 1;
    }
}
