//! The leader's side of one life of a worker.

mod answers;
mod config;
mod rebirth;
mod run;

pub use config::{InjectedBug, SessionConfig};
pub use run::{RunStatus, RunTraits};

use crate::order::{Order, OrderId};
use jobs::{End, LifeId, RunNumber, TaskRef};
use run::{RunEntry, Stage};
use std::time::Duration;
use types::{JobId, Timestamp};

/// A worker's clock runs at least at this many thousandths of ours.
const SLOWEST_CLOCK_PERMILLE: u32 = 975;
/// Allowed on top of a lease before what ran under it counts as gone.
const LEASE_MARGIN: Duration = Duration::from_millis(150);
/// A worker that could not start a task gets none for this long.
const REST: Duration = Duration::from_secs(2);
/// Runs that may fail one after the other before a worker gets a rest.
const FAILURES_IN_A_ROW: usize = 4;
/// Longest rest of a worker that goes on failing.
const LONGEST_REST: Duration = Duration::from_secs(16);

/// What a session found out and the log has to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// Ends to take note of.
    Ended(Vec<End>),
    /// Runs that are certainly not at work and never will be.
    Lost(Vec<(TaskRef, RunNumber)>),
    /// Another life has the worker's place.
    LifeOver,
    /// The ticket of a step was refused.
    TicketRefused(TaskRef),
    /// A leader with a higher fence gives orders.
    Deposed,
}

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    millis: u64,
    at: Timestamp,
}

/// The leader's side of one life of a worker. See the crate page.
#[derive(Clone, Debug)]
pub struct Session {
    life: LifeId,
    cfg: SessionConfig,
    runs: Vec<RunEntry>,
    strays: Vec<(TaskRef, RunNumber, Timestamp)>,
    /// It has listed what it runs since it was last silent, so that it is still this life.
    same_life: bool,
    /// Starts that got no answer, and when.
    unanswered: Vec<(TaskRef, Timestamp)>,
    /// Name of the worker.
    worker: String,
    clock: Option<ClockReading>,
    /// Latest lease in any order that was sent, on the worker's clock.
    leased_until: u64,
    last_seen: u64,
    look: Option<OrderId>,
    next_look: Timestamp,
    /// Ends were handed to the log; the next look waits until it has taken note of them.
    noting: Option<u64>,
    /// It has answered a look of this leader, so that it carries out no order of an earlier one.
    settled: bool,
    began: Timestamp,
    heard: Option<Timestamp>,
    misses: u32,
    rest_until: Timestamp,
    /// Different jobs that failed one after the other.
    failed_jobs: Vec<JobId>,
    last_order: OrderId,
    facts: Vec<SessionEvent>,
    /// When something is due, worked out after each change.
    wake_at: Option<Timestamp>,
}

impl Session {
    /// A session with the life `life`, whose ends up to `last_seen` were taken note of.
    pub fn new(life: LifeId, cfg: SessionConfig, last_seen: u64, now: Timestamp) -> Session {
        Session {
            life,
            cfg,
            runs: Vec::new(),
            strays: Vec::new(),
            same_life: false,
            unanswered: Vec::new(),
            worker: String::new(),
            clock: None,
            leased_until: 0,
            last_seen,
            look: None,
            next_look: now,
            noting: None,
            settled: false,
            began: now,
            heard: None,
            misses: 0,
            rest_until: Timestamp::ZERO,
            failed_jobs: Vec::new(),
            last_order: 0,
            facts: Vec::new(),
            wake_at: Some(now),
        }
    }

    /// The life.
    pub fn life(&self) -> LifeId {
        self.life
    }

    /// Whether new work may go there now.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        let fresh = self.heard.is_some_and(|at| now < at + self.cfg.suspect_after);
        self.settled
            && self.strays.is_empty()
            && fresh
            && self.misses == 0
            && now >= self.rest_until
    }

    /// How each run stands.
    pub fn runs(&self) -> impl Iterator<Item = RunStatus> + '_ {
        self.runs.iter().map(|entry| RunStatus {
            task: entry.task,
            run: entry.run,
            working_since: entry.working_since,
            percent: entry.percent,
            percent_at: entry.percent_at,
            stopping: matches!(entry.stage, Stage::Stopping | Stage::Stopped),
            traits: entry.traits,
        })
    }

    /// The worker gets no new work for this long.
    pub fn rest(&mut self, span: Duration, now: Timestamp) {
        self.rest_until = self.rest_until.max(now + span);
    }

    /// A run that the log gave this life.
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
            retry_at: now,
            reported: false,
            listed: false,
            working_since: None,
            percent: 0,
            percent_at: now,
            traits: None,
        });
        self.set_wakeup();
    }

    /// Says what is known of a run.
    pub fn set_run_traits(&mut self, task: TaskRef, run: RunNumber, traits: RunTraits) {
        for entry in self.runs.iter_mut().filter(|e| (e.task, e.run) == (task, run)) {
            entry.traits = Some(traits);
        }
    }

    /// A run that the log has taken off this life.
    pub fn remove_run(&mut self, task: TaskRef, run: RunNumber) {
        self.runs.retain(|entry| (entry.task, entry.run) != (task, run));
        self.set_wakeup();
    }

    /// A run must stop.
    pub fn stop_run(&mut self, task: TaskRef, run: RunNumber, now: Timestamp) {
        for entry in self.runs.iter_mut().filter(|e| (e.task, e.run) == (task, run)) {
            entry.stop(now);
        }
        self.set_wakeup();
    }

    /// All runs for which `f` holds must stop.
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

    /// The log has taken note of ends up to `number`.
    pub fn ends_recorded(&mut self, number: u64, now: Timestamp) {
        self.last_seen = self.last_seen.max(number);
        if self.noting.is_some_and(|upto| upto <= self.last_seen) {
            self.noting = None;
            self.next_look = now;
        }
        self.set_wakeup();
    }

    /// What was handed to the log did not get there, so it is to be handed over again.
    pub fn resend_reports(&mut self, now: Timestamp) {
        self.noting = None;
        self.next_look = self.next_look.min(now);
        for entry in &mut self.runs {
            entry.reported = false;
        }
        self.set_wakeup();
    }

    /// The worker said on its own what its clock shows.
    pub fn record_clock(&mut self, millis: u64, now: Timestamp) {
        if self.clock.is_none() {
            self.clock = Some(ClockReading { millis, at: now });
        }
        self.set_wakeup();
    }

    /// Notes how a run of a job ended, to notice a worker that fails whatever it starts. Only
    /// different jobs count, since one job may fail everywhere.
    pub fn record_outcome(&mut self, job: JobId, good: bool, now: Timestamp) {
        if good {
            self.failed_jobs.clear();
            return;
        }
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let failures = self.failed_jobs.len();
        if failures >= FAILURES_IN_A_ROW {
            let doublings = (failures - FAILURES_IN_A_ROW).min(3);
            self.rest_until = now + (REST * (1 << doublings)).min(LONGEST_REST);
        }
    }

    /// Facts found since the last call.
    pub fn take_events(&mut self) -> Vec<SessionEvent> {
        std::mem::take(&mut self.facts)
    }

    /// Orders that are due.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(OrderId, Order)> {
        self.expire(now);
        let mut orders = Vec::new();
        if self.look.is_none() && self.noting.is_none() && now >= self.next_look {
            orders.push(self.look_order(now));
        }
        if self.settled {
            self.poll_runs(now, &mut orders);
        }
        self.set_wakeup();
        orders
    }

    /// When [`Session::poll`] is due at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.wake_at
    }

    fn set_wakeup(&mut self) {
        self.wake_at = self.due_at();
    }

    fn due_at(&self) -> Option<Timestamp> {
        let look = (self.look.is_none() && self.noting.is_none()).then_some(self.next_look);
        let busy = |e: &&RunEntry| {
            e.pending.is_none() && matches!(e.stage, Stage::Starting | Stage::Stopping)
        };
        let runs = self.runs.iter().filter(busy).map(|e| e.retry_at).filter(|_| self.settled);
        let unreported = self.runs.iter().any(|entry| !entry.reported);
        let expiry = unreported.then(|| self.lease_over_at()).flatten();
        look.into_iter().chain(runs).chain(expiry).min()
    }

    fn look_order(&mut self, now: Timestamp) -> (OrderId, Order) {
        let order = self.next_order();
        self.look = Some(order);
        let quiet = self.settled && self.misses == 0;
        let unsure = self.runs.iter().any(|entry| entry.stage != Stage::Running);
        let wait = if quiet && !unsure { self.cfg.long_poll_wait } else { Duration::ZERO };
        let lease_until = self.lease_from(now);
        self.leased_until = self.leased_until.max(lease_until.unwrap_or(0));
        // A worker that was silent may have begun another life, whose ends count from 1 again and
        // must not be forgotten.
        let last_seen = if self.same_life { self.last_seen } else { 0 };
        (order, Order::Hold { lease_until, last_seen, wait })
    }

    fn poll_runs(&mut self, now: Timestamp, orders: &mut Vec<(OrderId, Order)>) {
        let lease_until = self.lease_from(now);
        let mut last_order = self.last_order;
        for entry in &mut self.runs {
            if entry.pending.is_some() || now < entry.retry_at || entry.reported {
                continue;
            }
            let (task, run) = (entry.task, entry.run);
            let order = match (entry.stage, lease_until) {
                (Stage::Starting, Some(lease_until)) => {
                    self.leased_until = self.leased_until.max(lease_until);
                    Order::Start { task, run, lease_until }
                }
                (Stage::Stopping, _) => Order::Stop { task, run },
                _ => continue,
            };
            last_order += 1;
            entry.pending = Some(last_order);
            orders.push((last_order, order));
        }
        for (task, run, at) in &mut self.strays {
            if now >= *at {
                last_order += 1;
                *at = now + Duration::from_secs(1);
                orders.push((last_order, Order::Stop { task: *task, run: *run }));
            }
        }
        self.last_order = last_order;
    }

    /// Reports runs whose lease is over for certain.
    fn expire(&mut self, now: Timestamp) {
        if self.runs.iter().all(|entry| entry.reported) {
            return;
        }
        if self.lease_over_at().is_none_or(|at| now < at) {
            return;
        }
        let open = self.runs.iter_mut().filter(|entry| !entry.reported);
        let lost = open.map(|entry| {
            entry.reported = true;
            (entry.task, entry.run)
        });
        let lost: Vec<_> = lost.collect();
        self.facts.push(SessionEvent::Lost(lost));
    }

    /// When every lease that any leader may have given is over, if nothing is heard until then.
    fn lease_over_at(&self) -> Option<Timestamp> {
        let own = match self.clock {
            Some(clock) if self.leased_until > 0 => {
                let left = Duration::from_millis(self.leased_until.saturating_sub(clock.millis));
                clock.at + stretch(left) + LEASE_MARGIN
            }
            _ => Timestamp::ZERO,
        };
        let earlier = if self.settled {
            Timestamp::ZERO
        } else {
            self.began + self.cfg.predecessor_overlap + stretch(self.cfg.lease) + LEASE_MARGIN
        };
        Some(own.max(earlier))
    }

    /// The end of a lease given now, on the worker's clock.
    fn lease_from(&self, now: Timestamp) -> Option<u64> {
        let clock = self.clock?;
        let elapsed = now.saturating_sub(clock.at).as_millis() as u64;
        Some(clock.millis + elapsed + self.cfg.lease.as_millis() as u64)
    }

    fn next_order(&mut self) -> OrderId {
        self.last_order += 1;
        self.last_order
    }
}

/// How long a span on the worker's clock lasts at most.
fn stretch(span: Duration) -> Duration {
    span * 1_000 / SLOWEST_CLOCK_PERMILLE
}
