//! The oracle: records what the fakes observed and checks the system's invariants against it.

use super::{FakeWorker, SLOTS};
use routing::Outcome;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use types::{ExchangeId, Fence, Release, Resources, Timestamp};

/// An upstream that left gets no new requests from any host after this time, unless links are cut.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// After this many crashes a task that causes them may be started only [`STARTS_LEFT`] times more.
const CRASHES_TO_STOP: u32 = 3;
const STARTS_LEFT: u32 = 2;
/// Prefix of the tasks that crash their workers.
pub(crate) const DEADLY: &str = "t/deadly";

#[derive(Default)]
pub(crate) struct Oracle {
    /// The first violated invariant.
    pub(crate) violation: Option<String>,
    /// Live runs: (worker, fence) to task and resources.
    live: BTreeMap<(String, Fence), (String, Resources)>,
    /// Tasks of unrepeatable jobs that have been started.
    began_once: BTreeSet<String>,
    executions: BTreeMap<u64, u32>,
    executed_exchanges: BTreeSet<ExchangeId>,
    executed_keys: BTreeMap<String, u32>,
    not_run_exchanges: BTreeSet<ExchangeId>,
    in_flight: BTreeMap<(String, String), u32>,
    restarts: BTreeMap<String, u64>,
    /// Crashes of workers that ran a task at that time.
    crashes: BTreeMap<String, u32>,
    /// Starts of a task that crashes its workers, after [`CRASHES_TO_STOP`] crashes.
    starts_after: BTreeMap<String, u32>,
    versions: BTreeMap<String, u64>,
    digests: BTreeMap<u64, String>,
    accepted: BTreeMap<String, (u64, String)>,
    jobs: BTreeSet<String>,
    left: BTreeMap<(String, u64), Timestamp>,
    /// Whether links between hosts were cut, so that some hosts may not know that an upstream left.
    pub(crate) cut: bool,
}

impl Oracle {
    fn report(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    pub(crate) fn began(
        &mut self,
        worker: &str,
        fence: Fence,
        task: &str,
        size: &Resources,
        now: Timestamp,
    ) {
        if let Some(((other, f), _)) = self.live.iter().find(|(_, (t, _))| t == task) {
            let (other, f) = (other.clone(), *f);
            self.report(format!(
                "{task} began on {worker} ({fence}) and runs on {other} ({f}) at {now:?}"
            ));
        }
        if task.starts_with("t/once") && !self.began_once.insert(task.to_string()) {
            self.report(format!("unrepeatable {task} began twice, now on {worker}"));
        }
        if task.starts_with(DEADLY) && self.crashes_under(task) >= CRASHES_TO_STOP {
            let starts = self.starts_after.entry(task.to_string()).or_default();
            *starts += 1;
            if *starts > STARTS_LEFT {
                self.report(format!("{task} was started too often after it had crashed workers"));
            }
        }
        self.live.insert((worker.to_string(), fence), (task.to_string(), *size));
        let here = self.live.iter().filter(|((w, _), _)| w == worker);
        let held = here.fold(Resources::default(), |sum, (_, (_, r))| sum.checked_add(r).unwrap());
        if !held.fits_in(&FakeWorker::capacity()) {
            self.report(format!("{worker} runs more than it can hold"));
        }
    }

    pub(crate) fn crashed_under(&mut self, task: &str) {
        *self.crashes.entry(task.to_string()).or_default() += 1;
    }

    pub(crate) fn crashes_under(&self, task: &str) -> u32 {
        self.crashes.get(task).copied().unwrap_or(0)
    }

    /// Number of crashes in all.
    pub(crate) fn crashes(&self) -> u32 {
        self.crashes.values().sum()
    }

    pub(crate) fn ended(&mut self, worker: &str, fence: Fence) {
        self.live.remove(&(worker.to_string(), fence));
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn executed(
        &mut self,
        exchange: ExchangeId,
        request: u64,
        key: Option<&str>,
        host: &str,
        upstream: &str,
        incarnation: u64,
        now: Timestamp,
    ) {
        if self.not_run_exchanges.contains(&exchange) {
            self.report(format!("exchange {exchange} ran after it was reported as not run"));
        }
        self.executed_exchanges.insert(exchange);
        *self.executions.entry(request).or_default() += 1;
        if self.executions[&request] > 1 {
            self.report(format!("request {request} with key {key:?} ran twice"));
        }
        if let Some(key) = key {
            *self.executed_keys.entry(key.to_string()).or_default() += 1;
        }
        let left = self.left.get(&(upstream.to_string(), incarnation)).copied();
        if left.is_some_and(|at| now > at + LEAVING_LIMIT) && !self.cut {
            self.report(format!("{upstream} got new work after it left"));
        }
        let slot = (host.to_string(), upstream.to_string());
        *self.in_flight.entry(slot).or_default() += 1;
        let busy: u32 =
            self.in_flight.iter().filter(|((_, u), _)| u == upstream).map(|(_, n)| n).sum();
        if busy > SLOTS {
            let holders = format!("{:?}", self.in_flight);
            self.report(format!("{upstream} has {busy} requests in {SLOTS} slots: {holders}"));
        }
    }

    pub(crate) fn attempt_ended(&mut self, host: &str, upstream: &str) {
        let slot = (host.to_string(), upstream.to_string());
        if let Some(count) = self.in_flight.get_mut(&slot) {
            *count = count.saturating_sub(1);
        }
    }

    pub(crate) fn answered(&mut self, exchange: ExchangeId) {
        if !self.executed_exchanges.contains(&exchange) {
            self.report(format!("exchange {exchange} was answered and never ran"));
        }
    }

    pub(crate) fn replayed(&mut self, request: u64, body: &[u8]) {
        if body != request.to_string().as_bytes() {
            self.report(format!("request {request} got the answer of another"));
        }
    }

    pub(crate) fn gave_up(
        &mut self,
        exchange: ExchangeId,
        request: u64,
        key: Option<&str>,
        outcome: Outcome,
    ) {
        if outcome != Outcome::NotRun {
            return;
        }
        self.not_run_exchanges.insert(exchange);
        let ran = match key {
            Some(key) => self.executed_keys.contains_key(key),
            None => self.executions.contains_key(&request),
        };
        if ran {
            self.report(format!("request {request} with key {key:?} is reported as not run"));
        }
    }

    pub(crate) fn in_force(&mut self, host: &str, release: &Release) {
        let before = self.versions.insert(host.to_string(), release.version).unwrap_or(0);
        if release.version < before {
            self.report(format!("{host} went from release {before} back to {}", release.version));
        }
        let digest = self.digests.entry(release.version).or_insert(release.digest.clone()).clone();
        if digest != release.digest {
            let version = release.version;
            self.report(format!(
                "release {version} has two digests: {digest} and {}",
                release.digest
            ));
        }
    }

    pub(crate) fn accepted_release(&mut self, request: &str, version: u64, digest: &str) {
        let accepted = (version, digest.to_string());
        let first = self.accepted.entry(request.to_string()).or_insert(accepted.clone()).clone();
        if first != accepted {
            self.report(format!("request {request} was answered {first:?} and later {accepted:?}"));
        }
        let clash = self.accepted.iter().find(|(r, (v, _))| *v == version && *r != request);
        if let Some((other, _)) = clash {
            let other = other.clone();
            self.report(format!("{request} and {other} both made version {version}"));
        }
    }

    pub(crate) fn highest_accepted(&self) -> u64 {
        self.accepted.values().map(|(version, _)| *version).max().unwrap_or(0)
    }

    pub(crate) fn accepted_job(&mut self, key: &str) {
        self.jobs.insert(key.to_string());
    }

    pub(crate) fn accepted_jobs(&self) -> impl Iterator<Item = &String> {
        self.jobs.iter()
    }

    /// Number of live runs.
    pub(crate) fn live_runs(&self) -> usize {
        self.live.len()
    }

    /// Number of requests that ran.
    pub(crate) fn executed_requests(&self) -> usize {
        self.executions.len()
    }

    pub(crate) fn left(&mut self, upstream: &str, incarnation: u64, now: Timestamp) {
        self.left.insert((upstream.to_string(), incarnation), now);
    }

    pub(crate) fn host_died(&mut self, host: &str) {
        *self.restarts.entry(host.to_string()).or_default() += 1;
        self.in_flight.retain(|(h, _), _| h != host);
    }

    pub(crate) fn disk_lost(&mut self, host: &str) {
        self.versions.remove(host);
    }

    pub(crate) fn restarts(&self, host: &str) -> u64 {
        self.restarts.get(host).copied().unwrap_or(0)
    }
}
