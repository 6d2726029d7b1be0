//! Queues and services as operators configure them.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{ServiceName, Version};

/// Where callers find a queue: the host they name and the start of the path.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueueAddress {
    /// Host that the caller names.
    pub host: String,
    /// Start of the path; the longest that fits decides.
    pub prefix: String,
}

/// How the advice service of a queue behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Time for a call.
    pub per_call: Duration,
    /// Time for each worker that a call names.
    pub per_worker: Duration,
    /// How long a ticket lasts.
    pub ticket_life: Duration,
}

impl AdvicePolicy {
    /// How long a call about so many workers takes.
    ///
    /// ```
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let policy = jobs::AdvicePolicy { per_call: ms(10), per_worker: ms(2), ticket_life: ms(900) };
    /// assert_eq!(policy.duration(5), ms(20));
    /// ```
    pub fn duration(&self, workers: usize) -> Duration {
        self.per_call + self.per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
    }
}

/// How the jobs of a queue are treated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Name given by the operator.
    pub name: String,
    /// Service whose workers run the jobs.
    pub service: ServiceName,
    /// 0 comes first and may preempt others.
    pub priority: u32,
    /// Failed runs after which a task, and with it its job, has failed; 0 for one.
    pub attempts: u32,
    /// The objective is this many times the longest chain of work, and `slack` more.
    pub stretch: f64,
    /// Added to the stretched chain.
    pub slack: Duration,
    /// Longest time that a caller's request may take.
    pub request_timeout: Duration,
    /// Set where only an advice service knows which workers may run a step.
    pub advice: Option<AdvicePolicy>,
}

impl QueuePolicy {
    /// How long a job may take from its submission to meet its objective.
    pub fn objective(&self, chain: Duration) -> Duration {
        chain.mul_f64(self.stretch.clamp(1.0, 1_000.0)) + self.slack
    }
}

/// How the workers of a service behave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Its name.
    pub name: ServiceName,
    /// Its workers refuse what does not fit.
    pub rejects_overload: bool,
    /// Its machines are off and not paid for.
    pub spare: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Largest body, in bytes.
    pub body: u64,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
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

/// The whole configuration, of which the one with the highest version is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version; 0 before the first.
    pub version: Version,
    /// Queues by address.
    pub queues: Vec<(QueueAddress, QueuePolicy)>,
    /// Services.
    pub services: Vec<ServicePolicy>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
    /// The document as the operator sent it, to be read back.
    pub document: Vec<u8>,
}

impl Configuration {
    /// Checks what can't be in force. The error names field and cause.
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

    /// The queue that a request belongs to: the longest prefix on its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&(QueueAddress, QueuePolicy)> {
        let fits = |(a, _): &&(QueueAddress, QueuePolicy)| {
            a.host.eq_ignore_ascii_case(host) && path.starts_with(&a.prefix)
        };
        self.queues.iter().filter(fits).max_by_key(|(address, _)| address.prefix.len())
    }
}
