//! Counters, gauges and latency histograms of one process, in the OpenMetrics text format.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use scheduler::{AccountStats, CallReason, NodeStats};
use std::sync::Mutex;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountLabel {
    account: String,
    kind: String,
}

/// Label of all accounts without gauges of their own.
const OTHER_ACCOUNTS: &str = "(others)";

type LatencyByKind = Family<KindLabel, Histogram, fn() -> Histogram>;

/// A histogram with buckets from 0.5 ms to 8.2 s.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_5, 2.0, 15))
}

fn set(family: &Family<KindLabel, Gauge>, kind: &str, value: u64) {
    let labels = KindLabel { kind: kind.to_string() };
    family.get_or_create(&labels).set(i64::try_from(value).unwrap_or(i64::MAX));
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
    accounts: Family<AccountLabel, Gauge>,
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
        let accounts = Family::default();
        let help = "What the largest accounts have running and waiting, by kind";
        registry.register("account", help, accounts.clone());
        let sent = Family::default();
        let help = "Bytes queued for other hosts, by kind of message";
        registry.register_with_unit("sent", help, Unit::Bytes, sent.clone());
        let last_stats = Mutex::default();
        Metrics {
            registry,
            calls,
            orders,
            advice,
            syncs,
            sent,
            gauges,
            counts,
            accounts,
            last_stats,
        }
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

    /// Sets a gauge, beside those of the engine.
    pub fn set_now(&self, kind: &str, value: u64) {
        set(&self.gauges, kind, value);
    }

    /// Sets a count since the start, beside those of the engine.
    pub fn set_since_start(&self, kind: &str, value: u64) {
        set(&self.counts, kind, value);
    }

    /// Replaces the gauges of accounts. Those of accounts that are no longer among the largest go.
    fn set_accounts(&self, stats: &NodeStats) {
        self.accounts.clear();
        for AccountStats { account, running_cpu, waiting_steps, quota_waits } in &stats.accounts {
            let account = if account.is_empty() { OTHER_ACCOUNTS } else { account };
            for (kind, value) in [
                ("running_millicores", *running_cpu),
                ("waiting_steps", *waiting_steps as u64),
                ("steps_waiting_for_quota", *quota_waits as u64),
            ] {
                let labels = AccountLabel { account: account.to_string(), kind: kind.to_string() };
                let gauge = self.accounts.get_or_create(&labels);
                gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
            }
        }
    }

    /// Formats all metrics as text.
    pub fn render(&self) -> String {
        let stats = self.last_stats.lock().expect("lock is not poisoned").clone();
        for (kind, value) in [
            ("leads", u64::from(stats.leads)),
            ("term", stats.term),
            ("voters", stats.voters as u64),
            ("live_voters", stats.live_voters as u64),
            ("configuration_version", stats.version),
            ("configuration_age_ms", stats.configuration_age.map_or(u64::MAX, millis)),
            ("open_calls", stats.open_calls as u64),
            ("open_jobs", stats.open_jobs as u64),
            ("stored_job_bytes", stats.stored_bytes as u64),
            ("withdrawn_ids", stats.withdrawn_ids as u64),
            ("waiting_steps", stats.ready_steps as u64),
            ("usable_workers", stats.usable_workers as u64),
            ("unreported_workers", stats.unreported_workers as u64),
            ("closed_workers", stats.closed_workers as u64),
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
            ("starts_unanswered", stats.starts_unanswered),
            ("starts_in_doubt", stats.starts_in_doubt),
            ("runs_given_up", stats.lost_runs),
            ("worker_crashes", stats.worker_crashes),
            ("jobs_given_up", stats.jobs_given_up),
            ("jobs_beyond_quota", stats.beyond_quota),
            ("jobs_refused_no_room", stats.refused_no_room),
            ("jobs_refused_as_withdrawn", stats.refused_as_withdrawn),
            ("cancels_refused", stats.cancels_refused),
            ("advice_calls", stats.advice_calls),
        ] {
            set(&self.counts, kind, value);
        }
        for (reason, usage) in CallReason::ALL.iter().zip(stats.advice.calls) {
            set(&self.gauges, &format!("advice_calls_{}", reason.name()), usage.calls);
        }
        let total = stats.advice.total();
        for (kind, value) in [
            ("advice_service_ms", total.time.as_millis() as u64),
            ("advice_in_line_ms", total.in_line.as_millis() as u64),
            ("advice_tickets", stats.advice.tickets),
            ("advice_tickets_used", stats.advice.used),
            ("advice_calls_failed", stats.advice.failed),
        ] {
            set(&self.gauges, kind, value);
        }
        self.set_accounts(&stats);
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn observe(latencies: &LatencyByKind, kind: &str, took: Duration) {
    let labels = KindLabel { kind: kind.to_string() };
    latencies.get_or_create(&labels).observe(took.as_secs_f64());
}
