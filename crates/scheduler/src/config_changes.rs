//! Configurations on their way to the hosts that are no members of the group.
//!
//! Designed for some fifty hosts on links of 2 Mbit/s, 1,400 queues, and several changes a second.
//! A host names the version that it has and is sent the queues that changed since, in parts small
//! enough not to hold up the messages that share the link. The operator's document stays with the
//! group.

use accounts::Accounts;
use jobs::{Configuration, QueueAddress, QueuePolicy, RequestLimits, ServicePolicy};
use serde::{Deserialize, Serialize};
use types::{SortedMap, Version};

/// Size of a part, in bytes, from which on no queue is added: 33 ms on a link of 2 Mbit/s.
const MAX_PART_BYTES: usize = 8 << 10;
/// Limit on the remembered changes. Once there are more, hosts with an older version are sent all
/// queues.
const MAX_CHANGES: usize = 8_192;
/// Estimated size of a queue in a message, besides its texts.
const QUEUE_BASE_BYTES: usize = 48;

/// A part of the difference between two configurations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
    /// Set in the last part.
    pub end: Option<ConfigurationEnd>,
}

/// What the last part holds besides queues.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationEnd {
    /// All services.
    pub services: Vec<ServicePolicy>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
    /// All client accounts.
    pub accounts: Accounts,
    /// Number of queues in the whole configuration, to check the result.
    pub queue_count: usize,
}

impl ConfigurationPart {
    /// Approximate size of the encoded part, in bytes.
    pub fn approx_size(&self) -> usize {
        let queues = self.queues.iter().map(|(address, policy)| queue_size(address, policy));
        let removed = self.removed.iter().map(address_size);
        let services = self.end.iter().flat_map(|end| &end.services);
        queues.chain(removed).chain(services.map(|s| s.name.len() + 8)).sum()
    }
}

fn address_size(address: &QueueAddress) -> usize {
    address.host.len() + address.prefix.len() + 2
}

fn queue_size(address: &QueueAddress, policy: &QueuePolicy) -> usize {
    address_size(address) + policy.name.len() + policy.service.len() + QUEUE_BASE_BYTES
}

/// The version in which each queue last changed, as far as this process has seen the changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    /// Differences can be made against this version and later ones.
    since: Version,
    changed: SortedMap<QueueAddress, Version>,
}

impl ChangeLog {
    /// Forgets all changes, because those before this version were not seen one by one.
    pub(crate) fn reset(&mut self, version: Version) {
        *self = ChangeLog { since: version, changed: SortedMap::default() };
    }

    /// Records the step from one configuration to the one that directly replaced it.
    pub(crate) fn record(&mut self, before: &Configuration, after: &Configuration) {
        let (old, new) = (by_address(before), by_address(after));
        let find = |queues: &[&(QueueAddress, QueuePolicy)], address: &QueueAddress| {
            queues.binary_search_by(|(a, _)| a.cmp(address)).ok()
        };
        for (address, policy) in &new {
            if find(&old, address).is_none_or(|i| old[i].1 != *policy) {
                self.changed.insert(address.clone(), after.version);
            }
        }
        for (address, _) in old.iter().filter(|(address, _)| find(&new, address).is_none()) {
            self.changed.insert(address.clone(), after.version);
        }
        if self.changed.len() > MAX_CHANGES {
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
        let changed =
            |address: &QueueAddress| self.changed.get(address).is_some_and(|v| Some(*v) > base);
        let all = by_address(configuration);
        let is_open =
            |address: &QueueAddress| all.binary_search_by(|(a, _)| a.cmp(address)).is_ok();
        let gone = |(address, at): &(&QueueAddress, &Version)| {
            base.is_some_and(|base| **at > base) && !is_open(address)
        };
        let part = |index| ConfigurationPart {
            base,
            version: configuration.version,
            index,
            removed: Vec::new(),
            queues: Vec::new(),
            end: None,
        };
        let mut parts = vec![part(0)];
        let mut size = 0;
        let mut room_for = |parts: &mut Vec<ConfigurationPart>, bytes: usize| {
            size += bytes;
            if size > MAX_PART_BYTES {
                size = bytes;
                parts.push(part(parts.len() as u32));
            }
        };
        for (address, _) in self.changed.iter().filter(gone) {
            room_for(&mut parts, address_size(address));
            parts.last_mut().expect("has one").removed.push(address.clone());
        }
        for queue in all.iter().filter(|(address, _)| base.is_none() || changed(address)) {
            room_for(&mut parts, queue_size(&queue.0, &queue.1));
            parts.last_mut().expect("has one").queues.push((*queue).clone());
        }
        parts.last_mut().expect("has one").end = Some(ConfigurationEnd {
            services: configuration.services.clone(),
            limits: configuration.limits,
            accounts: configuration.accounts.clone(),
            queue_count: all.len(),
        });
        parts
    }
}

/// The queues of a configuration, sorted by address.
fn by_address(configuration: &Configuration) -> Vec<&(QueueAddress, QueuePolicy)> {
    let mut queues: Vec<_> = configuration.queues.iter().collect();
    queues.sort_unstable_by(|a, b| a.0.cmp(&b.0));
    queues
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
}

impl IncomingConfiguration {
    /// Handles a part that a host with the configuration `current` has received.
    pub(crate) fn receive(&mut self, part: ConfigurationPart, current: &Configuration) -> Received {
        let ConfigurationPart { base, version, index, removed, queues, end } = part;
        let applies = version > current.version && base.is_none_or(|b| b == current.version);
        if index == 0 {
            *self = IncomingConfiguration { base, version, ..IncomingConfiguration::default() };
        }
        if !applies || (self.base, self.version, self.next) != (base, version, index) {
            return Received::Incomplete;
        }
        self.next += 1;
        self.removed.extend(removed);
        self.queues.extend(queues);
        let Some(end) = end else { return Received::Incomplete };
        let incoming = std::mem::take(self);
        let kept: &[_] = if base.is_some() { &current.queues } else { &[] };
        let ConfigurationEnd { services, limits, accounts, queue_count } = end;
        let queues = incoming.merge_into(kept);
        if queues.len() != queue_count {
            return Received::Mismatch;
        }
        let document = Vec::new();
        let complete = Configuration { version, queues, services, limits, accounts, document };
        Received::Complete(Box::new(complete))
    }

    fn merge_into(self, kept: &[(QueueAddress, QueuePolicy)]) -> Vec<(QueueAddress, QueuePolicy)> {
        let mut replaced: Vec<&QueueAddress> =
            self.queues.iter().map(|(address, _)| address).chain(&self.removed).collect();
        replaced.sort_unstable();
        let stays =
            |(address, _): &&(QueueAddress, QueuePolicy)| replaced.binary_search(&address).is_err();
        let mut queues: Vec<_> = kept.iter().filter(stays).cloned().collect();
        queues.extend(self.queues);
        queues
    }
}
