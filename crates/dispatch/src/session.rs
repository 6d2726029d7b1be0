//! The leader's side of one life of a worker.

mod answers;
mod capacity;
mod config;
mod evidence;
mod in_doubt;
mod lease;
mod run;

pub use config::{InjectedBug, SessionConfig};
pub use evidence::RunEvidence;
pub use in_doubt::{OutlastingStarts, StartCounts};
pub use run::{RunStatus, RunTraits};

use crate::order::{Order, OrderId};
use in_doubt::LeaseOrder;
use jobs::{End, LifeId, RunNumber, TaskRef};
use run::{RunEntry, Stage};
use std::time::Duration;
use types::{JobId, Timestamp};

/// How long a worker that could not start a task is sent no new work.
const BACKOFF: Duration = Duration::from_secs(2);
/// Consecutive failed jobs after which a worker is sent no new work for a while.
const FAILURES_BEFORE_BACKOFF: usize = 4;
/// Upper bound of the backoff of a worker that keeps failing.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// A worker that has said goodbye is looked at often for this long.
const GOODBYE_TIME: Duration = Duration::from_secs(5);
/// Delay of the second look after one that found nobody; further ones come later and later.
const GOODBYE_RETRY: Duration = Duration::from_millis(5);

/// Something that a session found out and that the leader must act on, usually by a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// Run ends that the worker reported and that are not recorded yet.
    Ended(Vec<End>),
    /// Runs that are known not to be running and never to start.
    Lost(Vec<(TaskRef, RunNumber)>),
    /// The worker has been replaced by another life with the same name.
    LifeOver,
    /// Another worker answers at the address.
    WorkerReplaced,
    /// The worker was draining, and its host refuses connections: it has left.
    Left,
    /// The worker refused the ticket of this task's step.
    TicketRefused(TaskRef),
    /// The worker has seen a higher fence: there is a newer leader.
    Deposed,
}

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    millis: u64,
    at: Timestamp,
}

/// The leader's side of one life of a worker. See the crate documentation.
#[derive(Clone, Debug)]
pub struct Session {
    life: LifeId,
    cfg: SessionConfig,
    runs: Vec<RunEntry>,
    /// Runs that the worker lists but that are not assigned to it, and when to send the next stop
    /// order.
    unknown_runs: Vec<(TaskRef, RunNumber, Timestamp)>,
    /// The worker has listed its runs since the last unanswered order, so it is still this life.
    same_life: bool,
    /// The worker's clock when it last reported the capacity that is known, in milliseconds.
    reported: Option<u64>,
    /// Another worker has taken the address.
    replaced: bool,
    /// Start orders that got no answer, and when that was noticed.
    unanswered: Vec<(TaskRef, Timestamp)>,
    /// Orders with a lease that wait for their answers.
    lease_orders: Vec<LeaseOrder>,
    start_counts: StartCounts,
    /// When every lease has certainly expired that the worker's next life may have taken from an
    /// order to this one.
    next_life_lease_end: Timestamp,
    /// The worker's clock in its last answer that names the life.
    identified: Option<ClockReading>,
    /// Name of the worker; empty if not set.
    worker: String,
    clock: Option<ClockReading>,
    /// Latest lease end in any order sent so far, in milliseconds on the worker's clock.
    leased_until: u64,
    /// Number of the last recorded run end.
    last_seen: u64,
    /// The open poll, and the end up to which it acknowledges.
    pending_poll: Option<(OrderId, u64)>,
    /// The worker has answered a poll that acknowledged ends up to this number.
    acknowledged: u64,
    next_poll: Timestamp,
    /// Number of the last end handed to the log; the next poll waits until it is recorded.
    uncommitted_end: Option<u64>,
    /// The worker has answered a poll of this leader, so it no longer obeys an earlier one.
    leader_accepted: bool,
    started: Timestamp,
    last_answer: Option<Timestamp>,
    timeouts: u32,
    /// When the worker's host first refused a connection since the worker last answered.
    absent_since: Option<Timestamp>,
    /// The worker is draining.
    draining: bool,
    /// Until when the worker is expected to end, since it has said goodbye.
    expected_to_end: Timestamp,
    /// A poll that was sent right after the worker's last answer got none: an end until then would
    /// have been in its answer.
    watched: bool,
    backoff_until: Timestamp,
    /// Distinct jobs with a failed run since the last success.
    failed_jobs: Vec<JobId>,
    last_order: OrderId,
    events: Vec<SessionEvent>,
    /// When [`Session::poll`] is due next; updated after each change.
    wake_at: Option<Timestamp>,
}

impl Session {
    /// Creates a session with a life whose run ends are recorded up to number `last_seen`.
    pub fn new(life: LifeId, cfg: SessionConfig, last_seen: u64, now: Timestamp) -> Session {
        Session {
            life,
            cfg,
            runs: Vec::new(),
            unknown_runs: Vec::new(),
            same_life: false,
            reported: None,
            replaced: false,
            unanswered: Vec::new(),
            lease_orders: Vec::new(),
            start_counts: StartCounts::default(),
            next_life_lease_end: Timestamp::ZERO,
            identified: None,
            worker: String::new(),
            clock: None,
            leased_until: 0,
            last_seen,
            pending_poll: None,
            acknowledged: 0,
            next_poll: now,
            uncommitted_end: None,
            leader_accepted: false,
            started: now,
            last_answer: None,
            timeouts: 0,
            absent_since: None,
            draining: false,
            expected_to_end: Timestamp::ZERO,
            watched: false,
            backoff_until: Timestamp::ZERO,
            failed_jobs: Vec::new(),
            last_order: 0,
            events: Vec::new(),
            wake_at: Some(now),
        }
    }

    /// The life that the session is with.
    pub fn life(&self) -> LifeId {
        self.life
    }

    /// Whether the worker can be sent new work now.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        let fresh = self.last_answer.is_some_and(|at| now < at + self.cfg.suspect_after);
        self.leader_accepted
            && self.unknown_runs.is_empty()
            && fresh
            && self.timeouts == 0
            && now >= self.backoff_until
            && self.is_capacity_known(now)
    }

    /// When the worker last answered an order; `None` if it has answered none.
    pub fn last_answer(&self) -> Option<Timestamp> {
        self.last_answer
    }

    /// The status of each run.
    pub fn runs(&self) -> impl Iterator<Item = RunStatus> + '_ {
        self.runs.iter().map(|entry| RunStatus {
            task: entry.task,
            run: entry.run,
            sent_at: entry.sent_at,
            working_since: entry.working_since,
            percent: entry.percent,
            percent_at: entry.percent_at,
            stopping: matches!(entry.stage, Stage::Stopping | Stage::Stopped),
            traits: entry.traits,
        })
    }

    /// Whether the worker has listed its runs since the last unanswered order.
    pub fn is_answering(&self) -> bool {
        self.same_life
    }

    /// Sends the worker no new work for `span`.
    pub fn back_off(&mut self, span: Duration, now: Timestamp) {
        self.backoff_until = self.backoff_until.max(now + span);
    }

    /// Adds a run that the replicated state assigned to this life.
    pub fn add_run(&mut self, task: TaskRef, run: RunNumber, now: Timestamp) {
        if self.runs.iter().any(|entry| (entry.task, entry.run) == (task, run)) {
            return;
        }
        self.runs.push(RunEntry {
            task,
            run,
            stage: Stage::Starting,
            pending: None,
            since: now,
            sent_at: None,
            received: false,
            retry_at: now,
            reported: false,
            started: false,
            in_doubt: None,
            working_since: None,
            percent: 0,
            percent_at: now,
            traits: None,
        });
        self.set_wakeup();
    }

    /// Sets what the leader knows about a run from its job.
    pub fn set_run_traits(&mut self, task: TaskRef, run: RunNumber, traits: RunTraits) {
        for entry in self.runs.iter_mut().filter(|e| (e.task, e.run) == (task, run)) {
            entry.traits = Some(traits);
        }
    }

    /// Removes a run that the replicated state no longer assigns to this life.
    pub fn remove_run(&mut self, task: TaskRef, run: RunNumber) {
        self.runs.retain(|entry| (entry.task, entry.run) != (task, run));
        self.set_wakeup();
    }

    /// Stops a run.
    pub fn stop_run(&mut self, task: TaskRef, run: RunNumber, now: Timestamp) {
        for entry in self.runs.iter_mut().filter(|e| (e.task, e.run) == (task, run)) {
            entry.stop(now);
        }
        self.set_wakeup();
    }

    /// Stops all runs whose task matches `f`.
    pub fn stop_where<F>(&mut self, f: F, now: Timestamp)
    where
        F: Fn(&TaskRef) -> bool,
    {
        let mut found = false;
        for entry in self.runs.iter_mut().filter(|entry| f(&entry.task)) {
            entry.stop(now);
            found = true;
        }
        if found {
            self.set_wakeup();
        }
    }

    /// Handles that run ends up to `number` have been recorded in the replicated state.
    pub fn ends_recorded(&mut self, number: u64, now: Timestamp) {
        self.last_seen = self.last_seen.max(number);
        if self.uncommitted_end.is_some_and(|upto| upto <= self.last_seen) {
            self.uncommitted_end = None;
            self.next_poll = now;
        }
        self.set_wakeup();
    }

    /// Reports pending ends and lost runs again, because earlier reports did not reach the log.
    pub fn resend_reports(&mut self, now: Timestamp) {
        self.uncommitted_end = None;
        self.next_poll = self.next_poll.min(now);
        for entry in &mut self.runs {
            entry.reported = false;
        }
        self.set_wakeup();
    }

    /// Uses a clock reading that the worker sent on its own, unless an answer has given one
    /// already.
    pub fn record_clock(&mut self, millis: u64, now: Timestamp) {
        if self.clock.is_none() {
            self.clock = Some(ClockReading { millis, at: now });
        }
        self.set_wakeup();
    }

    /// Sets whether the worker is draining. Once its host refuses connections then, it has left, if it
    /// has answered this leader before.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Looks at once whether the worker has ended, and often for a while: it has said goodbye.
    pub fn record_goodbye(&mut self, now: Timestamp) {
        self.expected_to_end = now + GOODBYE_TIME;
        self.next_poll = self.next_poll.min(now);
        self.set_wakeup();
    }

    /// Records the outcome of a job's run, to detect a worker on which everything fails. Failures
    /// are counted by distinct job, because one faulty job may fail on every worker.
    pub fn record_outcome(&mut self, job: JobId, succeeded: bool, now: Timestamp) {
        if succeeded {
            self.failed_jobs.clear();
            return;
        }
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let failures = self.failed_jobs.len();
        if failures >= FAILURES_BEFORE_BACKOFF {
            let doublings = (failures - FAILURES_BEFORE_BACKOFF).min(3);
            self.backoff_until = now + (BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        }
    }

    /// Drains the events since the last call.
    pub fn take_events(&mut self) -> Vec<SessionEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the orders that are due, numbered.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(OrderId, Order)> {
        self.expire(now);
        let mut orders = Vec::new();
        if self.pending_poll.is_none() && self.uncommitted_end.is_none() && now >= self.next_poll {
            orders.push(self.poll_order(now));
        }
        if self.leader_accepted {
            self.poll_runs(now, &mut orders);
        }
        self.set_wakeup();
        orders
    }

    /// When [`Session::poll`] must be called next.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.wake_at
    }

    fn set_wakeup(&mut self) {
        self.wake_at = self.due_at();
    }

    fn due_at(&self) -> Option<Timestamp> {
        let poll = (self.pending_poll.is_none() && self.uncommitted_end.is_none())
            .then_some(self.next_poll);
        let busy = |e: &&RunEntry| {
            e.pending.is_none() && matches!(e.stage, Stage::Starting | Stage::Stopping)
        };
        let runs =
            self.runs.iter().filter(busy).map(|e| e.retry_at).filter(|_| self.leader_accepted);
        let unreported = self.unreported_runs().next().is_some();
        let expiry = unreported.then(|| self.leases_expire_at()).flatten();
        poll.into_iter().chain(runs).chain(expiry).min()
    }

    fn poll_order(&mut self, now: Timestamp) -> (OrderId, Order) {
        let order = self.next_order();
        let quiet = self.leader_accepted && self.timeouts == 0;
        let unconfirmed = self.runs.iter().any(|entry| entry.stage != Stage::Running);
        let wait = if quiet && !unconfirmed { self.cfg.long_poll_wait } else { Duration::ZERO };
        let lease_until = self.renewed_lease(now);
        self.leased_until = self.leased_until.max(lease_until.unwrap_or(0));
        if lease_until.is_some() {
            self.lease_orders.push(LeaseOrder { order, start: None });
        }
        // A worker that did not answer may have been restarted. Its new life numbers ends from 1
        // again, so acknowledging the old number would discard ends that are not recorded.
        // For the same reason an end is acknowledged only until the worker has answered that.
        let news = self.same_life && self.last_seen > self.acknowledged;
        let last_seen = if news { self.last_seen } else { 0 };
        self.pending_poll = Some((order, last_seen));
        (order, Order::Hold { lease_until, last_seen, wait })
    }

    fn poll_runs(&mut self, now: Timestamp, orders: &mut Vec<(OrderId, Order)>) {
        let lease_until = self.lease_for_start(now).filter(|_| self.is_capacity_known(now));
        let mut last_order = self.last_order;
        for entry in &mut self.runs {
            if entry.pending.is_some() || now < entry.retry_at || entry.reported {
                continue;
            }
            let (task, run) = (entry.task, entry.run);
            let order = match (entry.stage, lease_until) {
                (Stage::Starting, Some(lease_until)) => {
                    self.leased_until = self.leased_until.max(lease_until);
                    entry.sent_at.get_or_insert(now);
                    Order::Start { task, run, lease_until }
                }
                (Stage::Stopping, _) => Order::Stop { task, run },
                _ => {
                    entry.retry_at = now + self.cfg.retry;
                    continue;
                }
            };
            last_order += 1;
            entry.pending = Some(last_order);
            if matches!(order, Order::Start { .. }) {
                self.lease_orders.push(LeaseOrder { order: last_order, start: Some((task, run)) });
            }
            orders.push((last_order, order));
        }
        for (task, run, at) in &mut self.unknown_runs {
            if now >= *at {
                last_order += 1;
                *at = now + Duration::from_secs(1);
                orders.push((last_order, Order::Stop { task: *task, run: *run }));
            }
        }
        self.last_order = last_order;
    }

    fn next_order(&mut self) -> OrderId {
        self.last_order += 1;
        self.last_order
    }
}
