//! Metrics of an entry host, served in the Prometheus text format at `/metrics`.

use host::HostStats;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;
use std::sync::Mutex;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    service: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BurnLabels {
    service: String,
    window: String,
}

/// The metrics of one entry host.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<RequestLabels, Counter>,
    answer_seconds: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    waiting: Family<ServiceLabels, Gauge>,
    start_seconds: Family<ClassLabels, Histogram, fn() -> Histogram>,
    burn: Family<BurnLabels, Gauge<f64, AtomicU64>>,
    release: Gauge,
    waiting_jobs: Gauge,
    open_requests: Gauge,
    leads_zone: Gauge,
    leads_cell: Gauge,
    placements: Gauge,
    preemptions: Gauge,
    late_jobs: Gauge,
    workers_lost: Gauge,
    client_connections: Gauge,
    held_bytes: Gauge,
    refused: Family<CauseLabels, Gauge>,
}

fn answer_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}

fn start_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.01, 3.0, 14))
}

impl Metrics {
    pub(crate) fn new(host: &str, zone: &str) -> Metrics {
        let labels = [("host", host), ("zone", zone)];
        let labels = labels.map(|(k, v)| (k.into(), v.to_string().into()));
        let mut registry = Registry::with_prefix_and_labels("ebonywalk", labels.into_iter());
        let metrics = Metrics {
            registry: Mutex::new(Registry::default()),
            requests: Family::default(),
            answer_seconds: Family::new_with_constructor(answer_histogram),
            waiting: Family::default(),
            start_seconds: Family::new_with_constructor(start_histogram),
            burn: Family::default(),
            release: Gauge::default(),
            waiting_jobs: Gauge::default(),
            open_requests: Gauge::default(),
            leads_zone: Gauge::default(),
            leads_cell: Gauge::default(),
            placements: Gauge::default(),
            preemptions: Gauge::default(),
            late_jobs: Gauge::default(),
            workers_lost: Gauge::default(),
            client_connections: Gauge::default(),
            held_bytes: Gauge::default(),
            refused: Family::default(),
        };
        let m = &metrics;
        registry.register("requests", "Requests by outcome", m.requests.clone());
        registry.register("answer_seconds", "Time to an answer", m.answer_seconds.clone());
        registry.register("waiting_requests", "Requests that wait", m.waiting.clone());
        registry.register("start_seconds", "Submission to start of tasks", m.start_seconds.clone());
        registry.register("burn_rate", "Error budget used, 1 is on budget", m.burn.clone());
        registry.register("release_version", "Release in force", m.release.clone());
        registry.register("waiting_jobs", "Jobs that wait in the led zone", m.waiting_jobs.clone());
        registry.register("open_requests", "Requests in this host", m.open_requests.clone());
        registry.register("leads_zone", "1 while leading the zone", m.leads_zone.clone());
        registry.register("leads_cell", "1 while leading the cell", m.leads_cell.clone());
        registry.register("placements", "Tasks placed since the start", m.placements.clone());
        registry.register("preemptions", "Runs stopped for urgent work", m.preemptions.clone());
        registry.register("late_jobs", "Jobs found too late", m.late_jobs.clone());
        registry.register("workers_lost", "Workers lost", m.workers_lost.clone());
        registry.register("client_connections", "Open", m.client_connections.clone());
        registry.register("request_bytes_held", "Requests and answers", m.held_bytes.clone());
        registry.register("not_received", "Requests not received, by cause", m.refused.clone());
        *metrics.registry.lock().expect("lock is not poisoned") = registry;
        metrics
    }

    /// Counts a request by outcome and records its latency.
    pub(crate) fn observe_request(&self, service: &str, outcome: &str, latency: Duration) {
        let service = service.to_string();
        let labels = RequestLabels { service: service.clone(), outcome: outcome.to_string() };
        self.requests.get_or_create(&labels).inc();
        self.answer_seconds
            .get_or_create(&ServiceLabels { service })
            .observe(latency.as_secs_f64());
    }

    /// Sets the burn rate of a service over a window.
    pub(crate) fn set_burn(&self, service: &str, window: &str, rate: f64) {
        let labels = BurnLabels { service: service.to_string(), window: window.to_string() };
        self.burn.get_or_create(&labels).set(rate);
    }

    /// Sets what clients hold and what was refused to them.
    pub(crate) fn set_clients(&self, stats: &connections::Stats) {
        self.client_connections.set(stats.open_connections as i64);
        self.held_bytes.set(stats.held_bytes as i64);
        for (cause, count) in stats.refused.iter() {
            let labels = CauseLabels { cause: (*cause).to_string() };
            self.refused.get_or_create(&labels).set(i64::try_from(*count).unwrap_or(i64::MAX));
        }
    }

    /// Updates the gauges from `stats` and returns all metrics as text. Waiting times are moved
    /// from `stats` into their histogram.
    pub(crate) fn render(&self, stats: &mut HostStats) -> String {
        for (class, wait) in std::mem::take(&mut stats.waits) {
            self.start_seconds.get_or_create(&ClassLabels { class }).observe(wait.as_secs_f64());
        }
        for service in &stats.services {
            let labels = ServiceLabels { service: service.service.clone() };
            let waiting = service.interactive_waiting + service.batch_waiting;
            self.waiting.get_or_create(&labels).set(waiting as i64);
        }
        self.release.set(stats.release as i64);
        self.waiting_jobs.set(stats.waiting_jobs as i64);
        self.open_requests.set(stats.open_requests as i64);
        self.leads_zone.set(stats.leads_zone.into());
        self.leads_cell.set(stats.leads_cell.into());
        self.placements.set(stats.placements as i64);
        self.preemptions.set(stats.preemptions as i64);
        self.late_jobs.set(stats.late_jobs as i64);
        self.workers_lost.set(stats.workers_lost as i64);
        let mut text = String::new();
        let registry = self.registry.lock().expect("lock is not poisoned");
        encode(&mut text, &registry).expect("writing to a string does not fail");
        text
    }
}
