//! Settings of one entry host, their defaults and their validation.

use crate::error::from_yaml;
use crate::limits::Limits;
use crate::Error;
use serde::{Deserialize, Serialize};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use types::quantity::duration;
use types::{HostId, SortedMap, ZoneName};

/// Default operator token. Settings with a token this short are valid only if operators connect
/// over loopback.
pub const DEFAULT_OPERATOR_TOKEN: &str = "local-only";

/// Shortest worker lease; a worker must send several heartbeats within one lease.
const MIN_WORKER_LEASE: Duration = Duration::from_secs(2);
/// Shortest operator token, in characters, if operators can connect from other machines.
const MIN_TOKEN_LENGTH: usize = 16;

/// Settings file of one entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this entry host.
    pub host: HostId,
    /// Availability zone of this entry host.
    pub zone: ZoneName,
    /// Directory for persistent state. A host without one stores nothing and is not a voter.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Addresses that this host listens on.
    #[serde(default)]
    pub listen: Listen,
    /// Token that operators must send with each call.
    #[serde(default = "default_token")]
    pub operator_token: String,
    /// All entry hosts of the cell, including this one.
    pub hosts: Vec<HostEntry>,
    /// Weights of the placement score: `waiting-first` or `packing-first`.
    #[serde(default = "default_policy")]
    pub policy: String,
    /// How long a worker may run tasks after its last contact with the system.
    #[serde(default = "default_lease", with = "duration")]
    pub worker_lease: Duration,
    /// Time without a renewed announcement after which an upstream counts as gone.
    #[serde(default = "default_silence", with = "duration")]
    pub upstream_silence: Duration,
    /// Timing of a planned stop.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Level and format of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits on the resources that remote parties can use on this host.
    #[serde(default)]
    pub limits: Limits,
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for workers and upstreams.
    pub platform: SocketAddr,
    /// Address for operators, health checks and metrics.
    pub operators: SocketAddr,
    /// Address for other entry hosts.
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
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Address at which other entry hosts connect to the host.
    pub peers: SocketAddr,
    /// Whether the host has a disk, which a voter needs; true if absent.
    #[serde(default = "default_disk")]
    pub disk: bool,
}

/// Timing of a planned stop.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// How long the host still accepts requests after it has reported not ready to the load
    /// balancer.
    #[serde(with = "duration")]
    pub notice: Duration,
    /// How long the host then waits for requests in flight.
    #[serde(with = "duration")]
    pub limit: Duration,
}

impl Default for DrainSettings {
    fn default() -> DrainSettings {
        DrainSettings { notice: Duration::from_secs(3), limit: Duration::from_secs(60) }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Level and format of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level of modules that `modules` does not list: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Level by module, such as `consensus: debug`.
    pub modules: std::collections::BTreeMap<String, String>,
    /// Format of log lines.
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

fn default_disk() -> bool {
    true
}

impl Settings {
    /// Default settings, used without a file: a cell of one host on loopback, with its data in
    /// `data` in the working directory.
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

    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Settings, Error> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|e| Error::Read(file.clone(), e))?;
        Settings::parse(&file, &text)
    }

    /// Parses and validates the text of a settings file. `file` is the name used in errors.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Error> {
        let settings: Settings = from_yaml(file, text)?;
        settings.check().map_err(|cause| Error::field(file, text, cause))?;
        Ok(settings)
    }

    /// Formats the settings, including defaults, as YAML. The operator token is redacted.
    pub fn to_yaml(&self) -> String {
        let redacted = Settings { operator_token: "(not shown)".to_string(), ..self.clone() };
        serde_yaml_ng::to_string(&redacted).expect("settings are plain data")
    }

    /// Returns this host's entry in `hosts`; `None` if it is not listed.
    pub fn own_entry(&self) -> Option<&HostEntry> {
        self.hosts.iter().find(|h| h.host == self.host)
    }

    /// Validates values and their relations, which parsing does not cover. The error starts with
    /// the path of the field.
    pub fn check(&self) -> Result<(), String> {
        self.check_hosts()?;
        self.check_token()?;
        if !matches!(self.policy.as_str(), "waiting-first" | "packing-first") {
            return Err(format!(
                "policy: `{}` is neither waiting-first nor packing-first",
                self.policy
            ));
        }
        check_min("worker_lease", self.worker_lease, MIN_WORKER_LEASE)?;
        check_min("upstream_silence", self.upstream_silence, Duration::from_secs(1))?;
        self.limits.check()?;
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
        let Some(own) = self.own_entry() else {
            return Err(format!("host: `{}` is not among hosts", self.host));
        };
        if own.zone != self.zone {
            return Err(format!(
                "zone: `{}` is listed in {}, not in {}",
                self.host, own.zone, self.zone
            ));
        }
        if own.disk && self.data.is_none() {
            return Err("data: a host with a disk needs a directory for it".to_string());
        }
        if !self.hosts.iter().any(|h| h.disk && h.zone == self.zone) {
            return Err(format!("hosts: no host of zone {} has a disk", self.zone));
        }
        Ok(())
    }

    fn check_token(&self) -> Result<(), String> {
        let exposed = !self.listen.operators.ip().is_loopback();
        if exposed && self.operator_token.len() < MIN_TOKEN_LENGTH {
            return Err(format!(
                "operator_token: needs at least {MIN_TOKEN_LENGTH} characters where operators can \
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

/// Checks that a time is not shorter than `min`. The error starts with the field.
pub(crate) fn check_min(field: &str, value: Duration, min: Duration) -> Result<(), String> {
    if value < min {
        return Err(format!("{field}: {value:?} is shorter than {min:?}"));
    }
    Ok(())
}
