//! A cell of entry hosts that run as separate `ebonywalkd` processes on loopback.

use crate::ports::free_addrs;
use client::{Client, ClientBuilder};
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Operator token that all hosts of a [`Cell`] accept.
const OPERATOR_TOKEN: &str = "standin-operators";

/// Addresses that one entry host listens on.
#[derive(Clone, Debug)]
struct Addrs {
    callers: SocketAddr,
    platform: SocketAddr,
    operators: SocketAddr,
    /// For other entry hosts.
    peers: SocketAddr,
}

/// Builds a [`Cell`].
#[derive(Clone, Debug)]
pub struct CellBuilder {
    program: PathBuf,
    dir: PathBuf,
    zones: Vec<(String, usize)>,
    worker_lease: Duration,
    log_level: String,
}

impl CellBuilder {
    /// Returns a builder for a cell without zones. `program` is the path of `ebonywalkd`;
    /// settings, logs and data directories are written to `dir`.
    pub fn new(program: &Path, dir: &Path) -> CellBuilder {
        CellBuilder {
            program: program.to_path_buf(),
            dir: dir.to_path_buf(),
            zones: Vec::new(),
            worker_lease: Duration::from_secs(4),
            log_level: "info".to_string(),
        }
    }

    /// Adds a zone with this number of entry hosts, which are named `ZONE-1`, `ZONE-2` and so on.
    pub fn zone(mut self, name: &str, hosts: usize) -> Self {
        self.zones.push((name.to_string(), hosts));
        self
    }

    /// Sets the lease of workers; 4 s by default.
    pub fn worker_lease(mut self, lease: Duration) -> Self {
        self.worker_lease = lease;
        self
    }

    /// Sets the log level of the processes; `info` by default.
    pub fn log_level(mut self, level: &str) -> Self {
        self.log_level = level.to_string();
        self
    }

    /// Writes a settings file for every host. No process is started.
    pub fn build(self) -> io::Result<Cell> {
        let mut hosts = Vec::new();
        for (zone, count) in &self.zones {
            for i in 1..=*count {
                let addrs = host_addrs()?;
                hosts.push(HostProcess {
                    name: format!("{zone}-{i}"),
                    zone: zone.clone(),
                    addrs,
                    program: self.program.clone(),
                    dir: self.dir.clone(),
                    child: None,
                });
            }
        }
        for host in &hosts {
            let text = self.settings(host, &hosts);
            fs::write(host.settings_path(), text)?;
        }
        Ok(Cell { hosts })
    }

    fn settings(&self, host: &HostProcess, all: &[HostProcess]) -> String {
        let entries: String = all
            .iter()
            .map(|h| {
                format!("  - {{host: {}, zone: {}, peers: {}}}\n", h.name, h.zone, h.addrs.peers)
            })
            .collect();
        format!(
            "host: {}\nzone: {}\ndata: {}\noperator_token: {OPERATOR_TOKEN}\nworker_lease: {:?}\n\
             listen:\n  callers: {}\n  platform: {}\n  operators: {}\n  peers: {}\n\
             drain: {{notice: 500ms, limit: 20s}}\nlog: {{level: {}}}\nhosts:\n{entries}",
            host.name,
            host.zone,
            host.data_dir().display(),
            self.worker_lease,
            host.addrs.callers,
            host.addrs.platform,
            host.addrs.operators,
            host.addrs.peers,
            self.log_level,
        )
    }
}

/// Picks the addresses of one host.
fn host_addrs() -> io::Result<Addrs> {
    let addrs = free_addrs(4)?;
    Ok(Addrs { callers: addrs[0], platform: addrs[1], operators: addrs[2], peers: addrs[3] })
}

/// A cell of entry host processes. Processes that still run are killed on drop.
#[derive(Debug)]
pub struct Cell {
    /// The hosts, zone by zone.
    pub hosts: Vec<HostProcess>,
}

impl Cell {
    /// Starts all hosts.
    pub fn start(&mut self) -> io::Result<()> {
        self.hosts.iter_mut().try_for_each(HostProcess::start)
    }

    /// Returns the host with this name.
    ///
    /// # Panics
    ///
    /// If the cell has no such host.
    pub fn host(&mut self, name: &str) -> &mut HostProcess {
        self.hosts.iter_mut().find(|h| h.name == name).expect("the cell has this host")
    }

    /// Platform addresses of the hosts in a zone; workers and upstreams register there.
    pub fn platform_addrs(&self, zone: &str) -> Vec<SocketAddr> {
        self.hosts.iter().filter(|h| h.zone == zone).map(|h| h.addrs.platform).collect()
    }
}

/// An entry host that runs as a process.
#[derive(Debug)]
pub struct HostProcess {
    /// Name of the host, `ZONE-N`.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    addrs: Addrs,
    program: PathBuf,
    dir: PathBuf,
    child: Option<Child>,
}

impl HostProcess {
    /// Path of the settings file.
    pub fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("{}.yaml", self.name))
    }

    /// Path of the data directory.
    pub fn data_dir(&self) -> PathBuf {
        self.dir.join(&self.name)
    }

    /// Path of the log file. A restarted process appends to it.
    pub fn log_path(&self) -> PathBuf {
        self.dir.join(format!("{}.log", self.name))
    }

    /// Returns a client for operators' calls, with the operator token.
    pub fn operator_client(&self) -> Client {
        ClientBuilder::new(self.addrs.operators.to_string()).token(OPERATOR_TOKEN).build()
    }

    /// Returns a client for callers' requests.
    pub fn caller_client(&self) -> Client {
        ClientBuilder::new(self.addrs.callers.to_string()).build()
    }

    /// Address for other entry hosts.
    pub fn peers_addr(&self) -> SocketAddr {
        self.addrs.peers
    }

    /// Address for callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.addrs.callers
    }

    /// Address for operators, and the operator token.
    pub fn operators_addr(&self) -> (SocketAddr, &'static str) {
        (self.addrs.operators, OPERATOR_TOKEN)
    }

    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log_path())?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(self.settings_path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Process id; `None` if the process was not started, or was killed or stopped.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process with SIGKILL, like a crash.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM, waits for the process to exit and returns its exit code; `None` if a signal
    /// ended it or it was not running.
    pub fn stop(&mut self) -> io::Result<Option<i32>> {
        self.signal("TERM")?;
        match self.child.take() {
            Some(mut child) => Ok(child.wait()?.code()),
            None => Ok(None),
        }
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) -> io::Result<()> {
        self.signal("STOP")
    }

    /// Continues a suspended process with SIGCONT.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("CONT")
    }

    /// Removes the data directory. The process must not be running.
    pub fn remove_data(&self) -> io::Result<()> {
        fs::remove_dir_all(self.data_dir())
    }

    /// Sends a signal to the process; does nothing if it is not running.
    fn signal(&self, name: &str) -> io::Result<()> {
        let Some(id) = self.id() else { return Ok(()) };
        let status = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill -{name} {id} failed: {status}")))
        }
    }

    /// Replaces the text of the settings file by the result of `f`, for example to put a relay in
    /// front of a peer before the process is started.
    pub fn edit_settings<F>(&self, f: F) -> io::Result<()>
    where
        F: FnOnce(String) -> String,
    {
        let text = fs::read_to_string(self.settings_path())?;
        let mut file = fs::File::create(self.settings_path())?;
        file.write_all(f(text).as_bytes())
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
