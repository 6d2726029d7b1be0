//! Limits on what remote parties can take from a host.

use crate::model::check_min;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::quantity::duration;

/// Upper bound of `limits.body`, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Bounds of `limits.head`, in bytes.
const MIN_HEAD_BYTES: u64 = 1 << 10;
const MAX_HEAD_BYTES: u64 = 1 << 20;
/// Lower bound of `limits.memory`, in bytes.
const MIN_REQUEST_MEMORY: u64 = 1 << 20;

/// Limits on the resources that remote parties can use on this host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a request or answer in bytes, written with a unit, such as `1MiB`.
    #[serde(with = "size")]
    pub body: u64,
    /// Largest head of a request in bytes, written with a unit, such as `16KiB`.
    #[serde(with = "size")]
    pub head: u64,
    /// Memory for requests and answers in bytes, written with a unit, such as `32MiB`. At least two
    /// bodies of the largest size may be held in any case.
    #[serde(with = "size")]
    pub memory: u64,
    /// Largest number of connections from callers, and as many again each from workers and
    /// upstreams, and from operators. A quarter of the process's descriptors at most.
    pub connections: usize,
    /// Largest number of waiting requests per service and class.
    pub waiting: usize,
    /// Longest timeout that a caller may ask for.
    #[serde(with = "duration")]
    pub timeout: Duration,
    /// Time within which a request's head must arrive, then more of its body, and within which more
    /// of its answer must be taken.
    #[serde(with = "duration")]
    pub read_timeout: Duration,
    /// Time for which a connection may wait for its next request.
    #[serde(with = "duration")]
    pub idle_timeout: Duration,
    /// Number of threads in the process's thread pool.
    pub threads: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body: 1 << 20,
            head: 16 << 10,
            memory: 32 << 20,
            connections: 4_000,
            waiting: 2_000,
            timeout: Duration::from_secs(60),
            read_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            threads: 2,
        }
    }
}

impl Limits {
    /// Validates the values. The error starts with the path of the field.
    pub(crate) fn check(&self) -> Result<(), String> {
        check_min("limits.timeout", self.timeout, Duration::from_millis(1))?;
        check_min("limits.read_timeout", self.read_timeout, Duration::from_millis(1))?;
        if self.body == 0 || self.body > MAX_BODY_BYTES {
            return Err(format!("limits.body: must be between 1B and {MAX_BODY_BYTES}B"));
        }
        if !(MIN_HEAD_BYTES..=MAX_HEAD_BYTES).contains(&self.head) {
            return Err(format!(
                "limits.head: must be between {MIN_HEAD_BYTES}B and {MAX_HEAD_BYTES}B"
            ));
        }
        if self.memory < MIN_REQUEST_MEMORY {
            return Err(format!("limits.memory: must be at least {MIN_REQUEST_MEMORY}B"));
        }
        check_min("limits.idle_timeout", self.idle_timeout, Duration::from_secs(1))?;
        if self.connections == 0 {
            return Err("limits.connections: must be at least 1".to_string());
        }
        if !(1..=64).contains(&self.threads) {
            return Err("limits.threads: must be between 1 and 64".to_string());
        }
        Ok(())
    }

    /// Memory that requests and answers may hold, in bytes.
    ///
    /// ```
    /// let limits = settings::Limits { body: 64 << 20, ..Default::default() };
    /// assert_eq!(limits.request_memory(), 128 << 20);
    /// ```
    pub fn request_memory(&self) -> u64 {
        self.memory.max(2 * self.body)
    }
}

/// Serde functions for a size in bytes, written with a unit.
mod size {
    use serde::{de, Deserialize, Deserializer, Serializer};
    use types::quantity::{format_bytes, parse_bytes};

    pub(super) fn serialize<S>(value: &u64, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&format_bytes(*value))
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<u64, D::Error>
    where
        D: Deserializer<'de>,
    {
        parse_bytes(&String::deserialize(deserializer)?).map_err(de::Error::custom)
    }
}
