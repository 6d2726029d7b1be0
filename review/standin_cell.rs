//! The platform: starts the project's own program for each machine, with its settings file, on
//! loopback addresses.

use crate::http;
use crate::Record;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

pub const CORE: usize = 3;
pub const FRONT: usize = 2;
const ZONES: [&str; 3] = ["ch-west-a", "ch-west-b", "ch-west-c"];
const FRONT_PORT: u16 = 8161;
const CONTROL_PORT: u16 = 8166;
const READY_PORT: u16 = 8167;
const PEER_PORT: u16 = 7720;
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
pub const SERVICE: &str = "zertifikat";

/// The processes that this script has started, by machine, and the folder with their files.
struct Started {
    children: Vec<(usize, Child)>,
    dir: Option<PathBuf>,
}

static STARTED: Mutex<Started> = Mutex::new(Started { children: Vec::new(), dir: None });

fn started() -> MutexGuard<'static, Started> {
    STARTED.lock().unwrap_or_else(|e| e.into_inner())
}

/// Kills all processes that were started, and removes their files.
pub fn kill_all() {
    let mut started = started();
    for (_, child) in &mut started.children {
        let _ = child.kill();
    }
    for (_, mut child) in std::mem::take(&mut started.children) {
        let _ = child.wait();
    }
    if let Some(dir) = started.dir.take() {
        if std::env::var_os("KEEP").is_some() {
            println!("logs: {}", dir.display());
        } else {
            let _ = fs::remove_dir_all(dir);
        }
    }
}

pub struct Cell {
    subnet: u8,
    dir: PathBuf,
    program: PathBuf,
    record: Record,
}

impl Cell {
    /// A cell of three core and two front machines, none started yet.
    pub fn new(record: &Record) -> Result<Cell, String> {
        let program = PathBuf::from("target/release/ebonywalkd");
        if !program.is_file() {
            return Err("target/release/ebonywalkd is not built".to_string());
        }
        let first = std::process::id() % 200;
        let is_free = |subnet: u8| {
            let addr = SocketAddr::from(([127, subnet, 0, 1], CONTROL_PORT));
            TcpListener::bind(addr).is_ok()
        };
        let subnets = (0..200).map(|i| (20 + (first + i) % 200) as u8);
        let subnet = subnets.into_iter().find(|subnet| is_free(*subnet));
        let subnet = subnet.ok_or("no free loopback addresses")?;
        let name = format!("ebonywalk-review-{}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        started().dir = Some(dir.clone());
        Ok(Cell { subnet, dir, program, record: record.clone() })
    }

    fn addr(&self, group: u8, i: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.subnet, group, i as u8 + 1], port))
    }

    /// Address of a machine; the core comes first.
    fn machine_addr(&self, machine: usize, port: u16) -> SocketAddr {
        self.addr(0, machine, port)
    }

    pub fn control(&self, core: usize) -> SocketAddr {
        self.machine_addr(core % CORE, CONTROL_PORT)
    }

    pub fn front(&self, i: usize) -> SocketAddr {
        self.machine_addr(CORE + i % FRONT, FRONT_PORT)
    }

    pub fn minion(&self, i: usize) -> SocketAddr {
        self.addr(2, i, 8080)
    }

    /// Starts the process of a machine.
    pub fn start(&self, machine: usize, bootstrap: bool) -> Result<(), String> {
        let seeds: Vec<String> = (0..CORE).map(|i| self.control(i).to_string()).collect();
        let is_core = machine < CORE;
        let mut text = format!(
            "node=m-{machine}\nip={}\nzone={}\nregion=ch-west\nportRange={PEER_PORT},7735\n\
             seeds={}\nbootstrap={bootstrap}\ncountsAsLoss={is_core}\nlimits.maxFds=4096\n\
             limits.memoryMb=256\ndiscovery=registry\nentry=vip\nbeatMs=1500\n\
             contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing\n\
             tolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\nbounds.seedLagS=3\n\
             bounds.reuseAfterS=2\nbounds.touchMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n\
             bounds.drainMs=2000\nbounds.graceS=6\nbounds.lostMs=200\nbounds.configMs=2000\n\
             bounds.backMs=250\nbounds.skewMs=5000\nbounds.recoverS=12\nbounds.holdMaxMs=6000\n\
             bounds.stopMs=900\nbounds.gangMs=3000\nbounds.cancel_ms=3000\n\
             bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\n\
             bounds.status_s=120\nbounds.saveS=2\nbounds.restoreMs=250\nbounds.noticeMs=4500\n\
             bounds.leaseMs=3000\nbounds.requireFence=false\nconfig_mode=highest\norders=call\n",
            self.machine_addr(machine, 1).ip(),
            ZONES[machine % ZONES.len()],
            seeds.join(","),
        );
        if is_core {
            let data = self.dir.join(format!("data-{machine}"));
            let control = self.control(machine);
            text += &format!(
                "role=group\nclass=core\nserves=control\nlisten.control={control}\ndataDir={}\n",
                data.display()
            );
        } else {
            let front = self.machine_addr(machine, FRONT_PORT);
            let ready = self.machine_addr(machine, READY_PORT);
            text += &format!(
                "role=entry\nclass=front\nserves=front\nlisten.front={front}\nlisten.ready={ready}\n"
            );
        }
        let settings = self.dir.join(format!("settings-{machine}.conf"));
        fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = self.dir.join(format!("m-{machine}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|e| e.to_string())?;
        let err = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(&self.program)
            .arg("on-platform")
            .env("EBONYWALK_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(err)
            .spawn();
        let child = child.map_err(|e| e.to_string())?;
        self.record.line(&format!("machine {machine} started (process {})", child.id()));
        started().children.push((machine, child));
        Ok(())
    }

    /// Kills the process of a machine (SIGKILL) and waits until it has ended.
    #[allow(dead_code)]
    pub fn kill(&self, machine: usize) {
        let mut started = started();
        if let Some(i) = started.children.iter().position(|(m, _)| *m == machine) {
            let (_, mut child) = started.children.remove(i);
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("machine {machine} killed"));
        }
    }

    /// Starts all machines, puts the first configuration in force and waits until the fronts serve.
    pub fn start_all(&self, config: &str) -> Result<(), String> {
        for machine in 0..CORE + FRONT {
            self.start(machine, true)?;
        }
        let began = Instant::now();
        let limit = Duration::from_secs(20);
        self.until(began, limit, "the first configuration was not acknowledged", |i| {
            let put = http::call(
                self.control(i),
                "PUT",
                "/api/config",
                "control",
                config,
                Duration::from_secs(2),
            );
            put.is_ok_and(|(status, _)| status == 200)
        })?;
        self.record.line("configuration acknowledged");
        for front in 0..FRONT {
            self.until(began, limit, "a front does not serve", |_| {
                let get = self.client(front, "GET", PREFIX, "");
                get.is_ok_and(|(status, _)| status == 200)
            })?;
        }
        self.record.line("all fronts serve");
        Ok(())
    }

    fn until<F>(&self, began: Instant, limit: Duration, cause: &str, f: F) -> Result<(), String>
    where
        F: Fn(usize) -> bool,
    {
        let mut turn = 0;
        while !f(turn) {
            if began.elapsed() > limit {
                return Err(cause.to_string());
            }
            turn += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// A client's request at a front machine, with 3 s for its response.
    pub fn client(
        &self,
        front: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> std::io::Result<(u16, String)> {
        http::call(self.front(front), method, path, HOST, body, Duration::from_secs(3))
    }
}

/// A configuration with one queue.
pub fn config(version: u64, attempts: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"prefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"sloMs\":1000,\"prio\":0,\
         \"service\":\"{SERVICE}\",\"attempts\":{attempts},\"stretch\":2.2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":64,\
         \"proto\":\"h1\",\"tls\":false,\"rejectsOverload\":false,\"spare\":false}}],\
         \"limits\":{{\"headerBytes\":16384,\"bodyBytes\":262144,\"headerMs\":3000,\
         \"idleMs\":15000}}}}"
    )
}
