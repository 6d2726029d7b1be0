//! Differences between two configurations, by entry and field.

use crate::configuration::{Configuration, QueueAddress, QueuePolicy, ServicePolicy};
use accounts::Account;
use serde::Serialize;
use std::fmt::Debug;

/// How an entry of a configuration differs from the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The entry, such as `queue nightly` or `account river-board`.
    pub subject: String,
    /// The change: `added`, `removed`, or the field with its value before and after.
    pub change: String,
}

/// Compares two configurations: queues by address, services and accounts by name. Keys are shown as
/// short digests.
///
/// ```
/// use jobs::{difference, Configuration, ServicePolicy};
/// let service = |spare| ServicePolicy { name: "crunch".into(), spare, ..ServicePolicy::default() };
/// let cfg = |spare| Configuration { services: vec![service(spare)], ..Configuration::default() };
/// let found = difference(&cfg(false), &cfg(true));
/// assert_eq!(found[0].subject, "service crunch");
/// assert_eq!(found[0].change, "spare: false -> true");
/// ```
pub fn difference(before: &Configuration, after: &Configuration) -> Vec<Difference> {
    let mut found = Vec::new();
    let service = |service: &ServicePolicy| service.name.clone();
    compare("service", &before.services, &after.services, service, service_changes, &mut found);
    let address = |(address, _): &(QueueAddress, QueuePolicy)| address.clone();
    let before_queues = &before.queues;
    let after_queues = &after.queues;
    for (key, old, new) in pairs(before_queues, after_queues, address) {
        let name = new.or(old).map_or("", |(_, policy)| policy.name.as_str());
        let subject = format!("queue {name} at {}{}", key.host, key.prefix);
        let changes = |(_, a): &(QueueAddress, QueuePolicy),
                       (_, b): &(QueueAddress, QueuePolicy)| {
            queue_changes(a, b)
        };
        record(subject, old, new, changes, &mut found);
    }
    let accounts = |cfg: &Configuration| cfg.accounts.iter().cloned().collect::<Vec<Account>>();
    let account = |account: &Account| account.name.clone();
    let (old, new) = (accounts(before), accounts(after));
    compare("account", &old, &new, account, account_changes, &mut found);
    if before.limits != after.limits {
        let change = format!("{:?} -> {:?}", before.limits, after.limits);
        found.push(Difference { subject: "limits".to_string(), change });
    }
    found
}

/// Entries with the same key, or with none on one side, in the order of the keys.
fn pairs<'a, T, K, F>(
    before: &'a [T],
    after: &'a [T],
    key: F,
) -> Vec<(K, Option<&'a T>, Option<&'a T>)>
where
    K: Ord + Clone,
    F: Fn(&T) -> K,
{
    let mut keys: Vec<K> = before.iter().chain(after).map(&key).collect();
    keys.sort_unstable();
    keys.dedup();
    let find = |entries: &'a [T], wanted: &K| entries.iter().find(|entry| key(entry) == *wanted);
    keys.into_iter()
        .map(|wanted| {
            let (old, new) = (find(before, &wanted), find(after, &wanted));
            (wanted, old, new)
        })
        .collect()
}

fn compare<T, F, C>(
    what: &str,
    before: &[T],
    after: &[T],
    key: F,
    changes: C,
    found: &mut Vec<Difference>,
) where
    F: Fn(&T) -> String,
    C: Fn(&T, &T) -> Vec<String>,
{
    for (name, old, new) in pairs(before, after, key) {
        record(format!("{what} {name}"), old, new, &changes, found);
    }
}

fn record<T, C>(
    subject: String,
    old: Option<&T>,
    new: Option<&T>,
    changes: C,
    found: &mut Vec<Difference>,
) where
    C: Fn(&T, &T) -> Vec<String>,
{
    let changes = match (old, new) {
        (Some(old), Some(new)) => changes(old, new),
        (None, _) => vec!["added".to_string()],
        (_, None) => vec!["removed".to_string()],
    };
    let difference = |change| Difference { subject: subject.clone(), change };
    found.extend(changes.into_iter().map(difference));
}

/// The change of one field, if it has changed.
fn field<T>(name: &str, before: &T, after: &T) -> Option<String>
where
    T: PartialEq + Debug,
{
    (before != after).then(|| format!("{name}: {before:?} -> {after:?}"))
}

fn service_changes(a: &ServicePolicy, b: &ServicePolicy) -> Vec<String> {
    let fields = [
        field("rejects overload", &a.rejects_overload, &b.rejects_overload),
        field("spare", &a.spare, &b.spare),
    ];
    fields.into_iter().flatten().collect()
}

fn queue_changes(a: &QueuePolicy, b: &QueuePolicy) -> Vec<String> {
    let fields = [
        field("name", &a.name, &b.name),
        field("service", &a.service, &b.service),
        field("priority", &a.priority, &b.priority),
        field("attempts", &a.attempts, &b.attempts),
        field("stretch", &a.stretch, &b.stretch),
        field("slack", &a.slack, &b.slack),
        field("timeout", &a.request_timeout, &b.request_timeout),
        field("advice", &a.advice, &b.advice),
        field("open", &a.open, &b.open),
    ];
    fields.into_iter().flatten().collect()
}

fn account_changes(a: &Account, b: &Account) -> Vec<String> {
    let fields = [
        field("priority", &a.priority, &b.priority),
        field("weight", &a.weight, &b.weight),
        field("quota", &a.quota, &b.quota),
    ];
    let removed = a.keys.iter().filter(|key| !b.keys.contains(key));
    let added = b.keys.iter().filter(|key| !a.keys.contains(key));
    let removed = removed.map(|key| format!("key {key} removed"));
    let added = added.map(|key| format!("key {key} added"));
    fields.into_iter().flatten().chain(removed).chain(added).collect()
}
