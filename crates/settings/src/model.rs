//! The settings of one entry host.

use crate::error::from_yaml;
use crate::Error;
use serde::{Deserialize, Serialize};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use types::quantity::{self, duration};
use types::{HostId, SortedMap, ZoneName};

/// The operators' token of the embedded defaults, which listen on loopback only.
pub const DEFAULT_OPERATOR_TOKEN: &str = "local-only";

/// Shortest lease of a worker: several heartbeats must fit.
const SHORTEST_LEASE: Duration = Duration::from_secs(2);
/// Largest body that may be configured.
const LARGEST_BODY: u64 = 64 << 20;
/// Shortest operators' token outside of loopback.
const SHORTEST_TOKEN: usize = 16;

/// Everything that one entry host is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This entry host's name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The folder for its state; a host without one keeps none and does not vote.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Where it listens.
    #[serde(default)]
    pub listen: Listen,
    /// What operators must send with each call.
    #[serde(default = "default_token")]
    pub operator_token: String,
    /// All entry hosts of the cell, this one among them.
    pub hosts: Vec<HostEntry>,
    /// Weights of placement: `waiting-first` or `packing-first`.
    #[serde(default = "default_policy")]
    pub policy: String,
    /// How long a worker may run tasks without hearing from the system.
    #[serde(default = "default_lease", with = "duration")]
    pub worker_lease: Duration,
    /// Silence after which an upstream is gone.
    #[serde(default = "default_silence", with = "duration")]
    pub upstream_silence: Duration,
    /// How a planned stop goes.
    #[serde(default)]
    pub drain: DrainSettings,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
    /// What callers can make this host spend.
    #[serde(default)]
    pub limits: Limits,
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For workers and upstreams.
    pub platform: SocketAddr,
    /// For operators, health checks and metrics.
    pub operators: SocketAddr,
    /// For other entry hosts.
    pub peers: SocketAddr,
}

impl Default for Listen {
    fn default() -> Listen {
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Listen { callers: at(7400), platform: at(7401), operators: at(7402), peers: at(7403) }
    }
}

/// One entry host of the cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Its name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where other entry hosts reach it.
    pub peers: SocketAddr,
    /// Whether it has a disk, and so may vote.
    #[serde(default = "yes")]
    pub disk: bool,
}

/// How a planned stop goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// How long the host goes on taking requests after it has told the balancer that it leaves.
    #[serde(with = "duration")]
    pub notice: Duration,
    /// How long it then waits for requests in flight.
    #[serde(with = "duration")]
    pub limit: Duration,
}

impl Default for DrainSettings {
    fn default() -> DrainSettings {
        DrainSettings { notice: Duration::from_secs(3), limit: Duration::from_secs(60) }
    }
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// For people.
    Text,
    /// For programs: one JSON object a line.
    Json,
}

/// What is logged, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level of everything not named below: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Level by module, such as `consensus: debug`.
    pub modules: std::collections::BTreeMap<String, String>,
    /// The form of the lines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings {
            level: "info".to_string(),
            modules: Default::default(),
            format: LogFormat::Text,
        }
    }
}

/// What others can make this host spend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a request or answer, such as `1MiB`.
    #[serde(with = "size")]
    pub body: u64,
    /// Connections of callers, and of workers and upstreams, each.
    pub connections: usize,
    /// Requests of one service and class that wait.
    pub waiting: usize,
    /// Longest that a caller may ask to wait.
    #[serde(with = "duration")]
    pub timeout: Duration,
    /// Time in which a request's head and body must arrive.
    #[serde(with = "duration")]
    pub read_timeout: Duration,
    /// Threads of the process's pool.
    pub threads: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body: 1 << 20,
            connections: 4_000,
            waiting: 2_000,
            timeout: Duration::from_secs(60),
            read_timeout: Duration::from_secs(10),
            threads: 2,
        }
    }
}

mod size {
    use super::quantity::{format_bytes, parse_bytes};
    use serde::{de, Deserialize, Deserializer, Serializer};

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

fn default_token() -> String {
    DEFAULT_OPERATOR_TOKEN.to_string()
}

fn default_policy() -> String {
    "waiting-first".to_string()
}

fn default_lease() -> Duration {
    Duration::from_secs(10)
}

fn default_silence() -> Duration {
    Duration::from_secs(6)
}

fn yes() -> bool {
    true
}

impl Settings {
    /// A cell of one host on loopback, with its data below the working directory.
    ///
    /// ```
    /// assert!(settings::Settings::embedded().check().is_ok());
    /// ```
    pub fn embedded() -> Settings {
        let listen = Listen::default();
        Settings {
            host: "local-1".to_string(),
            zone: "local".to_string(),
            data: Some(PathBuf::from("data")),
            hosts: vec![HostEntry {
                host: "local-1".to_string(),
                zone: "local".to_string(),
                peers: listen.peers,
                disk: true,
            }],
            listen,
            operator_token: default_token(),
            policy: default_policy(),
            worker_lease: default_lease(),
            upstream_silence: default_silence(),
            drain: DrainSettings::default(),
            log: LogSettings::default(),
            limits: Limits::default(),
        }
    }

    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Settings, Error> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|e| Error::Read(file.clone(), e))?;
        Settings::parse(&file, &text)
    }

    /// Parses and checks; `file` is for errors.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Error> {
        let settings: Settings = from_yaml(file, text)?;
        settings.check().map_err(|cause| Error::field(file, text, cause))?;
        Ok(settings)
    }

    /// The settings in force, defaults and all, as YAML. The token is left out.
    pub fn to_yaml(&self) -> String {
        let shown = Settings { operator_token: "(not shown)".to_string(), ..self.clone() };
        serde_yaml_ng::to_string(&shown).expect("settings are plain data")
    }

    /// The entry host that these settings are for.
    pub fn own_entry(&self) -> Option<&HostEntry> {
        self.hosts.iter().find(|h| h.host == self.host)
    }

    /// Checks what YAML can't; the error starts with the path of the field.
    pub fn check(&self) -> Result<(), String> {
        self.check_hosts()?;
        self.check_token()?;
        if !matches!(self.policy.as_str(), "waiting-first" | "packing-first") {
            return Err(format!(
                "policy: `{}` is neither waiting-first nor packing-first",
                self.policy
            ));
        }
        at_least("worker_lease", self.worker_lease, SHORTEST_LEASE)?;
        at_least("upstream_silence", self.upstream_silence, Duration::from_secs(1))?;
        at_least("limits.timeout", self.limits.timeout, Duration::from_millis(1))?;
        at_least("limits.read_timeout", self.limits.read_timeout, Duration::from_millis(1))?;
        if self.limits.body == 0 || self.limits.body > LARGEST_BODY {
            return Err(format!("limits.body: must be between 1B and {LARGEST_BODY}B"));
        }
        if self.limits.connections == 0 {
            return Err("limits.connections: must be at least 1".to_string());
        }
        if !(1..=64).contains(&self.limits.threads) {
            return Err("limits.threads: must be between 1 and 64".to_string());
        }
        self.check_log()
    }

    fn check_hosts(&self) -> Result<(), String> {
        let mut seen = SortedMap::default();
        for (i, entry) in self.hosts.iter().enumerate() {
            if entry.host.is_empty() || entry.zone.is_empty() {
                return Err(format!("hosts[{i}].host: name and zone must not be empty"));
            }
            if entry.zone.contains([':', '/']) {
                return Err(format!("hosts[{i}].zone: `{}` must not have `:` or `/`", entry.zone));
            }
            if seen.insert(entry.host.clone(), ()).is_some() {
                return Err(format!("hosts[{i}].host: `{}` is listed twice", entry.host));
            }
        }
        let Some(me) = self.own_entry() else {
            return Err(format!("host: `{}` is not among hosts", self.host));
        };
        if me.zone != self.zone {
            return Err(format!(
                "zone: `{}` is listed in {}, not in {}",
                self.host, me.zone, self.zone
            ));
        }
        if me.disk && self.data.is_none() {
            return Err("data: a host with a disk needs a folder for it".to_string());
        }
        if !self.hosts.iter().any(|h| h.disk && h.zone == self.zone) {
            return Err(format!("hosts: no host of zone {} has a disk", self.zone));
        }
        Ok(())
    }

    fn check_token(&self) -> Result<(), String> {
        let open = !self.listen.operators.ip().is_loopback();
        if open && self.operator_token.len() < SHORTEST_TOKEN {
            return Err(format!(
                "operator_token: needs at least {SHORTEST_TOKEN} characters where operators can \
                 reach {} from other machines",
                self.listen.operators
            ));
        }
        Ok(())
    }

    fn check_log(&self) -> Result<(), String> {
        const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
        let modules = self.log.modules.iter().map(|(m, level)| (format!("log.modules.{m}"), level));
        for (field, level) in
            std::iter::once(("log.level".to_string(), &self.log.level)).chain(modules)
        {
            if !LEVELS.contains(&level.as_str()) {
                return Err(format!("{field}: `{level}` is not one of {}", LEVELS.join(", ")));
            }
        }
        Ok(())
    }
}

fn at_least(field: &str, value: Duration, least: Duration) -> Result<(), String> {
    if value < least {
        return Err(format!("{field}: {value:?} is shorter than {least:?}"));
    }
    Ok(())
}
