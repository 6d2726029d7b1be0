//! Review of a configuration before it is sent: what is valid but can hardly be meant.

use crate::configuration::{AdvicePolicy, Configuration, QueueAddress, QueuePolicy, ServicePolicy};
use accounts::Account;
use serde::Serialize;
use std::time::Duration;

/// Workers that a call for advice names at least, by which its duration is estimated.
const MIN_ADVISED_WORKERS: usize = 1;
/// Largest job text, in bytes, that a limit on request bodies should leave room for.
const JOB_TEXT_BYTES: u64 = 4_000;

/// What a [`Finding`] is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FindingKind {
    /// An entry that no request, job or caller can ever reach.
    NeverMatches,
    /// Limits that contradict each other.
    Contradiction,
}

/// Something in a configuration that can hardly be meant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// What the finding is about.
    pub kind: FindingKind,
    /// The entry, such as `queue nightly` or `account river-board`.
    pub subject: String,
    /// Why the entry is a finding.
    pub cause: String,
}

/// Reviews a valid configuration. The findings are in the order of the entries.
///
/// ```
/// use jobs::{review, Configuration, QueueAddress, QueuePolicy, ServicePolicy};
/// use std::time::Duration;
///
/// let address = QueueAddress { host: "q.example".into(), prefix: "/q/".into() };
/// let policy = QueuePolicy {
///     name: "q".into(),
///     service: "crunch".into(),
///     request_timeout: Duration::from_secs(3),
///     stretch: 1.5,
///     ..QueuePolicy::default()
/// };
/// let service = ServicePolicy { name: "crunch".into(), ..ServicePolicy::default() };
/// let queues = vec![(address, policy)];
/// let cfg = Configuration { queues, services: vec![service], ..Configuration::default() };
/// assert_eq!(review(&cfg)[0].cause, "attempts: 0 counts as 1");
/// ```
pub fn review(configuration: &Configuration) -> Vec<Finding> {
    let Configuration { queues, services, accounts, limits, .. } = configuration;
    let mut findings = Vec::new();
    for (i, (address, policy)) in queues.iter().enumerate() {
        let mut add = |kind, cause: String| {
            let subject = format!("queue {}", policy.name);
            findings.push(Finding { kind, subject, cause });
        };
        if let Some(cause) = unreachable_queue(address, &queues[..i]) {
            add(FindingKind::NeverMatches, cause);
        }
        let spare = services.iter().find(|s| s.name == policy.service && s.spare);
        if let Some(ServicePolicy { name, .. }) = spare {
            let cause = format!("service {name}: its workers are switched off, so no task starts");
            add(FindingKind::NeverMatches, cause);
        }
        contradictions(policy).for_each(|cause| add(FindingKind::Contradiction, cause));
    }
    for service in services {
        if !queues.iter().any(|(_, policy)| policy.service == service.name) {
            findings.push(Finding {
                kind: FindingKind::NeverMatches,
                subject: format!("service {}", service.name),
                cause: "no queue names it".to_string(),
            });
        }
    }
    let all_open = queues.iter().all(|(_, policy)| policy.open);
    for account in accounts.iter() {
        findings.extend(account_findings(account, all_open));
    }
    if limits.body < JOB_TEXT_BYTES {
        findings.push(Finding {
            kind: FindingKind::Contradiction,
            subject: "limits".to_string(),
            cause: format!("body: {} bytes are less than a job's text may have", limits.body),
        });
    }
    findings
}

/// Why no request can belong to the queue, given the queues before it.
fn unreachable_queue(
    address: &QueueAddress,
    before: &[(QueueAddress, QueuePolicy)],
) -> Option<String> {
    if address.host.is_empty() {
        return Some("host: is empty, and every request names one".to_string());
    }
    if address.host.contains(':') {
        return Some("host: has a port, which is left out of a request's host".to_string());
    }
    if !address.prefix.starts_with('/') {
        return Some("prefix: must begin with `/`, as every path does".to_string());
    }
    let same = |(other, _): &&(QueueAddress, QueuePolicy)| {
        other.host.eq_ignore_ascii_case(&address.host) && other.prefix == address.prefix
    };
    let (_, first) = before.iter().find(same)?;
    Some(format!("host: is that of queue {} but for upper and lower case", first.name))
}

/// Limits of a queue that contradict each other.
fn contradictions(policy: &QueuePolicy) -> impl Iterator<Item = String> {
    let mut causes = Vec::new();
    if policy.attempts == 0 {
        causes.push("attempts: 0 counts as 1".to_string());
    }
    if !policy.stretch.is_finite() || policy.stretch < 1.0 {
        causes
            .push("stretch: below 1 leaves less time than the work takes, and counts as 1".into());
    }
    if let Some(advice) = &policy.advice {
        causes.extend(advice_contradictions(advice, policy.slack));
    }
    causes.into_iter()
}

fn advice_contradictions(advice: &AdvicePolicy, slack: Duration) -> Vec<String> {
    let mut causes = Vec::new();
    let shortest = advice.duration(MIN_ADVISED_WORKERS);
    if advice.ticket_life.is_zero() {
        causes.push("advice: a ticket that is never valid lets no task start".to_string());
    }
    if shortest > slack {
        causes.push(format!(
            "advice: a call takes {} ms, more than the {} ms that the objective leaves beside work",
            shortest.as_millis(),
            slack.as_millis()
        ));
    }
    causes
}

fn account_findings(account: &Account, all_open: bool) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut add = |kind, cause: &str| {
        let subject = format!("account {}", account.name);
        findings.push(Finding { kind, subject, cause: cause.to_string() });
    };
    if account.keys.is_empty() && !all_open {
        add(FindingKind::NeverMatches, "keys: without one no caller is known as this account");
    }
    if account.weight == 0.0 {
        add(
            FindingKind::Contradiction,
            "weight: 0 leaves the account nothing when the cell is full",
        );
    }
    findings
}
