//! Callers with keys, and an oracle on what keys may do.

use super::{configuration, ms, queue, JobRecord, World};
use accounts::{AccountBuilder, Accounts, Admittance, Freshness, KeyDigest};
use jobs::{JobRequest, ResourceVector, StepSpec};
use scheduler::{Answer, Call};
use std::collections::BTreeMap;
use std::time::Duration;
use types::{JobId, Refusal, RefusalKind, Version};

/// A revoked key works no longer than this after the acknowledgement.
pub(crate) const REVOCATION_BOUND: u64 = 5_000;
/// A key that was added is not rejected later than this after the acknowledgement.
pub(crate) const CONFIGURATION_BOUND: u64 = 2_500;

struct Sent {
    keys: Vec<&'static str>,
    sent_at: u64,
    acknowledged_at: Option<u64>,
}

/// What callers and the operator know of keys.
#[derive(Default)]
pub(crate) struct Callers {
    /// As in the settings of all hosts.
    pub(crate) bound: Option<Duration>,
    /// Configurations sent, by version.
    sent: BTreeMap<Version, Sent>,
    /// Keyed calls that succeeded.
    pub(crate) served: u64,
    /// Keyed calls that were rejected because of their keys.
    pub(crate) rejected: u64,
}

impl Callers {
    /// The time at which a configuration was acknowledged that settles that the key is held, or is not,
    /// because no later one that was sent by `until` says otherwise.
    fn settled_at(&self, key: &KeyDigest, held: bool, until: u64) -> Option<u64> {
        let holds = |sent: &Sent| sent.keys.iter().any(|k| KeyDigest::of(k) == *key);
        let sent = self.sent.values().rev().filter(|sent| sent.sent_at <= until);
        let agreeing = sent.take_while(|sent| holds(sent) == held);
        agreeing.filter_map(|sent| sent.acknowledged_at).min()
    }
}

impl World {
    /// Sends a configuration with one account for each key, and one without a key.
    pub(crate) fn configure_keys(&mut self, version: Version, keys: &[&'static str]) {
        eprintln!("{} configure {version} keys {keys:?}", self.now);
        let account = |key: &&str| AccountBuilder::new(format!("of-{key}")).key(key).build();
        let mut next = configuration(version);
        let keyless = AccountBuilder::new("keyless").build();
        let accounts = keys.iter().map(account).chain([keyless]);
        next.accounts = Accounts::new(accounts.collect()).unwrap();
        let sent = Sent { keys: keys.to_vec(), sent_at: self.now, acknowledged_at: None };
        self.callers.sent.insert(version, sent);
        let host = self.any_of_group();
        self.call(host, Call::Configure(Box::new(next)));
    }

    /// Submits a short job with a key at a host.
    pub(crate) fn submit_with(&mut self, host: usize, key: &str) -> JobId {
        let id = self.rng.u64(..);
        let need = ResourceVector { cpu: 500, memory: 100, gpu: 0 };
        let step = StepSpec { count: 1, need, estimate: ms(300), ..StepSpec::default() };
        let request = JobRequest { spec: "text".into(), steps: vec![step], schedule: None };
        self.requests.insert(id, request.clone());
        self.jobs.insert(id, JobRecord::default());
        let (queue, key) = (queue(false), Some(KeyDigest::of(key)));
        self.call(host, Call::Submit { id, queue, request: Box::new(request), key });
        id
    }

    /// Makes a read with a key at a host: of a job, or of the number of waiting jobs.
    pub(crate) fn read_with(&mut self, host: usize, job: Option<JobId>, key: &str) {
        let (queue, key) = (queue(false), Some(KeyDigest::of(key)));
        let call = match job {
            Some(id) => Call::JobPhase { id, queue, key },
            None => Call::CountWaiting { queue, key },
        };
        self.call(host, call);
    }

    /// What the entry of a host decides about a key, as of now.
    pub(crate) fn decide(&self, host: usize, key: &str) -> Option<Admittance> {
        let node = self.hosts[host].node.as_ref().filter(|_| self.is_running(host))?;
        // Without a configuration, an entry has no queues and answers that it is not ready.
        if node.configuration().version == 0 {
            return None;
        }
        let now = ms(self.now + self.hosts[host].clock_ahead);
        let freshness = Freshness {
            age: node.confirmed_at().map(|at| now.saturating_sub(at)),
            outdated: node.is_outdated(),
            revocation_bound: self.callers.bound,
        };
        let claim = node.configuration().accounts.claim(false, Some(&KeyDigest::of(key)));
        Some(Admittance::decide(claim, &freshness))
    }

    /// Checks what the entry of each host decides about a key now against what was acknowledged.
    pub(crate) fn check_entries(&mut self, key: &str) {
        let (now, digest) = (self.now, KeyDigest::of(key));
        for host in 0..super::HOSTS {
            let decision = self.decide(host, key);
            let held = match decision {
                Some(Admittance::Admitted) if self.callers.bound.is_some() => false,
                Some(Admittance::UnknownKey) => true,
                _ => continue,
            };
            let bound = if held { CONFIGURATION_BOUND } else { REVOCATION_BOUND };
            let settled = self.callers.settled_at(&digest, held, now);
            if settled.is_some_and(|at| at + bound < now) {
                let text =
                    format!("{now} ms: h{host} decides {decision:?}, settled at {settled:?}");
                self.violations.push(text);
            }
        }
    }

    /// Checks the answer to a call with a key that was made at `asked`.
    pub(super) fn check_key(&mut self, asked: u64, call: &Call, answer: &Result<Answer, Refusal>) {
        let now = self.now;
        if let (Call::Configure(sent), Ok(_)) = (call, answer) {
            if let Some(sent) = self.callers.sent.get_mut(&sent.version) {
                sent.acknowledged_at.get_or_insert(now);
            }
        }
        let key = match call {
            Call::Submit { key, .. } | Call::JobPhase { key, .. } => key,
            Call::Cancel { key, .. } | Call::CountWaiting { key, .. } => key,
            _ => return,
        };
        let Some(key) = key else { return };
        let (held, bound) = match answer {
            Ok(_) => (false, REVOCATION_BOUND),
            Err(refusal) if refusal.kind == RefusalKind::Forbidden => (true, CONFIGURATION_BOUND),
            Err(_) => return,
        };
        *(if held { &mut self.callers.rejected } else { &mut self.callers.served }) += 1;
        let settled = self.callers.settled_at(key, held, now);
        if settled.is_some_and(|at| at + bound < asked) {
            let outcome = if held { "rejected" } else { "served" };
            self.violations.push(format!(
                "{now} ms: {} asked at {asked} was {outcome}, settled at {settled:?}",
                call.name()
            ));
        }
    }
}
