//! A small deployment: processes of the daemon, started with the command of the deploy file.

use crate::http::{call, receive, send};
use crate::json::Json;
use crate::worker::{Log, Worker};
use crate::{note, now_ms};
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/run/";
const FRONT_PORT: u16 = 8161;
const CONTROL_PORT: u16 = 8166;
const READY_PORT: u16 = 8167;
const CORES: usize = 3;
const FRONTS: usize = 3;
const ZONES: [&str; 3] = ["a", "b", "c"];

pub struct Machine {
    pub name: String,
    settings: PathBuf,
    child: Option<Child>,
    log: PathBuf,
}

impl Machine {
    fn start(&mut self) -> io::Result<()> {
        let out = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/ebonywalkd")
            .arg("on-platform")
            .env("EBONYWALK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(out.try_clone()?)
            .stdout(out)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal, by its name, to the process.
    pub fn signal(&self, signal: &str) {
        note(&format!("{}: signal {signal}", self.name));
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Resident memory of the process, in MB.
    pub fn memory_mb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) >> 10
    }

    /// Kills the process and starts it again, as the platform does with one over its memory.
    pub fn restart(&mut self) {
        self.kill();
        thread::sleep(Duration::from_millis(500));
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        let text = text.replace("bootstrap=true", "bootstrap=false");
        let _ = fs::write(&self.settings, text);
        note(&format!("{}: started again", self.name));
        let _ = self.start();
    }
}

pub struct Cell {
    dir: PathBuf,
    subnet: u8,
    pub core: Vec<Machine>,
    pub front: Vec<Machine>,
    pub log: Log,
}

impl Cell {
    /// Starts the processes and hands in a configuration.
    pub fn start(attempts: u32) -> Result<Cell, String> {
        let (dir, subnet) = (temporary_folder()?, free_subnet()?);
        let log = Log::default();
        let mut cell = Cell { dir, subnet, core: Vec::new(), front: Vec::new(), log };
        cell.core = (0..CORES).map(|i| cell.machine("core", i)).collect::<Result<_, _>>()?;
        cell.front = (0..FRONTS).map(|i| cell.machine("front", i)).collect::<Result<_, _>>()?;
        for machine in cell.core.iter_mut().chain(&mut cell.front) {
            machine.start().map_err(|e| format!("starting {}: {e}", machine.name))?;
        }
        cell.configure(1, attempts)?;
        cell.wait_until_ready()?;
        Ok(cell)
    }

    fn addr(&self, group: u8, i: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.subnet, group, i as u8 + 1], port))
    }

    pub fn control(&self) -> Vec<SocketAddr> {
        (0..CORES).map(|i| self.addr(1, i, CONTROL_PORT)).collect()
    }

    pub fn front_addr(&self, i: usize) -> SocketAddr {
        self.addr(2, i, FRONT_PORT)
    }

    fn machine(&self, class: &str, i: usize) -> Result<Machine, String> {
        let name = format!("{class}-{}-{i}", ZONES[i]);
        let group = if class == "core" { 1 } else { 2 };
        let addr = |port| self.addr(group, i, port);
        let seeds: Vec<String> = self.control().iter().map(SocketAddr::to_string).collect();
        let own = if class == "core" {
            let data = self.dir.join(format!("data-{name}"));
            format!(
                "serves=control\nlisten.control={}\ncountsAsLoss=true\nlimits.cpuShare=0.5\n\
                 limits.memoryMb=256\nlimits.maxFds=4096\nlimits.diskMb=128\ndataDir={}\n",
                addr(CONTROL_PORT),
                data.display()
            )
        } else {
            format!(
                "serves=front\nlisten.front={}\nlisten.ready={}\ncountsAsLoss=false\n\
                 limits.cpuShare=0.25\nlimits.memoryMb=260\nlimits.maxFds=4200\nlimits.diskMb=0\n",
                addr(FRONT_PORT),
                addr(READY_PORT)
            )
        };
        let text = format!(
            "node={name}\nrole={class}\nclass={class}\nip={}\nzone={}\nregion=r\nzones.a=r\n\
             zones.b=r\nzones.c=r\nportRange=7720,7735\nseeds={}\nbootstrap=true\nlimits.cores=1\n\
             limits.linkMbps=1000.0\ndiscovery=registry\nentry=vip\nbeatMs=1500\n\
             contracts=base,drain,config,cost,recover,sched\ntolerate.machines=1\n\
             tolerate.zones=1\ntolerate.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n\
             bounds.touchMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\n\
             bounds.graceS=6\nbounds.lostMs=200\nbounds.configMs=2000\nbounds.backMs=250\n\
             bounds.skewMs=5000\nbounds.recoverS=12\nbounds.holdMaxMs=6000\nbounds.stopMs=200\n\
             bounds.gangMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n\
             bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.farX=2\n\
             bounds.saveS=2\nbounds.restoreMs=100\nbounds.noticeMs=4500\nbounds.requireFence=false\n\
             bounds.leaseMs=3000\nconfig_mode=highest\norders=call\n{own}",
            addr(0).ip(),
            ZONES[i],
            seeds.join(",")
        );
        let settings = self.dir.join(format!("{name}.conf"));
        fs::write(&settings, text).map_err(|e| format!("writing settings: {e}"))?;
        let log = self.dir.join(format!("{name}.log"));
        Ok(Machine { name, settings, child: None, log })
    }

    /// Sends the configuration until it is acknowledged.
    fn configure(&self, version: u64, attempts: u32) -> Result<(), String> {
        let body = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
             \"prefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"sloMs\":1000,\
             \"prio\":1,\"service\":\"svc\",\"attempts\":{attempts},\"stretch\":2.2}}],\
             \"services\":[{{\"name\":\"svc\",\"healthPath\":\"/health\",\"maxConns\":64,\
             \"proto\":\"h1\",\"tls\":false,\"rejectsOverload\":false,\"spare\":false}}],\
             \"limits\":{{\"headerBytes\":16384,\"bodyBytes\":262144,\"headerMs\":3000,\
             \"idleMs\":15000}}}}"
        );
        for i in 0..100 {
            let addr = self.control()[i % CORES];
            let second = Duration::from_secs(1);
            if let Ok((200, _)) = call(addr, "PUT", "/api/config", "control", &body, second) {
                note("the configuration is acknowledged");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(150));
        }
        Err("the configuration was not acknowledged".to_string())
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        for i in 0..FRONTS {
            let addr = self.addr(2, i, READY_PORT);
            let ready = || {
                let answer = call(addr, "GET", "/api/ready", "x", "", Duration::from_secs(1));
                answer.is_ok_and(|(status, _)| status == 200)
            };
            let mut tries = 0;
            while !ready() {
                tries += 1;
                if tries > 100 {
                    return Err(format!("front {i} is not ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    pub fn workers(&self, count: usize) -> Vec<Arc<Worker>> {
        let control = self.control();
        let start = |i| Worker::start(&format!("w{i}"), self.addr(3, i, 8080), &control, &self.log);
        let workers = (0..count).map(start).collect();
        thread::sleep(Duration::from_millis(2_500));
        workers
    }

    /// One attempt of a caller at a front machine.
    pub fn ask(&self, front: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let limit = Duration::from_secs(3);
        let sent = send(self.front_addr(front), method, &path, HOST, body, limit);
        let answer = sent.and_then(|mut stream| receive(&mut stream, limit));
        let said = match &answer {
            Ok((status, body)) => format!("{status} {body}"),
            Err(e) => format!("no answer ({e})"),
        };
        note(&format!("caller: {method} {id} at front {front} -> {said}"));
        answer.ok()
    }

    /// Hands a job in as clients do: after no clear answer the same again, at another machine.
    pub fn submit(&self, id: &str, body: &str) -> Result<(), String> {
        for attempt in 0..5 {
            match self.ask(attempt % FRONTS, "POST", id, body) {
                Some((200..=299, _)) => return Ok(()),
                Some((status @ (400..=499), _)) => return Err(format!("{id}: refused, {status}")),
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        Err(format!("{id}: not accepted"))
    }

    /// The state of a job; `None` if there is no clear answer.
    pub fn state(&self, front: usize, id: &str) -> Option<String> {
        let (status, body) = self.ask(front, "GET", id, "")?;
        (status == 200).then(|| Json::parse(&body).map(|body| body.text("state")))?
    }

    /// Index of the core machine whose log says last that it leads.
    pub fn leader(&self) -> usize {
        let led = |machine: &Machine| {
            let text = fs::read_to_string(&machine.log).unwrap_or_default();
            let line = text.lines().rev().find(|l| l.contains("this host became leader"))?;
            Json::parse(line)?.number("term")
        };
        (0..CORES).max_by_key(|i| led(&self.core[*i]).unwrap_or(0)).unwrap_or(0)
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for machine in self.core.iter_mut().chain(&mut self.front) {
            machine.kill();
        }
        if std::env::var("KEEP").is_ok() {
            println!("kept {} at {}", self.dir.display(), now_ms());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn temporary_folder() -> Result<PathBuf, String> {
    let dir = std::env::temp_dir().join(format!("ebonywalk-review-{}", std::process::id()));
    fs::create_dir_all(&dir).map_err(|e| format!("creating a temporary folder: {e}"))?;
    Ok(dir)
}

/// A number N such that the ports are free on 127.N.1.1.
fn free_subnet() -> Result<u8, String> {
    let first = std::process::id() as usize;
    let mut numbers = (0..100).map(|i| (100 + (first + i) % 100) as u8);
    let free = |n: &u8| {
        let ports = [FRONT_PORT, CONTROL_PORT, READY_PORT, 7720, 9464];
        let mut addrs = ports.iter().map(|port| SocketAddr::from(([127, *n, 1, 1], *port)));
        addrs.all(|addr| TcpListener::bind(addr).is_ok())
    };
    numbers.find(free).ok_or_else(|| "no free ports".to_string())
}
