//! Results of a simulation.

use crate::accounts::owed;
use crate::load::{Arrival, WARMUP};
use crate::scenario::{AccountProfile, Scenario};
use dispatch::AdviceUsage;
use std::time::Duration;

/// A late job still has value up to this multiple of its objective; after that it is worth
/// nothing.
const WORTHLESS_AFTER_OBJECTIVES: u32 = 3;

/// Results of one queue. Poison jobs are not counted.
#[derive(Clone, Debug, Default)]
pub struct QueueSummary {
    /// Name of the queue.
    pub name: &'static str,
    /// Submitted jobs that are expected to complete.
    pub expected: u32,
    /// Jobs that completed within their objective.
    pub on_time: u32,
    /// Jobs that completed within three times their objective, but not on time.
    pub late: u32,
    /// Worth of the completed jobs as a fraction of the worth of all jobs completed on time, each
    /// job weighted by its size.
    pub worth: f64,
    /// The same fraction for the largest tenth of the jobs.
    pub worth_of_largest: f64,
    /// Delay between submission and first start: median and 95th percentile. A job that did not
    /// start counts with the whole arrival period.
    pub start_delay_ms: (u64, u64),
    /// Jobs that arrived in each second, and how many of them were on time.
    pub by_second: Vec<(u32, u32)>,
}

/// Results of one account. Only jobs within its rate count.
#[derive(Clone, Debug, Default)]
pub struct AccountSummary {
    /// Name of the account.
    pub name: String,
    /// Submitted jobs within the rate that are expected to complete.
    pub owed: u32,
    /// Jobs that completed within their objective.
    pub on_time: u32,
    /// Jobs that completed within three times their objective, but not on time.
    pub late: u32,
    /// Jobs whose callers gave up after refusals.
    pub refused: u32,
    /// Worth of the completed jobs as a fraction of the worth of all jobs completed on time.
    pub worth: f64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Results of each queue.
    pub queues: Vec<QueueSummary>,
    /// Results of each account; empty if there are none.
    pub accounts: Vec<AccountSummary>,
    /// Worth of the completed jobs as a fraction of the worth of all jobs completed on time, over
    /// all queues.
    pub worth: f64,
    /// Number of runs that started.
    pub runs: u32,
    /// Number of runs that were stopped by an order.
    pub stopped: u32,
    /// Core-seconds of work in runs without checkpoints that ended before they completed or
    /// failed.
    pub wasted_core_seconds: f64,
    /// Total duration of the calls to the advice service.
    pub advice_time: Duration,
    /// Number of calls to the advice service.
    pub advice_calls: u32,
    /// What the leader called the advice service for, by name of the queue.
    pub advice_usage: Vec<(String, AdviceUsage)>,
    /// Number of starts that were refused because their ticket was missing or had expired.
    pub stale_tickets: u32,
    /// Number of starts that exceeded the capacity of the worker.
    pub over_capacity: u32,
    /// Number of gang members that gave up waiting for the others.
    pub gang_timeouts: u32,
    /// Core-seconds of work as a fraction of the workers' core-seconds in the arrival period and
    /// the cooldown.
    pub utilization: f64,
}

/// Times of one job.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobTimes {
    /// When its first task started; `None` if none did.
    pub(crate) started: Option<Duration>,
    /// When its caller could see that it was complete; `None` if it did not complete.
    pub(crate) completed: Option<Duration>,
    /// How often its caller was refused.
    pub(crate) refusals: u32,
}

impl AccountSummary {
    fn count(&mut self, credit: f64, on_time: bool, times: &JobTimes) {
        self.owed += 1;
        self.on_time += u32::from(on_time);
        self.late += u32::from(!on_time && credit > 0.0);
        self.refused += u32::from(times.refusals > 0 && times.started.is_none());
    }
}

impl QueueSummary {
    fn count_second(&mut self, arrived: Duration, on_time: bool) {
        let second = arrived.as_secs() as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, (0, 0));
        }
        let (count, good) = &mut self.by_second[second];
        *count += 1;
        *good += u32::from(on_time);
    }
}

/// Fraction of its worth that a job earns, and whether it was on time. The fraction is 1 on time,
/// worth when late over worth on time when late, and otherwise 0.
fn credit(scenario: &Scenario, arrival: &Arrival, times: &JobTimes) -> (f64, bool) {
    let queue = &scenario.queues[arrival.queue];
    let objective = queue.policy.objective(arrival.critical_path());
    let duration = times.completed.map(|at| at.saturating_sub(arrival.at));
    match duration {
        Some(d) if d <= objective => (1.0, true),
        Some(d) if d <= objective * WORTHLESS_AFTER_OBJECTIVES => {
            (queue.worth.1 / queue.worth.0, false)
        }
        _ => (0.0, false),
    }
}

/// Computes the results of each queue and the total worth from the times of the jobs.
pub(crate) fn summarize(
    scenario: &Scenario,
    arrivals: &[Arrival],
    job_times: &[JobTimes],
) -> Summary {
    let mut summary = Summary::default();
    let owed = owed(scenario, arrivals);
    let account = |profile: &AccountProfile| AccountSummary {
        name: profile.name.clone(),
        ..AccountSummary::default()
    };
    summary.accounts = scenario.accounts.iter().map(account).collect();
    let mut account_worth = vec![(0.0, 0.0); summary.accounts.len()];
    let (mut available_total, mut earned_total) = (0.0, 0.0);
    for (q, queue) in scenario.queues.iter().enumerate() {
        let mut jobs: Vec<(&Arrival, &JobTimes)> = arrivals
            .iter()
            .zip(job_times)
            .zip(&owed)
            .filter(|((a, _), owed)| a.queue == q && !a.poison && **owed)
            .map(|(job, _)| job)
            .collect();
        jobs.sort_by(|a, b| b.0.core_seconds.total_cmp(&a.0.core_seconds));
        let mean = jobs.iter().map(|(a, _)| a.core_seconds).sum::<f64>() / jobs.len().max(1) as f64;
        let mut entry = QueueSummary {
            name: queue.name,
            expected: jobs.len() as u32,
            ..QueueSummary::default()
        };
        let (mut available, mut earned) = (0.0, 0.0);
        let largest = jobs.len().div_ceil(10);
        let mut histogram =
            hdrhistogram::Histogram::<u64>::new(3).expect("3 significant digits are valid");
        for (i, (arrival, times)) in jobs.iter().enumerate() {
            let weight = (0.3 + 0.7 * arrival.core_seconds / mean).min(4.0) * queue.worth.0;
            let (credit, on_time) = credit(scenario, arrival, times);
            available += weight;
            earned += weight * credit;
            if let Some(i) = arrival.account {
                summary.accounts[i].count(credit, on_time, times);
                account_worth[i].0 += weight * credit;
                account_worth[i].1 += weight;
            }
            entry.on_time += u32::from(on_time);
            entry.count_second(arrival.at.saturating_sub(WARMUP), on_time);
            entry.late += u32::from(!on_time && credit > 0.0);
            if i + 1 == largest {
                entry.worth_of_largest = earned / available;
            }
            let start_delay =
                times.started.map_or(scenario.arrival_period, |at| at.saturating_sub(arrival.at));
            histogram.record(start_delay.as_millis() as u64).expect("the histogram resizes itself");
        }
        entry.worth = earned / f64::max(available, 1e-9);
        entry.start_delay_ms =
            (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.95));
        available_total += available;
        earned_total += earned;
        summary.queues.push(entry);
    }
    for (account, (earned, owed)) in summary.accounts.iter_mut().zip(account_worth) {
        account.worth = earned / f64::max(owed, 1e-9);
    }
    summary.worth = earned_total / f64::max(available_total, 1e-9);
    summary
}
