//! Counters, gauges and latency histograms of one process, in the OpenMetrics text format.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use scheduler::NodeStats;
use std::sync::Mutex;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: String,
}

type LatencyByKind = Family<KindLabel, Histogram, fn() -> Histogram>;

/// A histogram with buckets from 0.5 ms to 8.2 s.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_5, 2.0, 15))
}

/// All metrics of one process.
pub struct Metrics {
    registry: Registry,
    calls: LatencyByKind,
    orders: LatencyByKind,
    advice: Histogram,
    syncs: Histogram,
    sent: Family<KindLabel, Counter>,
    gauges: Family<KindLabel, Gauge>,
    counts: Family<KindLabel, Gauge>,
    last_stats: Mutex<NodeStats>,
}

impl Metrics {
    /// Creates the metrics, labelled with host and zone.
    pub(crate) fn new(host: &str, zone: &str) -> Metrics {
        let labels = [("host", host), ("zone", zone)];
        let labels = labels.map(|(k, v)| (k.into(), v.to_string().into()));
        let mut registry = Registry::with_prefix_and_labels("ebonywalk", labels.into_iter());
        let calls: LatencyByKind = Family::new_with_constructor(latency_histogram);
        let orders: LatencyByKind = Family::new_with_constructor(latency_histogram);
        let (advice, syncs) = (latency_histogram(), latency_histogram());
        let (gauges, counts) = (Family::default(), Family::default());
        let s = Unit::Seconds;
        registry.register_with_unit("call", "Time to answer a call", s, calls.clone());
        let s = Unit::Seconds;
        registry.register_with_unit("order", "Time to a worker's answer", s, orders.clone());
        let s = Unit::Seconds;
        registry.register_with_unit("advice", "Time to an advice", s, advice.clone());
        let s = Unit::Seconds;
        registry.register_with_unit("sync", "Time to sync the log", s, syncs.clone());
        registry.register("now", "How this host stands, by kind", gauges.clone());
        registry.register("since_start", "Counts since the start, by kind", counts.clone());
        let sent = Family::default();
        let help = "Bytes queued for other hosts, by kind of message";
        registry.register_with_unit("sent", help, Unit::Bytes, sent.clone());
        let last_stats = Mutex::default();
        Metrics { registry, calls, orders, advice, syncs, sent, gauges, counts, last_stats }
    }

    /// Records the latency of a call.
    pub fn observe_call(&self, kind: &str, took: Duration) {
        observe(&self.calls, kind, took);
    }

    /// Records the time until a worker answered an order.
    pub fn observe_order(&self, kind: &str, took: Duration) {
        observe(&self.orders, kind, took);
    }

    /// Records the time until the advice service answered.
    pub fn observe_advice(&self, took: Duration) {
        self.advice.observe(took.as_secs_f64());
    }

    /// Counts a message of this kind and size that was queued for another host.
    pub(crate) fn count_sent(&self, kind: &'static str, bytes: usize) {
        let labels = KindLabel { kind: kind.to_string() };
        self.sent.get_or_create(&labels).inc_by(bytes as u64);
    }

    pub(crate) fn observe_sync(&self, took: Duration) {
        self.syncs.observe(took.as_secs_f64());
    }

    pub(crate) fn publish(&self, stats: NodeStats) {
        *self.last_stats.lock().expect("lock is not poisoned") = stats;
    }

    /// Formats all metrics as text.
    pub fn render(&self) -> String {
        let stats = self.last_stats.lock().expect("lock is not poisoned").clone();
        let set = |family: &Family<KindLabel, Gauge>, kind: &str, value: u64| {
            let labels = KindLabel { kind: kind.to_string() };
            family.get_or_create(&labels).set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        for (kind, value) in [
            ("leads", u64::from(stats.leads)),
            ("term", stats.term),
            ("voters", stats.voters as u64),
            ("live_voters", stats.live_voters as u64),
            ("configuration_version", stats.version),
            ("open_calls", stats.open_calls as u64),
            ("open_jobs", stats.open_jobs as u64),
            ("waiting_steps", stats.ready_steps as u64),
            ("usable_workers", stats.usable_workers as u64),
            ("unreported_workers", stats.unreported_workers as u64),
            ("workers", stats.workers as u64),
        ] {
            set(&self.gauges, kind, value);
        }
        let end_kinds = ["done", "failed", "stopped", "lapsed", "broken", "alone"];
        for (kind, value) in end_kinds.iter().zip(stats.ends) {
            set(&self.counts, &format!("runs_{kind}"), value);
        }
        for (kind, value) in [
            ("starts", stats.starts),
            ("jobs_accepted", stats.accepted),
            ("jobs_refused_over_rate", stats.refused_over_rate),
            ("jobs_refused_too_late", stats.refused_too_late),
            ("runs_given_up", stats.lost_runs),
            ("worker_crashes", stats.worker_crashes),
            ("jobs_given_up", stats.jobs_given_up),
            ("advice_calls", stats.advice_calls),
        ] {
            set(&self.counts, kind, value);
        }
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

fn observe(latencies: &LatencyByKind, kind: &str, took: Duration) {
    let labels = KindLabel { kind: kind.to_string() };
    latencies.get_or_create(&labels).observe(took.as_secs_f64());
}
