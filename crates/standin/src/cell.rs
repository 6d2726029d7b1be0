//! A cell of entry hosts as separate processes on loopback.

use client::{Client, ClientBuilder};
use std::fs;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The operators' token of such a cell.
const TOKEN: &str = "standin-operators";

/// Addresses of one entry host.
#[derive(Clone, Debug)]
struct Ports {
    callers: SocketAddr,
    platform: SocketAddr,
    operators: SocketAddr,
    /// Where the host listens for others.
    peers: SocketAddr,
}

/// Makes a [`Cell`].
#[derive(Clone, Debug)]
pub struct CellBuilder {
    program: PathBuf,
    folder: PathBuf,
    zones: Vec<(String, usize)>,
    worker_lease: Duration,
    log_level: String,
}

impl CellBuilder {
    /// A cell of the program `ebonywalkd` at `program`, with everything it writes below `folder`.
    pub fn new(program: &Path, folder: &Path) -> CellBuilder {
        CellBuilder {
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            zones: Vec::new(),
            worker_lease: Duration::from_secs(4),
            log_level: "info".to_string(),
        }
    }

    /// Adds a zone with so many entry hosts, named `ZONE-1` and so on.
    pub fn zone(mut self, name: &str, hosts: usize) -> Self {
        self.zones.push((name.to_string(), hosts));
        self
    }

    /// The workers' lease.
    pub fn worker_lease(mut self, lease: Duration) -> Self {
        self.worker_lease = lease;
        self
    }

    /// The log level of the processes; their logs are files in the folder.
    pub fn log_level(mut self, level: &str) -> Self {
        self.log_level = level.to_string();
        self
    }

    /// Writes settings for every host. Nothing runs yet.
    pub fn build(self) -> io::Result<Cell> {
        let mut hosts = Vec::new();
        for (zone, count) in &self.zones {
            for i in 1..=*count {
                let ports = free_ports()?;
                hosts.push(HostProcess {
                    name: format!("{zone}-{i}"),
                    zone: zone.clone(),
                    ports,
                    program: self.program.clone(),
                    folder: self.folder.clone(),
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
                format!("  - {{host: {}, zone: {}, peers: {}}}\n", h.name, h.zone, h.ports.peers)
            })
            .collect();
        format!(
            "host: {}\nzone: {}\ndata: {}\noperator_token: {TOKEN}\nworker_lease: {:?}\n\
             listen:\n  callers: {}\n  platform: {}\n  operators: {}\n  peers: {}\n\
             drain: {{notice: 500ms, limit: 20s}}\nlog: {{level: {}}}\nhosts:\n{entries}",
            host.name,
            host.zone,
            host.data_dir().display(),
            self.worker_lease,
            host.ports.callers,
            host.ports.platform,
            host.ports.operators,
            host.ports.peers,
            self.log_level,
        )
    }
}

/// Ports that nobody listened on a moment ago.
fn free_ports() -> io::Result<Ports> {
    let listeners: Vec<TcpListener> =
        (0..4).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
    let addr = |i: usize| listeners[i].local_addr();
    Ok(Ports { callers: addr(0)?, platform: addr(1)?, operators: addr(2)?, peers: addr(3)? })
}

/// Entry hosts as processes. Dropping it kills those that still run.
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

    /// The host with this name.
    pub fn host(&mut self, name: &str) -> &mut HostProcess {
        self.hosts.iter_mut().find(|h| h.name == name).expect("the cell has this host")
    }

    /// Platform addresses of a zone's hosts, for workers and upstreams.
    pub fn platform_addrs(&self, zone: &str) -> Vec<SocketAddr> {
        self.hosts.iter().filter(|h| h.zone == zone).map(|h| h.ports.platform).collect()
    }
}

/// One entry host as a process.
#[derive(Debug)]
pub struct HostProcess {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    ports: Ports,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl HostProcess {
    /// The file with its settings.
    pub fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.yaml", self.name))
    }

    /// Its data folder.
    pub fn data_dir(&self) -> PathBuf {
        self.folder.join(&self.name)
    }

    /// The file with its log.
    pub fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    /// A client for operators' calls.
    pub fn operator_client(&self) -> Client {
        ClientBuilder::new(self.ports.operators.to_string()).token(TOKEN).build()
    }

    /// A client for callers' requests.
    pub fn caller_client(&self) -> Client {
        ClientBuilder::new(self.ports.callers.to_string()).build()
    }

    /// Where it listens for other entry hosts.
    pub fn peers_addr(&self) -> SocketAddr {
        self.ports.peers
    }

    /// The address for callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.ports.callers
    }

    /// The address for operators, and the token that they need.
    pub fn operators_addr(&self) -> (SocketAddr, &'static str) {
        (self.ports.operators, TOKEN)
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

    /// The process's id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Ends the process at once, as a crash would.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop, waits for it, and gives back its exit code.
    pub fn stop(&mut self) -> io::Result<Option<i32>> {
        self.signal("TERM")?;
        match self.child.take() {
            Some(mut child) => Ok(child.wait()?.code()),
            None => Ok(None),
        }
    }

    /// Freezes the process.
    pub fn pause(&self) -> io::Result<()> {
        self.signal("STOP")
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("CONT")
    }

    /// Removes its data folder. The process must not run.
    pub fn remove_data(&self) -> io::Result<()> {
        fs::remove_dir_all(self.data_dir())
    }

    /// Sends a signal to this process by its id.
    fn signal(&self, name: &str) -> io::Result<()> {
        let Some(id) = self.id() else { return Ok(()) };
        let status = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill -{name} {id} failed")))
        }
    }

    /// Changes one line of its settings, as for an address that a relay takes over.
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
