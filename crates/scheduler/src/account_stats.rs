//! Gauges of client accounts, for a bounded number of accounts.

use crate::quota_waits::account_of;
use jobs::{State, StepRef};
use types::{AccountName, SortedMap};

/// Number of accounts with gauges of their own; the others count as one.
const MAX_ACCOUNTS: usize = 8;
/// Name under which all other accounts are counted. No account is named so.
const OTHERS: &str = "";

/// What an account has running and waiting.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountStats {
    /// Name of the account; empty for all accounts that are not listed.
    pub account: AccountName,
    /// CPU that its runs use, in thousandths of a core.
    pub running_cpu: u64,
    /// Steps with tasks that wait for placement.
    pub waiting_steps: usize,
    /// Those of them that wait for room under the account's quota.
    pub quota_waits: usize,
}

impl AccountStats {
    fn add(&mut self, other: &AccountStats) {
        self.running_cpu += other.running_cpu;
        self.waiting_steps += other.waiting_steps;
        self.quota_waits += other.quota_waits;
    }
}

/// The accounts that have most running or waiting, by name, followed by the sum of all others.
pub(crate) fn account_stats<'a, I, F>(state: &State, ready: I, waits: F) -> Vec<AccountStats>
where
    I: Iterator<Item = &'a StepRef>,
    F: Fn(&StepRef) -> bool,
{
    let mut found: SortedMap<AccountName, AccountStats> = SortedMap::default();
    for (account, used) in state.usage().iter() {
        let stats = AccountStats { running_cpu: used.cpu, ..AccountStats::default() };
        found.insert(account.clone(), stats);
    }
    for step in ready {
        let Some(account) = account_of(state, *step) else { continue };
        let stats = found.get_or_insert_with(account.clone(), AccountStats::default);
        stats.waiting_steps += 1;
        stats.quota_waits += usize::from(waits(step));
    }
    let named = |(account, stats): (&AccountName, &AccountStats)| AccountStats {
        account: account.clone(),
        ..stats.clone()
    };
    largest(found.iter().map(named).collect())
}

fn largest(all: Vec<AccountStats>) -> Vec<AccountStats> {
    let mut all = all;
    all.sort_by_key(|stats| std::cmp::Reverse((stats.running_cpu, stats.waiting_steps)));
    let rest = all.split_off(all.len().min(MAX_ACCOUNTS));
    all.sort_by(|a, b| a.account.cmp(&b.account));
    if !rest.is_empty() {
        let mut others = AccountStats { account: OTHERS.into(), ..AccountStats::default() };
        rest.iter().for_each(|stats| others.add(stats));
        all.push(others);
    }
    all
}
