//! What accounts use of the cell, against their quotas.

use crate::account::Account;
use types::{AccountName, ResourceVector, SortedMap};

/// Resources that the tasks of each account use at present.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Usage(SortedMap<AccountName, ResourceVector>);

impl Usage {
    /// What the account uses.
    pub fn of(&self, account: &str) -> ResourceVector {
        self.0.get(account).copied().unwrap_or_default()
    }

    /// All accounts that use anything, with what they use, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountName, &ResourceVector)> {
        self.0.iter()
    }

    /// Adds what a task that starts will use.
    pub fn take(&mut self, account: &AccountName, need: &ResourceVector) {
        if *need != ResourceVector::default() {
            let used = self.0.get_or_insert_with(account.clone(), ResourceVector::default);
            *used = used.plus(need);
        }
    }

    /// Subtracts what a task that has ended used.
    pub fn release(&mut self, account: &AccountName, need: &ResourceVector) {
        if let Some(used) = self.0.get_mut(account) {
            *used = used.minus(need);
            if *used == ResourceVector::default() {
                self.0.remove(account);
            }
        }
    }

    /// What the account may still start under its quota. A resource without a limit is unbounded.
    ///
    /// ```
    /// use accounts::{AccountBuilder, Usage};
    /// use types::ResourceVector;
    /// let cpu = |cpu| ResourceVector { cpu, ..ResourceVector::default() };
    /// let account = AccountBuilder::new("a").quota(cpu(10_000)).build();
    /// let mut usage = Usage::default();
    /// usage.take(&account.name, &cpu(7_000));
    /// assert_eq!(usage.room(&account).cpu, 3_000);
    /// assert_eq!(usage.room(&account).memory, u64::MAX);
    /// ```
    pub fn room(&self, account: &Account) -> ResourceVector {
        self.room_under(&account.quota, &account.name)
    }

    /// What the account with this name may still start under a quota that is kept elsewhere.
    pub fn room_under(&self, quota: &ResourceVector, account: &str) -> ResourceVector {
        let used = self.of(account);
        let left = |limit: u64, used: u64| match limit {
            0 => u64::MAX,
            limit => limit.saturating_sub(used),
        };
        ResourceVector {
            cpu: left(quota.cpu, used.cpu),
            memory: left(quota.memory, used.memory),
            gpu: left(quota.gpu, used.gpu),
        }
    }
}
