//! Configurations on their way to the hosts that are no members of the group.
//!
//! Designed for some fifty hosts on links of 2 Mbit/s, 1,400 queues, and several changes a second.
//! A host names the version that it has and is sent the queues and accounts that changed since, in
//! parts small enough not to hold up the messages that share the link. The operator's document stays with the
//! group.

use accounts::{Account, Accounts, AccountsDigest};
use jobs::{Configuration, QueueAddress, QueuePolicy, RequestLimits, ServicePolicy};
use serde::{Deserialize, Serialize};
use types::{AccountName, SortedMap, Version};

/// Size of a part, in bytes, from which on nothing is added: 33 ms on a link of 2 Mbit/s.
const MAX_PART_BYTES: usize = 8 << 10;
/// Limit on the remembered changes. Once there are more, hosts with an older version are sent
/// everything.
const MAX_CHANGES: usize = 8_192;
/// Estimated size of a queue in a message, besides its texts.
const QUEUE_BASE_BYTES: usize = 48;
/// Estimated size of an account in a message, besides its name and keys.
const ACCOUNT_BASE_BYTES: usize = 32;

/// A part of the difference between two configurations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationPart {
    /// Version that the receiver must have; `None` if the parts hold the whole configuration.
    pub base: Option<Version>,
    /// Version that all parts together lead to.
    pub version: Version,
    /// Position of this part, counted from 0.
    pub index: u32,
    /// Addresses of queues that were removed since the base.
    pub removed: Vec<QueueAddress>,
    /// Queues that were added or changed since the base.
    pub queues: Vec<(QueueAddress, QueuePolicy)>,
    /// Names of accounts that were removed since the base.
    pub removed_accounts: Vec<AccountName>,
    /// Accounts that were added or changed since the base.
    pub accounts: Vec<Account>,
    /// Set in the last part.
    pub end: Option<ConfigurationEnd>,
}

/// What the last part holds besides queues and accounts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationEnd {
    /// All services.
    pub services: Vec<ServicePolicy>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
    /// Number of queues in the whole configuration, to check the result.
    pub queue_count: usize,
    /// Digest of all accounts, to check the result.
    pub accounts_digest: AccountsDigest,
}

impl ConfigurationPart {
    /// Approximate size of the encoded part, in bytes.
    pub fn approx_size(&self) -> usize {
        let queues = self.queues.iter().map(|(address, policy)| queue_size(address, policy));
        let removed = self.removed.iter().map(address_size);
        let accounts = self.accounts.iter().map(account_size);
        let removed_accounts = self.removed_accounts.iter().map(name_size);
        let services = self.end.iter().flat_map(|end| &end.services);
        let services = services.map(|service| service.name.len() + 8);
        queues.chain(removed).chain(accounts).chain(removed_accounts).chain(services).sum()
    }
}

fn address_size(address: &QueueAddress) -> usize {
    address.host.len() + address.prefix.len() + 2
}

fn queue_size(address: &QueueAddress, policy: &QueuePolicy) -> usize {
    address_size(address) + policy.name.len() + policy.service.len() + QUEUE_BASE_BYTES
}

fn name_size(name: &AccountName) -> usize {
    name.len() + 2
}

fn account_size(account: &Account) -> usize {
    name_size(&account.name) + size_of_val(account.keys.as_slice()) + ACCOUNT_BASE_BYTES
}

/// The version in which each queue and account last changed, as far as this process has seen the changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    /// Differences can be made against this version and later ones.
    since: Version,
    queues: SortedMap<QueueAddress, Version>,
    accounts: SortedMap<AccountName, Version>,
}

impl ChangeLog {
    /// Forgets all changes, because those before this version were not seen one by one.
    pub(crate) fn reset(&mut self, version: Version) {
        *self = ChangeLog { since: version, ..ChangeLog::default() };
    }

    /// Records the step from one configuration to the one that directly replaced it.
    pub(crate) fn record(&mut self, before: &Configuration, after: &Configuration) {
        let queues = changed(&by_address(before), &by_address(after));
        for address in queues {
            self.queues.insert(address.clone(), after.version);
        }
        for name in changed(&by_name(before), &by_name(after)) {
            self.accounts.insert(name.clone(), after.version);
        }
        if self.queues.len() + self.accounts.len() > MAX_CHANGES {
            self.reset(after.version);
        }
    }

    /// Splits what a host with version `base` lacks of the configuration into parts.
    pub(crate) fn parts(
        &self,
        configuration: &Configuration,
        base: Version,
    ) -> Vec<ConfigurationPart> {
        let base = Some(base).filter(|base| *base > 0 && *base >= self.since);
        let since_base = |at: Option<&Version>| at.is_some_and(|at| Some(*at) > base);
        let is_sent = |at: Option<&Version>| base.is_none() || since_base(at);
        let queues = by_address(configuration);
        let accounts = by_name(configuration);
        let mut parts = Parts::new(base, configuration.version);
        for (address, at) in self.queues.iter() {
            if since_base(Some(at)) && base.is_some() && find(&queues, address).is_none() {
                parts.with_room_for(address_size(address)).removed.push(address.clone());
            }
        }
        for (address, policy) in queues.iter().filter(|(a, _)| is_sent(self.queues.get(*a))) {
            let queue = ((*address).clone(), (*policy).clone());
            parts.with_room_for(queue_size(address, policy)).queues.push(queue);
        }
        for (name, at) in self.accounts.iter() {
            if since_base(Some(at)) && base.is_some() && find(&accounts, name).is_none() {
                parts.with_room_for(name_size(name)).removed_accounts.push(name.clone());
            }
        }
        for (_, account) in accounts.iter().filter(|(n, _)| is_sent(self.accounts.get(*n))) {
            parts.with_room_for(account_size(account)).accounts.push((*account).clone());
        }
        parts.finish(ConfigurationEnd {
            services: configuration.services.clone(),
            limits: configuration.limits,
            queue_count: queues.len(),
            accounts_digest: configuration.accounts.digest(),
        })
    }
}

/// Parts that are being filled, one after another.
struct Parts {
    full: Vec<ConfigurationPart>,
    last: ConfigurationPart,
    /// Size of the last part.
    size: usize,
}

impl Parts {
    fn new(base: Option<Version>, version: Version) -> Parts {
        let last = ConfigurationPart { base, version, ..ConfigurationPart::default() };
        Parts { full: Vec::new(), last, size: 0 }
    }

    /// The part that has room for so many bytes more.
    fn with_room_for(&mut self, bytes: usize) -> &mut ConfigurationPart {
        self.size += bytes;
        if self.size > MAX_PART_BYTES {
            self.size = bytes;
            let ConfigurationPart { base, version, index, .. } = self.last;
            let next = ConfigurationPart { base, version, index: index + 1, ..Default::default() };
            self.full.push(std::mem::replace(&mut self.last, next));
        }
        &mut self.last
    }

    fn finish(mut self, end: ConfigurationEnd) -> Vec<ConfigurationPart> {
        self.last.end = Some(end);
        self.full.push(self.last);
        self.full
    }
}

/// Keys of the entries that were added, changed or removed. Both lists are sorted by key.
fn changed<'a, K, V>(old: &[(&'a K, &'a V)], new: &[(&'a K, &'a V)]) -> Vec<&'a K>
where
    K: Ord,
    V: PartialEq,
{
    let differs = |(key, value): &&(&K, &V)| find(old, key).is_none_or(|found| found != *value);
    let is_gone = |(key, _): &&(&K, &V)| find(new, key).is_none();
    let kept = new.iter().filter(differs);
    kept.chain(old.iter().filter(is_gone)).map(|(key, _)| *key).collect()
}

/// The value of a key in a list that is sorted by key.
fn find<'a, K, V>(list: &[(&K, &'a V)], key: &K) -> Option<&'a V>
where
    K: Ord,
{
    let found = list.binary_search_by(|(k, _)| (*k).cmp(key)).ok()?;
    Some(list[found].1)
}

/// The queues of a configuration, sorted by address.
fn by_address(configuration: &Configuration) -> Vec<(&QueueAddress, &QueuePolicy)> {
    let queues = configuration.queues.iter().map(|(address, policy)| (address, policy));
    let mut queues: Vec<_> = queues.collect();
    queues.sort_unstable_by(|a, b| a.0.cmp(b.0));
    queues
}

/// The accounts of a configuration, sorted by name.
fn by_name(configuration: &Configuration) -> Vec<(&AccountName, &Account)> {
    configuration.accounts.iter().map(|account| (&account.name, account)).collect()
}

/// Result of a received part.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Received {
    /// More parts are needed, or the part does not fit those before it and is ignored.
    Incomplete,
    /// The configuration is complete.
    Complete(Box<Configuration>),
    /// The parts do not lead to the configuration that the sender has.
    Mismatch,
}

/// Parts received so far of the configuration that is on its way.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncomingConfiguration {
    base: Option<Version>,
    version: Version,
    /// Index of the next part.
    next: u32,
    removed: Vec<QueueAddress>,
    queues: Vec<(QueueAddress, QueuePolicy)>,
    removed_accounts: Vec<AccountName>,
    accounts: Vec<Account>,
}

impl IncomingConfiguration {
    /// Handles a part that a host with the configuration `current` has received.
    pub(crate) fn receive(&mut self, part: ConfigurationPart, current: &Configuration) -> Received {
        let ConfigurationPart { base, version, index, .. } = part;
        let applies = version > current.version && base.is_none_or(|b| b == current.version);
        if index == 0 {
            *self = IncomingConfiguration { base, version, ..IncomingConfiguration::default() };
        }
        if !applies || (self.base, self.version, self.next) != (base, version, index) {
            return Received::Incomplete;
        }
        self.next += 1;
        self.removed.extend(part.removed);
        self.queues.extend(part.queues);
        self.removed_accounts.extend(part.removed_accounts);
        self.accounts.extend(part.accounts);
        let Some(end) = part.end else { return Received::Incomplete };
        let complete = std::mem::take(self).complete(end, current);
        complete.map_or(Received::Mismatch, |complete| Received::Complete(Box::new(complete)))
    }

    /// The configuration that all parts lead to; `None` if it is not the one that the sender has.
    fn complete(self, end: ConfigurationEnd, current: &Configuration) -> Option<Configuration> {
        let ConfigurationEnd { services, limits, queue_count, accounts_digest } = end;
        let is_difference = self.base.is_some();
        let version = self.version;
        let kept = current.queues.iter().filter(|_| is_difference).cloned().collect();
        let queues = merge(kept, self.removed, self.queues, |(address, _)| address);
        let kept = current.accounts.iter().filter(|_| is_difference).cloned().collect();
        let accounts = merge(kept, self.removed_accounts, self.accounts, |account| &account.name);
        let accounts = Accounts::new(accounts).ok()?;
        let matches = queues.len() == queue_count && accounts.digest() == accounts_digest;
        let document = Vec::new();
        matches.then_some(Configuration { version, queues, services, limits, accounts, document })
    }
}

/// Replaces the entries of `kept` that were changed, and drops those that were removed.
fn merge<K, T, F>(mut kept: Vec<T>, removed: Vec<K>, changed: Vec<T>, key: F) -> Vec<T>
where
    K: Ord,
    F: Fn(&T) -> &K,
{
    let mut replaced: Vec<&K> = changed.iter().map(&key).chain(&removed).collect();
    replaced.sort_unstable();
    kept.retain(|entry| replaced.binary_search(&key(entry)).is_err());
    kept.extend(changed);
    kept
}
