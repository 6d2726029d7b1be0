//! Operator-supplied configuration of queues and services.

use accounts::{Account, Accounts, KeyDigest};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;
use types::{ServiceName, Version};

/// Address of a queue: the host name and path prefix of requests that belong to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueueAddress {
    /// Host name in the request.
    pub host: String,
    /// Path prefix; the longest matching prefix wins.
    pub prefix: String,
}

/// Latency and ticket lifetime of a queue's advice service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Fixed duration of a call.
    pub per_call: Duration,
    /// Additional duration of a call for each worker that it names.
    pub per_worker: Duration,
    /// Lifetime of a ticket.
    pub ticket_life: Duration,
}

impl AdvicePolicy {
    /// Expected duration of a call that names `workers` workers.
    ///
    /// ```
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let (per_call, per_worker, ticket_life) = (ms(10), ms(2), ms(900));
    /// let policy = jobs::AdvicePolicy { per_call, per_worker, ticket_life };
    /// assert_eq!(policy.duration(5), ms(20));
    /// ```
    pub fn duration(&self, workers: usize) -> Duration {
        self.per_call + self.per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
    }
}

/// Scheduling policy of a queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Name given by the operator.
    pub name: String,
    /// Service whose workers run the jobs.
    pub service: ServiceName,
    /// Priority of the queue; 0 is the highest and may preempt others.
    pub priority: u32,
    /// Number of failed runs after which a task, and with it the job, fails; 0 counts as 1.
    pub attempts: u32,
    /// Factor applied to the critical path to get the objective; limited to the range 1 to 1000.
    pub stretch: f64,
    /// Added to the stretched critical path to get the objective.
    pub slack: Duration,
    /// Timeout of a caller's request.
    pub request_timeout: Duration,
    /// Timing of the advice service that decides which workers may run a step; `None` if the queue
    /// uses none.
    pub advice: Option<AdvicePolicy>,
    /// Whether callers need no key, though there are accounts.
    pub open: bool,
}

impl QueuePolicy {
    /// Time from submission within which a job with this critical path meets its objective.
    pub fn objective(&self, critical_path: Duration) -> Duration {
        critical_path.mul_f64(self.stretch.clamp(1.0, 1_000.0)) + self.slack
    }
}

/// Behaviour of the workers of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the workers refuse work that exceeds their capacity.
    pub rejects_overload: bool,
    /// Whether the service's machines are spare: switched off and not paid for.
    pub spare: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request body, in bytes.
    pub body: u64,
    /// Maximum time to receive the request head.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            body: 256 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The complete configuration. The one with the highest version is current.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number; 0 before the first configuration.
    pub version: Version,
    /// All queues with their addresses.
    pub queues: Vec<(QueueAddress, QueuePolicy)>,
    /// Policies of the services; the service of every queue must be among them.
    pub services: Vec<ServicePolicy>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
    /// Client accounts. If there are none, no caller needs a key.
    pub accounts: Accounts,
    /// The original document, as submitted by the operator. It holds the keys of the accounts.
    pub document: Vec<u8>,
}

/// Leaves out the document, so that no key gets into a log.
impl fmt::Debug for Configuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Configuration")
            .field("version", &self.version)
            .field("queues", &self.queues)
            .field("services", &self.services)
            .field("limits", &self.limits)
            .field("accounts", &self.accounts)
            .finish_non_exhaustive()
    }
}

/// A caller's key that no account holds, or a missing one where one is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

impl Configuration {
    /// Validates the configuration. The error names the queue and the cause.
    pub fn check(&self) -> Result<(), String> {
        let mut addresses: Vec<&QueueAddress> = self.queues.iter().map(|(a, _)| a).collect();
        addresses.sort_unstable();
        if let Some(pair) = addresses.windows(2).find(|pair| pair[0] == pair[1]) {
            let QueueAddress { host, prefix } = pair[0];
            return Err(format!("queue at {host}{prefix}: is there twice"));
        }
        for (_, policy) in &self.queues {
            if policy.request_timeout.is_zero() {
                return Err(format!("queue {}: its timeout must not be 0", policy.name));
            }
            if !self.services.iter().any(|service| service.name == policy.service) {
                let QueuePolicy { name, service, .. } = policy;
                return Err(format!("queue {name}: service {service} is not configured"));
            }
        }
        Ok(())
    }

    /// The account of a caller with this key. `None` for a caller without an account, where none is
    /// needed.
    pub fn caller(
        &self,
        queue: &QueuePolicy,
        key: Option<&KeyDigest>,
    ) -> Result<Option<&Account>, UnknownKey> {
        let account = key.and_then(|key| self.accounts.holder(key));
        let needs_key = !self.accounts.is_empty() && !queue.open;
        if account.is_none() && needs_key {
            return Err(UnknownKey);
        }
        Ok(account)
    }

    /// The queue that a request belongs to: the one with the longest matching prefix on the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&(QueueAddress, QueuePolicy)> {
        let fits = |(a, _): &&(QueueAddress, QueuePolicy)| {
            a.host.eq_ignore_ascii_case(host) && path.starts_with(&a.prefix)
        };
        self.queues.iter().filter(fits).max_by_key(|(address, _)| address.prefix.len())
    }
}
