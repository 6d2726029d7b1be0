//! Admission: which jobs are refused at once, because they could not start in time.
//!
//! The estimate is a fluid model. Work is measured in cell-seconds: the time that the whole cell
//! would need for it. Work that is served before a job, divided by the rate at which the cell has
//! worked off such work, is the time until the job starts. The rate is measured only while work
//! waits, so that it also shows what limits the cell besides its capacity.

use crate::meter::Meter;
use std::time::Duration;
use types::{AccountName, SortedMap, Timestamp};

/// Nothing is refused until work has waited for this long without a break, so that a moment of
/// waiting refuses nobody, and a new leader has seen how fast its cell works.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The time over which the rates that decide whether a job can be on time are averaged.
const SHORT_AVERAGE: Duration = Duration::from_secs(2);
/// The time over which the rates that decide whether a late job has value are averaged: a burst of
/// some seconds passes before such a job is worthless.
const LONG_AVERAGE: Duration = Duration::from_secs(15);
/// Less work than this, in cell-seconds, is no backlog: it waits for messages, not for room.
const MIN_BACKLOG: f64 = 0.25;
/// Rate assumed while too little is measured, in cell-seconds per second.
const ASSUMED_RATE: f64 = 0.8;
/// Lowest rate that an estimate is made with.
const MIN_RATE: f64 = 0.02;
/// A class of jobs that is refused is accepted again once the estimate is below this part of the
/// limit, so that decisions do not flap around the limit.
const RESUME_AT: f64 = 0.8;
/// Bounds of the time after which a refused caller may try again.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// A late job still has value up to this multiple of its objective.
const WORTHLESS_AFTER_OBJECTIVES: u32 = 3;

/// Class of waiting work, in the order in which classes are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkClass {
    /// Whether the work has no value any more.
    pub worthless: bool,
    /// Whether the job is beyond its account's rate.
    pub over_rate: bool,
    /// Whether the job can't be on time any more.
    pub late: bool,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
}

/// Work that waits, in cell-seconds.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    classes: SortedMap<WorkClass, f64>,
    accounts: SortedMap<AccountName, f64>,
}

impl Backlog {
    /// Adds work of an account that waits.
    pub fn add(&mut self, class: WorkClass, account: Option<&AccountName>, work: f64) {
        *self.classes.get_or_insert_with(class, || 0.0) += work;
        if let Some(account) = account {
            *self.accounts.get_or_insert_with(account.clone(), || 0.0) += work;
        }
    }

    /// Work that is served before new work of this class.
    pub fn ahead_of(&self, class: WorkClass) -> f64 {
        self.classes.iter().filter(|(other, _)| **other <= class).map(|(_, work)| work).sum()
    }

    /// Work that is within the rate of its account, has value and waits for queues of this priority
    /// or a higher one.
    fn owed(&self, priority: u32) -> f64 {
        let owed =
            |class: &WorkClass| !class.worthless && !class.over_rate && class.priority <= priority;
        self.classes.iter().filter(|(class, _)| owed(class)).map(|(_, work)| work).sum()
    }

    /// Work of an account that waits.
    pub fn of_account(&self, account: &str) -> f64 {
        self.accounts.get(account).copied().unwrap_or(0.0)
    }

    /// All work that waits.
    pub fn total(&self) -> f64 {
        self.classes.values().sum()
    }
}

/// A job that asks to be accepted.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Account of the caller.
    pub account: &'a str,
    /// Whether the job is beyond the rate of the account.
    pub over_rate: bool,
    /// Share of the cell that is due to the account.
    pub due_share: f64,
    /// Time until the account may send another job within its rate.
    pub rate_wait: Duration,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Time within which the job is on time.
    pub objective: Duration,
    /// Time that the job takes once it has started.
    pub duration: Duration,
    /// Whether free workers could hold the job now.
    pub has_room: bool,
    /// Spreads the callers that are refused at the same moment.
    pub seed: u64,
}

/// What admission says about a job, with the estimate that decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// When the job may be sent again; `None` if it is accepted.
    pub retry_after: Option<Duration>,
    /// Estimated time until the job starts.
    pub start_in: Duration,
    /// A start within this time is soon enough.
    pub limit: Duration,
}

/// Rates at which work is accepted and worked off, and which jobs are being refused.
#[derive(Debug, Default)]
pub struct Admission {
    /// When work began to wait without a break; `None` while none waits.
    backlogged_since: Option<Timestamp>,
    /// Time that work has waited so far, on which `placed` is measured.
    backlogged: Duration,
    observed: Timestamp,
    placed: Meter,
    /// Accepted work that is within its rate, by priority: the last seconds, and over a longer time.
    accepted: SortedMap<u32, (Meter, Meter)>,
    /// Classes that are being refused: whether beyond the rate, and the priority.
    refusing: SortedMap<(bool, u32), ()>,
}

impl Admission {
    /// Records what waits now. It has to be called several times a second.
    pub fn observe(&mut self, backlog: &Backlog, now: Timestamp) {
        let since_last = now.saturating_sub(self.observed);
        self.observed = now;
        if backlog.total() < MIN_BACKLOG {
            self.backlogged_since = None;
            self.refusing = SortedMap::default();
            return;
        }
        if self.backlogged_since.is_some() {
            self.backlogged += since_last;
        }
        self.backlogged_since.get_or_insert(now);
    }

    /// Records work that was given to workers.
    pub fn record_placed(&mut self, work: f64) {
        if self.backlogged_since.is_some() {
            self.placed.add(work, self.backlogged, LONG_AVERAGE);
        }
    }

    /// Records a job that was accepted.
    pub fn record_accepted(&mut self, over_rate: bool, priority: u32, work: f64, now: Timestamp) {
        if over_rate {
            return;
        }
        let (short, long) = self.accepted.get_or_insert_with(priority, Default::default);
        short.add(work, now, SHORT_AVERAGE);
        long.add(work, now, LONG_AVERAGE);
    }

    /// Rate at which the cell works off what waits, in cell-seconds per second.
    pub fn rate(&self) -> f64 {
        self.placed.rate(self.backlogged, LONG_AVERAGE, SETTLE_TIME).unwrap_or(ASSUMED_RATE)
    }

    /// Whether work has waited long enough that jobs may be refused.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        self.backlogged_since.is_some_and(|since| now.saturating_sub(since) >= SETTLE_TIME)
    }

    /// Decides whether a job is accepted. A job within its rate is refused only if it could not
    /// start before it is worthless, and other accounts' work beyond their rates counts as none. A
    /// job beyond its rate is refused if it could not be on time.
    pub fn decide(&mut self, job: &Candidate<'_>, backlog: &Backlog, now: Timestamp) -> Decision {
        let (start_in, limit) = self.estimate(job, backlog, now);
        let accepted = Decision { retry_after: None, start_in, limit };
        if job.has_room || !self.is_settled(now) {
            return accepted;
        }
        let class = (job.over_rate, job.priority);
        let refusing = self.refusing.contains_key(&class);
        let limit_now = if refusing { limit.mul_f64(RESUME_AT) } else { limit };
        if start_in <= limit_now {
            self.refusing.remove(&class);
            return accepted;
        }
        self.refusing.insert(class, ());
        Decision { retry_after: Some(self.retry_after(job, backlog)), start_in, limit }
    }

    /// The estimated time until a job starts, and the time within which it should.
    fn estimate(
        &self,
        job: &Candidate<'_>,
        backlog: &Backlog,
        now: Timestamp,
    ) -> (Duration, Duration) {
        let (over_rate, priority) = (job.over_rate, job.priority);
        let class = WorkClass { over_rate, priority, ..WorkClass::default() };
        let slack = job.objective.saturating_sub(job.duration);
        // What comes later and is served before this job takes its part of the rate.
        let urgent = |other: u32| over_rate || other < priority;
        let rate = self.rate();
        let soon = rate - self.accepted_rate(urgent, |(short, _)| short, SHORT_AVERAGE, now);
        let on_time = time_for(backlog.ahead_of(class), soon);
        if over_rate || on_time <= slack {
            return (on_time, slack);
        }
        let limit = (job.objective * WORTHLESS_AFTER_OBJECTIVES).saturating_sub(job.duration);
        let later = rate - self.accepted_rate(urgent, |(_, long)| long, LONG_AVERAGE, now);
        let among_all = time_for(backlog.owed(priority), later);
        let by_own_share = time_for(backlog.of_account(job.account), rate * job.due_share);
        (among_all.min(by_own_share), limit)
    }

    fn accepted_rate<F, G>(&self, counts: F, meter: G, average: Duration, now: Timestamp) -> f64
    where
        F: Fn(u32) -> bool,
        G: Fn(&(Meter, Meter)) -> &Meter,
    {
        let counted = self.accepted.iter().filter(|(priority, _)| counts(**priority));
        counted.filter_map(|(_, both)| meter(both).rate(now, average, SHORT_AVERAGE)).sum()
    }

    /// When the account's own backlog is worked off, and it may send again within its rate.
    fn retry_after(&self, job: &Candidate<'_>, backlog: &Backlog) -> Duration {
        let own = time_for(backlog.of_account(job.account), self.rate() * job.due_share);
        let wait = if job.over_rate { own.max(job.rate_wait) } else { own };
        let (least, most) = RETRY_AFTER;
        let spread = 1.0 + fastrand::Rng::with_seed(job.seed).f64() / 2.0;
        wait.clamp(least, most).mul_f64(spread).min(most)
    }
}

/// Time to work off `work` at `rate`.
fn time_for(work: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64(work / rate.max(MIN_RATE)).unwrap_or(Duration::MAX)
}
