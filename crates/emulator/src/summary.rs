//! What callers got.

use crate::load::Arrival;
use crate::scenario::Scenario;
use std::time::Duration;

/// A late job counts up to this many times its objective.
const WORTHLESS_AFTER: u32 = 3;

/// What the callers of one queue got.
#[derive(Clone, Debug, Default)]
pub struct QueueSummary {
    /// Its name.
    pub name: &'static str,
    /// Jobs handed in that can be done.
    pub expected: u32,
    /// Jobs done within their objective.
    pub on_time: u32,
    /// Jobs done later, while that was still worth something.
    pub late: u32,
    /// What was earned, in units of what was owed.
    pub worth: f64,
    /// The same over the largest tenth of the jobs.
    pub worth_of_largest: f64,
    /// Half of the jobs had started by then, and 95 in 100.
    pub start_delay_ms: (u64, u64),
}

/// What callers got in a day, and what it took.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// By queue.
    pub queues: Vec<QueueSummary>,
    /// Earned over owed, all queues together.
    pub worth: f64,
    /// Runs started.
    pub runs: u32,
    /// Runs stopped on an order.
    pub stopped: u32,
    /// Core-seconds of work that was done and lost.
    pub wasted_core_seconds: f64,
    /// Time of all calls to the advice service.
    pub advice_time: Duration,
    /// How many calls.
    pub advice_calls: u32,
    /// Starts refused because the ticket was too old.
    pub stale_tickets: u32,
    /// Starts that brought a worker over its capacity.
    pub over_capacity: u32,
    /// Members of gangs that gave up waiting for the others.
    pub gang_timeouts: u32,
    /// Share of the workers' cores that were at work while jobs came.
    pub utilization: f64,
}

/// How one job went.
#[derive(Clone, Debug, Default)]
pub(crate) struct Course {
    pub(crate) started: Option<Duration>,
    pub(crate) done: Option<Duration>,
}

/// Credit of a job: 1 on time, the late share of its worth when late, else 0.
fn credit(sheet: &Scenario, arrival: &Arrival, course: &Course) -> (f64, bool) {
    let queue = &sheet.queues[arrival.queue];
    let objective = queue.policy.objective(arrival.critical_path());
    let took = course.done.map(|at| at.saturating_sub(arrival.at));
    match took {
        Some(took) if took <= objective => (1.0, true),
        Some(took) if took <= objective * WORTHLESS_AFTER => (queue.worth.1 / queue.worth.0, false),
        _ => (0.0, false),
    }
}

pub(crate) fn count(sheet: &Scenario, arrivals: &[Arrival], courses: &[Course]) -> Summary {
    let mut tally = Summary::default();
    let (mut owed_all, mut earned_all) = (0.0, 0.0);
    for (q, queue) in sheet.queues.iter().enumerate() {
        let mut jobs: Vec<(&Arrival, &Course)> =
            arrivals.iter().zip(courses).filter(|(a, _)| a.queue == q && !a.poison).collect();
        jobs.sort_by(|a, b| b.0.core_seconds.total_cmp(&a.0.core_seconds));
        let mean = jobs.iter().map(|(a, _)| a.core_seconds).sum::<f64>() / jobs.len().max(1) as f64;
        let mut entry = QueueSummary {
            name: queue.name,
            expected: jobs.len() as u32,
            ..QueueSummary::default()
        };
        let (mut owed, mut earned) = (0.0, 0.0);
        let largest = jobs.len().div_ceil(10);
        let mut histogram =
            hdrhistogram::Histogram::<u64>::new(3).expect("three digits are allowed");
        for (i, (arrival, course)) in jobs.iter().enumerate() {
            let weight = (0.3 + 0.7 * arrival.core_seconds / mean).min(4.0) * queue.worth.0;
            let (credit, on_time) = credit(sheet, arrival, course);
            owed += weight;
            earned += weight * credit;
            entry.on_time += u32::from(on_time);
            entry.late += u32::from(!on_time && credit > 0.0);
            if i + 1 == largest {
                entry.worth_of_largest = earned / owed;
            }
            let waited =
                course.started.map_or(sheet.arrival_period, |at| at.saturating_sub(arrival.at));
            histogram.record(waited.as_millis() as u64).expect("the histogram grows");
        }
        entry.worth = earned / f64::max(owed, 1e-9);
        entry.start_delay_ms =
            (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.95));
        owed_all += owed;
        earned_all += earned;
        tally.queues.push(entry);
    }
    tally.worth = earned_all / f64::max(owed_all, 1e-9);
    tally
}
