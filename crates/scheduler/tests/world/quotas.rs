//! Client accounts with quotas, and the oracle that checks what each has running on the workers.

use super::World;
use accounts::{AccountBuilder, Accounts, KeyDigest};
use jobs::{Configuration, ResourceVector, TaskRef};
use std::collections::BTreeMap;
use types::JobId;

const NAMES: [&str; 3] = ["a", "b", "c"];
/// A start may have been placed this long before, under the quota of that time, in milliseconds:
/// orders are carried out late, and leaders change.
const MAX_START_DELAY: u64 = 15_000;

/// What clients know of the quotas.
pub(crate) struct Quotas {
    rng: fastrand::Rng,
    /// Quotas in each version that was sent; 0 for no limit.
    sent: BTreeMap<u64, [ResourceVector; NAMES.len()]>,
    /// When each version was acknowledged.
    acknowledged: Vec<(u64, u64)>,
    /// Quotas of all versions; random ones if `None`.
    fixed: Option<[ResourceVector; NAMES.len()]>,
    /// Whether the cell learns of no quota, so that it can't keep it.
    withheld: bool,
    /// Number of starts that brought an account to more than three quarters of its quota.
    pub(crate) nearly_full: u64,
}

impl Quotas {
    pub(crate) fn new(seed: u64, withheld: bool) -> Quotas {
        let rng = fastrand::Rng::with_seed(seed);
        let (sent, acknowledged) = (BTreeMap::new(), Vec::new());
        Quotas { rng, sent, acknowledged, fixed: None, withheld, nearly_full: 0 }
    }

    /// The same quotas in all versions. Accounts have the jobs whose ids leave 0, 1 and 2 when they
    /// are divided by 3.
    #[allow(dead_code)] // Not all tests that share this module use it.
    pub(crate) fn fixed(quotas: [ResourceVector; NAMES.len()]) -> Quotas {
        Quotas { fixed: Some(quotas), ..Quotas::new(0, false) }
    }

    /// Adds accounts to a configuration, with random quotas or without any.
    pub(crate) fn add_to(&mut self, configuration: &mut Configuration, limited: bool) {
        let rng = &mut self.rng;
        let quotas = NAMES.map(|_| match rng.u8(..6) {
            _ if !limited => ResourceVector::default(),
            0 => ResourceVector { cpu: 0, memory: rng.u64(2_500..6_000), gpu: 0 },
            1 => ResourceVector { cpu: rng.u64(4_000..12_000), memory: 0, gpu: 0 },
            _ => ResourceVector {
                cpu: rng.u64(4_000..16_000),
                memory: rng.u64(2_000..9_000),
                gpu: 0,
            },
        });
        let quotas = self.fixed.filter(|_| limited).unwrap_or(quotas);
        self.sent.insert(configuration.version, quotas);
        let account = |(name, quota): (&str, ResourceVector)| {
            let told = if self.withheld { ResourceVector::default() } else { quota };
            AccountBuilder::new(name).key(name).quota(told).build()
        };
        let accounts = NAMES.into_iter().zip(quotas).map(account).collect();
        configuration.accounts = Accounts::new(accounts).unwrap();
    }

    pub(crate) fn acknowledge(&mut self, version: u64, now: u64) {
        self.acknowledged.push((now, version));
    }

    /// The quotas of an account in all versions that may be in force or may have been when a task
    /// was placed that starts now.
    fn in_force(&self, account: usize, now: u64) -> Vec<ResourceVector> {
        let replaced = |(at, _): &&(u64, u64)| *at + MAX_START_DELAY < now;
        let lowest = self.acknowledged.iter().filter(replaced).map(|(_, version)| *version).max();
        let sent = self.sent.range(lowest.unwrap_or(0)..);
        sent.map(|(_, quotas)| quotas[account]).collect()
    }
}

fn account_of(job: JobId) -> usize {
    (job % NAMES.len() as u64) as usize
}

impl World {
    /// The key for calls about a job; `None` if there are no accounts.
    pub(crate) fn key_for(&self, job: JobId) -> Option<KeyDigest> {
        self.quotas.as_ref().map(|_| KeyDigest::of(NAMES[account_of(job)]))
    }

    /// Whether a start of this task brings its account above its quota.
    pub(super) fn passes_quota(&mut self, task: TaskRef, need: ResourceVector) -> bool {
        let account = account_of(task.step.job);
        let runs = self.workers.iter().filter(|worker| worker.up).flat_map(|worker| &worker.runs);
        let of_account = runs.filter(|((task, _), _)| account_of(task.step.job) == account);
        let used = of_account.fold(need, |sum, (_, run)| sum.plus(&run.need));
        let now = self.now;
        let Some(quotas) = &mut self.quotas else { return false };
        let in_force = quotas.in_force(account, now);
        let above = |used: u64, limit: fn(&ResourceVector) -> u64, percent: u64| {
            in_force.iter().all(|quota| limit(quota) > 0 && used * 100 > limit(quota) * percent)
        };
        let any_above = |percent| {
            above(used.cpu, |quota| quota.cpu, percent)
                || above(used.memory, |quota| quota.memory, percent)
        };
        quotas.nearly_full += u64::from(any_above(75));
        any_above(100)
    }
}
