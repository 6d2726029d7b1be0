//! Service-level burn: how fast a service uses up the error budget of its objective.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;
use types::{Objective, Service, ServiceName, SortedMap, Timestamp};

/// Time covered by one bucket.
const BUCKET: Duration = Duration::from_secs(60);
/// Number of buckets kept, three days.
const KEPT_BUCKETS: u64 = 3 * 24 * 60;
/// Windows of a report, by name and number of buckets: a fast and a slow pair.
const WINDOWS: [(&str, u64); 4] = [("5m", 5), ("1h", 60), ("6h", 360), ("3d", KEPT_BUCKETS)];

/// Requests of one service that ended in one minute.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Minutes since the Unix epoch.
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

/// Result of one request in terms of its service's objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SloResult {
    Good,
    Slow,
    NotRun,
    Unknown,
    Failed,
}

/// Burn of one service over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Name of the window, such as `1h`.
    pub window: String,
    /// Number of requests in the window.
    pub requests: u64,
    /// Requests answered later than the objective allows.
    pub slow: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests answered with a server error.
    pub failed: u64,
    /// Fraction of bad requests divided by the fraction that the objective allows. At 1 the budget
    /// lasts exactly for the window.
    pub burn_rate: f64,
}

/// Burn of one service that has an objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: ServiceName,
    /// Objective of the service.
    pub objective: Objective,
    /// Burn in each window, shortest window first.
    pub windows: Vec<WindowBurn>,
    /// Fraction of the longest window's budget that is left; below 0 if it is overspent.
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
    /// Counts a request that ended at `now`.
    pub(crate) fn record(&self, service: &str, result: SloResult, now: Timestamp) {
        let minute = minute_of(now);
        let mut services = self.services.lock().expect("lock is not poisoned");
        let buckets = services.get_or_insert_with(service.to_string(), VecDeque::new);
        if buckets.back().is_none_or(|bucket| bucket.minute < minute) {
            buckets.push_back(Bucket { minute, ..Bucket::default() });
        }
        while buckets.front().is_some_and(|bucket| bucket.minute + KEPT_BUCKETS <= minute) {
            buckets.pop_front();
        }
        let bucket = buckets.back_mut().expect("pushed above");
        bucket.requests += 1;
        match result {
            SloResult::Good => {}
            SloResult::Slow => bucket.slow += 1,
            SloResult::NotRun => bucket.not_run += 1,
            SloResult::Unknown => bucket.unknown += 1,
            SloResult::Failed => bucket.failed += 1,
        }
    }

    /// Reports the burn of each service that has an objective.
    pub fn report<'a, I>(&self, services: I, now: Timestamp) -> Vec<ServiceBurn>
    where
        I: IntoIterator<Item = &'a Service>,
    {
        let by_service = self.services.lock().expect("lock is not poisoned");
        let none = VecDeque::new();
        let burn = |service: &Service| {
            let objective = service.objective.clone()?;
            let buckets = by_service.get(&service.name).unwrap_or(&none);
            Some(service_burn(&service.name, objective, buckets, minute_of(now)))
        };
        services.into_iter().filter_map(burn).collect()
    }
}

fn minute_of(now: Timestamp) -> u64 {
    now.as_secs() / BUCKET.as_secs()
}

fn service_burn(
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
