//! The leader's side of one life of a worker.

use crate::order::{Look, Order, OrderAnswer, OrderId, Refused};
use jobs::{End, LifeId, QueueId, RunNumber, TaskRef};
use std::time::Duration;
use types::{JobId, Timestamp};

/// One mechanism switched off. Only tests set anything but `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weakening {
    /// All mechanisms work.
    #[default]
    None,
    /// A new leader does not wait for the leases of an earlier one.
    ForgetEarlierLeases,
    /// A run that a worker does not list is given up, though its start may still be carried out.
    TrustAbsence,
    /// Ends are forgotten by the worker before the log has them.
    NoteEndsEarly,
}

/// Times that a session keeps.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// Length of a lease, on the worker's clock.
    pub lease: Duration,
    /// How long a look may wait for an end.
    pub look_wait: Duration,
    /// Time from one look to the next where nothing runs.
    pub idle_look: Duration,
    /// Wait after an order that got no answer.
    pub retry: Duration,
    /// A worker that was silent for this long gets no new work.
    pub suspect_after: Duration,
    /// Longest time for which an earlier leader may have gone on renewing leases.
    pub predecessor: Duration,
    /// Mechanism switched off, to show that a check notices.
    pub weakening: Weakening,
}

impl Default for SessionConfig {
    fn default() -> SessionConfig {
        SessionConfig {
            lease: Duration::from_secs(6),
            look_wait: Duration::from_secs(1),
            idle_look: Duration::from_secs(2),
            retry: Duration::from_millis(150),
            suspect_after: Duration::from_millis(1_800),
            predecessor: Duration::from_millis(1_500),
            weakening: Weakening::None,
        }
    }
}

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
pub enum Fact {
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

/// How far a run has got, as the session knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its start is to be sent, or was sent and got no answer.
    Starting,
    /// Its start was acknowledged, or it was listed.
    Running,
    /// It is to be stopped.
    Stopping,
    /// Its stop was acknowledged: it will not start any more.
    Stopped,
}

#[derive(Clone, Debug)]
struct RunEntry {
    task: TaskRef,
    run: RunNumber,
    stage: Stage,
    /// The order that is under way.
    pending: Option<OrderId>,
    /// Since when the stage holds for certain.
    since: Timestamp,
    retry_at: Timestamp,
    /// It was given up in the log, which has not taken effect yet.
    reported: bool,
    /// When it was first known to be at work.
    working_since: Option<Timestamp>,
    /// Percent done, and when its worker said so.
    percent: u32,
    percent_at: Timestamp,
    expected: Option<Expected>,
}

/// What a run of a task is expected to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// The queue, whose estimates may all be off by the same factor.
    pub queue: QueueId,
    /// The caller's estimate.
    pub estimate: Duration,
}

/// How a run stands, as its worker says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStatus {
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// When it was first known to be at work.
    pub working_since: Option<Timestamp>,
    /// Percent done when its worker last said so.
    pub percent: u32,
    /// When its worker last said so.
    pub percent_at: Timestamp,
    /// It is being stopped, or will never start.
    pub stopping: bool,
    /// What it should take; `None` where that depends on other runs.
    pub expected: Option<Expected>,
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
    facts: Vec<Fact>,
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
        self.settled && fresh && self.misses == 0 && now >= self.rest_until
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
            expected: entry.expected,
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
            working_since: None,
            percent: 0,
            percent_at: now,
            expected: None,
        });
        self.set_wakeup();
    }

    /// Says what a run should take.
    pub fn expect(&mut self, task: TaskRef, run: RunNumber, expected: Expected) {
        for entry in self.runs.iter_mut().filter(|e| (e.task, e.run) == (task, run)) {
            entry.expected = Some(expected);
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
            stop_entry(entry, now);
        }
        self.set_wakeup();
    }

    /// All runs for which `f` holds must stop.
    pub fn stop_where<F>(&mut self, f: F, now: Timestamp)
    where
        F: Fn(&TaskRef) -> bool,
    {
        for entry in self.runs.iter_mut().filter(|entry| f(&entry.task)) {
            stop_entry(entry, now);
        }
        self.set_wakeup();
    }

    /// The log has taken note of ends up to `number`.
    pub fn noted(&mut self, number: u64, now: Timestamp) {
        self.last_seen = self.last_seen.max(number);
        if self.noting.is_some_and(|upto| upto <= self.last_seen) {
            self.noting = None;
            self.next_look = now;
        }
        self.set_wakeup();
    }

    /// What was handed to the log did not get there, so it is to be handed over again.
    pub fn forget_reports(&mut self, now: Timestamp) {
        self.noting = None;
        self.next_look = self.next_look.min(now);
        for entry in &mut self.runs {
            entry.reported = false;
        }
        self.set_wakeup();
    }

    /// The worker said on its own what its clock shows.
    pub fn hear_clock(&mut self, millis: u64, now: Timestamp) {
        if self.clock.is_none() {
            self.clock = Some(ClockReading { millis, at: now });
        }
        self.set_wakeup();
    }

    /// Notes how a run of a job ended, to notice a worker that fails whatever it starts. Only
    /// different jobs count, since one job may fail everywhere.
    pub fn note_outcome(&mut self, job: JobId, good: bool, now: Timestamp) {
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
    pub fn take_facts(&mut self) -> Vec<Fact> {
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
        let wait = if quiet && !unsure { self.cfg.look_wait } else { Duration::ZERO };
        let lease_until = self.lease_from(now);
        self.leased_until = self.leased_until.max(lease_until.unwrap_or(0));
        (order, Order::Hold { lease_until, last_seen: self.last_seen, wait })
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

    /// Handles the answer to an order that was sent at `sent`.
    pub fn answered(
        &mut self,
        order: OrderId,
        sent: Timestamp,
        answer: OrderAnswer,
        now: Timestamp,
    ) {
        if let OrderAnswer::Done { clock, .. } | OrderAnswer::Refused { clock, .. } = &answer {
            self.heard = Some(now);
            self.misses = 0;
            self.clock = clock.map(|millis| ClockReading { millis, at: now }).or(self.clock);
        }
        if self.look == Some(order) {
            self.look = None;
            self.look_answered(sent, answer, now);
        } else if let Some(i) = self.runs.iter().position(|e| e.pending == Some(order)) {
            self.run_answered(i, answer, now);
        }
        self.set_wakeup();
    }

    fn look_answered(&mut self, sent: Timestamp, answer: OrderAnswer, now: Timestamp) {
        match answer {
            OrderAnswer::Done { look: Some(look), .. } => {
                self.settle();
                self.compare(sent, &look, now);
                let pause = if self.runs.is_empty() { self.cfg.idle_look } else { Duration::ZERO };
                self.next_look = now + pause;
                let news: Vec<End> =
                    look.ended.into_iter().filter(|end| end.number > self.last_seen).collect();
                if let Some(last) = news.last() {
                    if self.cfg.weakening == Weakening::NoteEndsEarly {
                        self.last_seen = last.number;
                    } else {
                        self.noting = Some(last.number);
                    }
                    self.facts.push(Fact::Ended(news));
                }
            }
            OrderAnswer::Done { look: None, .. } => self.next_look = now + self.cfg.retry,
            OrderAnswer::Refused { why: Refused::Fence, .. } => {
                self.facts.push(Fact::Deposed);
                self.next_look = now + self.cfg.retry;
            }
            OrderAnswer::Refused { why: Refused::OtherLife, .. } => {
                self.facts.push(Fact::LifeOver);
                self.next_look = now + self.cfg.idle_look;
            }
            OrderAnswer::Refused { .. } => self.next_look = now + self.cfg.retry,
            OrderAnswer::Silence => {
                self.misses += 1;
                self.next_look = now + self.cfg.retry * self.misses.min(4);
            }
        }
    }

    /// The worker obeys this leader from now on. Until its first lease from here is over, an
    /// earlier leader's may still hold.
    fn settle(&mut self) {
        if self.settled {
            return;
        }
        self.settled = true;
        let waits = self.cfg.weakening != Weakening::ForgetEarlierLeases;
        if let Some(clock) = self.clock.filter(|_| waits) {
            let longest = clock.millis + self.cfg.lease.as_millis() as u64;
            self.leased_until = self.leased_until.max(longest);
        }
    }

    /// Compares what the worker lists with what should run there.
    fn compare(&mut self, sent: Timestamp, look: &Look, now: Timestamp) {
        let mut lost = Vec::new();
        for entry in &mut self.runs {
            let is_this = |task: &TaskRef, run: RunNumber| (entry.task, entry.run) == (*task, run);
            if look.ended.iter().any(|end| is_this(&end.task, end.run)) {
                continue;
            }
            let listed = look.running.iter().find(|listed| is_this(&listed.task, listed.run));
            if let Some(listed) = listed {
                entry.working_since.get_or_insert(now);
                (entry.percent, entry.percent_at) = (listed.percent, now);
                match entry.stage {
                    Stage::Starting => (entry.stage, entry.since) = (Stage::Running, now),
                    // The stop has not taken effect yet, or the order was lost.
                    Stage::Stopped if entry.since + self.cfg.retry <= sent => {
                        stop_entry_again(entry, now)
                    }
                    _ => {}
                }
                continue;
            }
            // Absent: certain only where the worker had acknowledged the order before this look
            // was sent. A start that got no answer may still be carried out.
            let certain = matches!(entry.stage, Stage::Running | Stage::Stopped)
                || self.cfg.weakening == Weakening::TrustAbsence;
            if certain && entry.since < sent && !entry.reported {
                entry.reported = true;
                lost.push((entry.task, entry.run));
            }
        }
        let known = |task: &TaskRef, run: RunNumber| {
            self.runs.iter().any(|entry| (entry.task, entry.run) == (*task, run))
        };
        let strays = look.running.iter().filter(|listed| !known(&listed.task, listed.run));
        let strays = strays.map(|listed| (listed.task, listed.run));
        let strays: Vec<_> = strays
            .map(|(task, run)| {
                let old = self.strays.iter().find(|s| (s.0, s.1) == (task, run));
                (task, run, old.map_or(now, |s| s.2))
            })
            .collect();
        self.strays = strays;
        if !lost.is_empty() {
            self.facts.push(Fact::Lost(lost));
        }
    }

    fn run_answered(&mut self, i: usize, answer: OrderAnswer, now: Timestamp) {
        let retry = self.cfg.retry;
        let entry = &mut self.runs[i];
        entry.pending = None;
        entry.retry_at = now + retry;
        let (task, run) = (entry.task, entry.run);
        match (entry.stage, answer) {
            (Stage::Starting, OrderAnswer::Done { .. }) => {
                (entry.stage, entry.since) = (Stage::Running, now);
                entry.working_since.get_or_insert(now);
            }
            (Stage::Stopping, OrderAnswer::Done { .. }) => {
                (entry.stage, entry.since) = (Stage::Stopped, now);
                self.next_look = self.next_look.min(now + retry);
            }
            (_, OrderAnswer::Silence) => {
                self.misses += 1;
                entry.retry_at = now + retry * self.misses.min(4);
            }
            (_, OrderAnswer::Refused { why, .. }) => self.refused(i, why, task, run, now),
            _ => {}
        }
    }

    fn refused(&mut self, i: usize, why: Refused, task: TaskRef, run: RunNumber, now: Timestamp) {
        let entry = &mut self.runs[i];
        match why {
            Refused::Fence => self.facts.push(Fact::Deposed),
            Refused::OtherLife => self.facts.push(Fact::LifeOver),
            // Ended there before, or stopped: the next look tells which.
            Refused::Old => {
                (entry.stage, entry.since) = (Stage::Stopped, now);
                self.next_look = self.next_look.min(now);
            }
            Refused::Late => entry.retry_at = now,
            Refused::Unwell | Refused::Room | Refused::Invalid | Refused::Ticket => {
                if why != Refused::Ticket {
                    self.rest_until = now + REST;
                } else {
                    self.facts.push(Fact::TicketRefused(task));
                }
                // An earlier copy of the order may still arrive, so the run is stopped there.
                stop_entry(entry, now);
                entry.retry_at = now;
            }
        }
        let _ = run;
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
        self.facts.push(Fact::Lost(lost));
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
            self.began + self.cfg.predecessor + stretch(self.cfg.lease) + LEASE_MARGIN
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

fn stop_entry(entry: &mut RunEntry, now: Timestamp) {
    if matches!(entry.stage, Stage::Starting | Stage::Running) {
        stop_entry_again(entry, now);
    }
}

fn stop_entry_again(entry: &mut RunEntry, now: Timestamp) {
    entry.stage = Stage::Stopping;
    entry.since = now;
    entry.pending = None;
    entry.retry_at = now;
}

/// How long a span on the worker's clock lasts at most.
fn stretch(span: Duration) -> Duration {
    span * 1_000 / SLOWEST_CLOCK_PERMILLE
}
