//! Service-level burn: how fast a service uses up the failures that its objective allows.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;
use types::{Objective, Service, ServiceName, SortedMap, Timestamp};

/// Length of one bucket.
const BUCKET: Duration = Duration::from_secs(60);
/// Buckets kept: three days.
const KEPT_BUCKETS: u64 = 3 * 24 * 60;
/// The windows of a report; a fast and a slow pair.
const WINDOWS: [(&str, u64); 4] = [("5m", 5), ("1h", 60), ("6h", 360), ("3d", KEPT_BUCKETS)];

/// What happened in one minute.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    minute: u64,
    requests: u64,
    slow: u64,
    not_run: u64,
    unknown: u64,
    failed: u64,
}

impl Bucket {
    fn bad(&self) -> u64 {
        self.slow + self.not_run + self.unknown + self.failed
    }
}

/// How one request ended, as its service's objective sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Good,
    Slow,
    NotRun,
    Unknown,
    Failed,
}

/// Burn over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window, such as `1h`.
    pub window: String,
    /// Requests in it.
    pub requests: u64,
    /// Answered, but late.
    pub slow: u64,
    /// Not run.
    pub not_run: u64,
    /// Outcome unknown.
    pub unknown: u64,
    /// Answered with a server error.
    pub failed: u64,
    /// Part of bad requests by the part that is allowed: 1 uses the budget up just in time.
    pub burn_rate: f64,
}

/// Burn of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: ServiceName,
    /// Its objective.
    pub objective: Objective,
    /// Burn by window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Part of the budget of the longest window that is left; below 0 it is overdrawn.
    pub budget_left: f64,
    /// Bad requests of each of the last 60 minutes, oldest first.
    pub last_hour: Vec<u64>,
}

/// Counts of good and bad requests by service and minute, of one entry host.
#[derive(Debug, Default)]
pub struct BurnTracker {
    services: Mutex<SortedMap<ServiceName, VecDeque<Bucket>>>,
}

impl BurnTracker {
    pub(crate) fn note(&self, service: &str, verdict: Verdict, now: Timestamp) {
        let minute = minute_of(now);
        let mut services = self.services.lock().expect("no one panics with the lock");
        let buckets = services.get_or_insert_with(service.to_string(), VecDeque::new);
        if buckets.back().is_none_or(|bucket| bucket.minute < minute) {
            buckets.push_back(Bucket { minute, ..Bucket::default() });
        }
        while buckets.front().is_some_and(|bucket| bucket.minute + KEPT_BUCKETS <= minute) {
            buckets.pop_front();
        }
        let bucket = buckets.back_mut().expect("pushed above");
        bucket.requests += 1;
        match verdict {
            Verdict::Good => {}
            Verdict::Slow => bucket.slow += 1,
            Verdict::NotRun => bucket.not_run += 1,
            Verdict::Unknown => bucket.unknown += 1,
            Verdict::Failed => bucket.failed += 1,
        }
    }

    /// A line for each service that has an objective.
    pub fn report<'a, I>(&self, services: I, now: Timestamp) -> Vec<ServiceBurn>
    where
        I: IntoIterator<Item = &'a Service>,
    {
        let books = self.services.lock().expect("no one panics with the lock");
        let none = VecDeque::new();
        let line = |service: &Service| {
            let objective = service.objective.clone()?;
            let buckets = books.get(&service.name).unwrap_or(&none);
            Some(burn_line(&service.name, objective, buckets, minute_of(now)))
        };
        services.into_iter().filter_map(line).collect()
    }
}

fn minute_of(now: Timestamp) -> u64 {
    now.as_secs() / BUCKET.as_secs()
}

fn burn_line(
    service: &str,
    objective: Objective,
    buckets: &VecDeque<Bucket>,
    minute: u64,
) -> ServiceBurn {
    let windows: Vec<WindowBurn> = WINDOWS
        .iter()
        .map(|(name, minutes)| window_burn(name, *minutes, &objective, buckets, minute))
        .collect();
    let longest = windows.last().map_or(0.0, |window| window.burn_rate);
    let bad_at =
        |at: u64| buckets.iter().rev().find(|bucket| bucket.minute == at).map_or(0, Bucket::bad);
    let last_hour = (0..60).rev().map(|ago| bad_at(minute.saturating_sub(ago))).collect();
    ServiceBurn {
        service: service.to_string(),
        objective,
        windows,
        budget_left: 1.0 - longest,
        last_hour,
    }
}

fn window_burn(
    name: &str,
    minutes: u64,
    objective: &Objective,
    buckets: &VecDeque<Bucket>,
    minute: u64,
) -> WindowBurn {
    let inside = buckets.iter().filter(|bucket| bucket.minute + minutes > minute);
    let sum = inside.fold(Bucket::default(), |sum, bucket| Bucket {
        minute: 0,
        requests: sum.requests + bucket.requests,
        slow: sum.slow + bucket.slow,
        not_run: sum.not_run + bucket.not_run,
        unknown: sum.unknown + bucket.unknown,
        failed: sum.failed + bucket.failed,
    });
    let allowed = 1.0 - objective.target;
    let bad = if sum.requests == 0 { 0.0 } else { sum.bad() as f64 / sum.requests as f64 };
    WindowBurn {
        window: name.to_string(),
        requests: sum.requests,
        slow: sum.slow,
        not_run: sum.not_run,
        unknown: sum.unknown,
        failed: sum.failed,
        burn_rate: bad / allowed,
    }
}
