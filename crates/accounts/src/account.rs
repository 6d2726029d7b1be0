//! Accounts as the operator configures them.

use crate::key::KeyDigest;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::{AccountName, ResourceVector};

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name given by the operator.
    pub name: AccountName,
    /// Digests of the account's keys, sorted.
    pub keys: Vec<KeyDigest>,
    /// Priority among accounts; 0 is the highest.
    pub priority: u32,
    /// Share of the account when the cell is full, relative to the weights of the others, and the
    /// number of jobs per second that it is expected to send.
    pub weight: f64,
    /// Limit on what the account's tasks use at the same time; 0 for no limit on a resource.
    pub quota: ResourceVector,
}

/// Builds an [`Account`].
#[derive(Clone, Debug)]
pub struct AccountBuilder(Account);

impl AccountBuilder {
    /// Starts with an account without keys and quota, and with a weight of 1.
    pub fn new<N>(name: N) -> AccountBuilder
    where
        N: Into<AccountName>,
    {
        AccountBuilder(Account { name: name.into(), weight: 1.0, ..Account::default() })
    }

    /// Adds a key.
    pub fn key(mut self, key: &str) -> Self {
        self.0.keys.push(KeyDigest::of(key));
        self
    }

    /// Sets the priority among accounts; 0 is the highest. Default: 0.
    pub fn priority(mut self, priority: u32) -> Self {
        self.0.priority = priority;
        self
    }

    /// Sets the weight. Default: 1.
    pub fn weight(mut self, weight: f64) -> Self {
        self.0.weight = weight;
        self
    }

    /// Sets the quota. Default: no limits.
    pub fn quota(mut self, quota: ResourceVector) -> Self {
        self.0.quota = quota;
        self
    }

    /// Finishes the account.
    pub fn build(mut self) -> Account {
        self.0.keys.sort_unstable();
        self.0.keys.dedup();
        self.0
    }
}

/// Digest of all accounts of a configuration.
pub type AccountsDigest = [u8; 32];

/// All accounts of a configuration, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Accounts {
    accounts: Vec<Account>,
    /// The holder of each key, as an index into `accounts`, sorted by key.
    holders: Vec<(KeyDigest, u32)>,
}

impl Accounts {
    /// Checks and sorts the accounts. The error names the account and the cause.
    pub fn new(accounts: Vec<Account>) -> Result<Accounts, String> {
        let mut accounts = accounts;
        accounts.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        if accounts.iter().any(|account| account.name.is_empty()) {
            return Err("account: its name must not be empty".to_string());
        }
        if let Some(pair) = accounts.windows(2).find(|pair| pair[0].name == pair[1].name) {
            return Err(format!("account {}: is there twice", pair[0].name));
        }
        for Account { name, weight, .. } in &accounts {
            if !weight.is_finite() || *weight < 0.0 {
                return Err(format!("account {name}: its weight must be a number of at least 0"));
            }
        }
        let keys = accounts.iter().zip(0u32..);
        let keys = keys.flat_map(|(account, i)| account.keys.iter().map(move |key| (*key, i)));
        let mut holders: Vec<(KeyDigest, u32)> = keys.collect();
        holders.sort_unstable();
        if let Some(pair) = holders.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            let name = |i: u32| accounts[i as usize].name.as_str();
            let (one, other) = (name(pair[0].1), name(pair[1].1));
            return Err(format!("account {one}: shares a key with account {other}"));
        }
        Ok(Accounts { accounts, holders })
    }

    /// The account that holds a key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Account> {
        let found = self.holders.binary_search_by(|(held, _)| held.cmp(key)).ok()?;
        self.accounts.get(self.holders[found].1 as usize)
    }

    /// An account by name.
    pub fn get(&self, name: &str) -> Option<&Account> {
        let found = self.accounts.binary_search_by(|account| account.name.as_str().cmp(name));
        Some(&self.accounts[found.ok()?])
    }

    /// All accounts, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter()
    }

    /// Digest of all accounts with all their fields, to compare those of two hosts.
    ///
    /// ```
    /// use accounts::{AccountBuilder, Accounts};
    /// let of = |key: &str| Accounts::new(vec![AccountBuilder::new("a").key(key).build()]).unwrap();
    /// assert_eq!(of("k").digest(), of("k").digest());
    /// assert_ne!(of("k").digest(), of("other").digest());
    /// ```
    pub fn digest(&self) -> AccountsDigest {
        let mut hash = Sha256::new();
        for Account { name, keys, priority, weight, quota } in &self.accounts {
            hash.update((name.len() as u64).to_le_bytes());
            hash.update(name.as_bytes());
            hash.update((keys.len() as u64).to_le_bytes());
            keys.iter().for_each(|key| hash.update(key.as_bytes()));
            hash.update(priority.to_le_bytes());
            hash.update(weight.to_bits().to_le_bytes());
            let ResourceVector { cpu, memory, gpu } = quota;
            [cpu, memory, gpu].iter().for_each(|limit| hash.update(limit.to_le_bytes()));
        }
        hash.finalize().into()
    }

    /// Whether there are no accounts, so that no caller needs a key.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }
}
