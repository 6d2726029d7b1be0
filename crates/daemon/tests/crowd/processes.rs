//! The processes that crowds press on, on the platform and native.

use crate::support::{ask, is_ready, until, Harness};
use async_std::task::block_on;
use client::{Client, ClientBuilder, Method, Reply};
use std::fs;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};
use tempfile::TempDir;

/// Memory of the machine that a process on the platform is told of, in MB.
const PLATFORM_MEMORY_MB: u64 = 64;
/// Descriptors that a process on the platform is told of.
const PLATFORM_DESCRIPTORS: usize = 256;
/// Memory that a native host may use, in MB.
const NATIVE_MEMORY_MB: u64 = 128;
/// Setting `limits.connections` of a native host.
const NATIVE_CONNECTIONS: usize = 450;
/// Descriptors of a native host: connections of a crowd on one address, and some for all else.
const NATIVE_DESCRIPTORS: usize = NATIVE_CONNECTIONS + 100;
/// Size of the largest body that the platform's pages allow, in bytes.
const PLATFORM_BODY_BYTES: usize = 262_144;
const NATIVE_BODY_BYTES: usize = 1 << 20;
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r","host":"q.example","prefix":"/q/",
    "timeoutMs":3000,"sloMs":250,"prio":0,"service":"s","attempts":3,"stretch":1.5}],
    "services":[{"name":"s"}],"limits":{"headerBytes":16384,"bodyBytes":262144,"headerMs":3000,
    "idleMs":15000}}"#;
const JOB: &str = r#"{"spec":"x","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":50}]}"#;
const QUEUE: [(&str, &str); 1] = [("host", "q.example")];

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test of this file runs.
pub(crate) fn one_at_a_time() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// An address that a process listens on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Address {
    Callers,
    Control,
    Readiness,
    Metrics,
    Peers,
    NativeCallers,
    /// For workers and upstreams.
    NativeWorkers,
    NativeOperators,
    NativePeers,
}

impl Address {
    pub(crate) fn is_native(self) -> bool {
        use Address::{NativeCallers, NativeOperators, NativePeers, NativeWorkers};
        matches!(self, NativeCallers | NativeWorkers | NativeOperators | NativePeers)
    }

    /// First lines of a request with a body to this address.
    pub(crate) fn request_line_and_host(self) -> &'static str {
        match self {
            Address::Callers => "POST /q/00000000000000b1 HTTP/1.1\r\nhost: q.example\r\n",
            Address::Control => "PUT /api/instances/i-1 HTTP/1.1\r\nhost: x\r\n",
            Address::Readiness => "GET /api/ready HTTP/1.1\r\nhost: x\r\n",
            Address::Metrics => "GET /metrics HTTP/1.1\r\nhost: x\r\n",
            Address::NativeCallers => "POST /desk/x HTTP/1.1\r\nhost: x\r\n",
            Address::NativeWorkers => "POST /v1/upstreams HTTP/1.1\r\nhost: x\r\n",
            Address::NativeOperators => {
                "POST /v1/jobs HTTP/1.1\r\nhost: x\r\nauthorization: Bearer standin-operators\r\n"
            }
            Address::Peers | Address::NativePeers => "",
        }
    }

    /// First lines of a request that is answered with 200 if its body is [`Self::small_body`].
    pub(crate) fn served_request(self) -> &'static str {
        match self {
            Address::Control => "PUT /api/config HTTP/1.1\r\nhost: x\r\n",
            Address::NativeOperators => {
                "POST /v1/release/preview HTTP/1.1\r\nhost: x\r\n\
                 authorization: Bearer standin-operators\r\n"
            }
            _ => self.request_line_and_host(),
        }
    }

    /// An ordinary body; empty if the address takes none.
    pub(crate) fn small_body(self) -> String {
        match self {
            Address::Callers => JOB.to_string(),
            Address::Control => CONFIG.to_string(),
            Address::NativeCallers => "x".to_string(),
            Address::NativeWorkers => announcement(),
            Address::NativeOperators => {
                r#"{"base":1,"quotas":[{"team":"t","weight":2}]}"#.to_string()
            }
            _ => String::new(),
        }
    }

    pub(crate) fn body_limit(self) -> usize {
        if self.is_native() {
            NATIVE_BODY_BYTES
        } else {
            PLATFORM_BODY_BYTES
        }
    }

    /// Chunks of one byte in the bodies of a crowd.
    pub(crate) fn one_byte_chunks(self) -> usize {
        if self.is_native() {
            400_000
        } else {
            200_000
        }
    }
}

/// An upstream's announcement. Each is of a new incarnation, as earlier ones may be over.
fn announcement() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let incarnation = since_epoch.as_millis();
    let start = r#"{"upstream":"127.0.0.1:9","service":"other","zone":"a","slots":1"#;
    format!("{start},\"connections\":1,\"incarnation\":{incarnation}}}")
}

/// What a process may use.
pub(crate) struct Bounds {
    /// In bytes.
    pub(crate) memory: u64,
    pub(crate) descriptors: usize,
}

/// One process with all its addresses.
pub(crate) enum Process {
    OnPlatform { child: Child, addrs: Vec<SocketAddr>, _dir: TempDir },
    Native { harness: Harness, _upstream: standin::Upstream },
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Process::OnPlatform { child, .. } = self {
            // Both fail if the process has exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Process {
    /// Starts a process that has this address.
    pub(crate) fn start(address: Address) -> Process {
        if address.is_native() {
            block_on(start_native())
        } else {
            start_on_platform()
        }
    }

    pub(crate) fn addr(&self, address: Address) -> SocketAddr {
        match self {
            Process::OnPlatform { addrs, .. } => match address {
                Address::Callers => addrs[0],
                Address::Readiness => addrs[1],
                Address::Control => addrs[2],
                Address::Peers => addrs[3],
                _ => addrs[4],
            },
            Process::Native { harness, .. } => {
                let host = &harness.cell.hosts[0];
                match address {
                    Address::NativeCallers => host.callers_addr(),
                    Address::NativeWorkers => harness.cell.platform_addrs("a")[0],
                    Address::NativeOperators => host.operators_addr().0,
                    _ => host.peers_addr(),
                }
            }
        }
    }

    /// Sends an ordinary request to an address until it is answered. Requests to the address for
    /// peers go to the one for callers.
    pub(crate) fn ask(&self, address: Address) {
        let client = ClientBuilder::new(self.addr(address).to_string()).build();
        block_on(until("an ordinary request is answered", || async {
            let reply = match (self, address) {
                (Process::OnPlatform { .. }, _) => self.ask_on_platform(address, &client).await?,
                (Process::Native { harness, .. }, Address::NativeOperators) => {
                    return is_ready(&harness.cell.hosts[0]).await;
                }
                (Process::Native { .. }, Address::NativeWorkers) => {
                    let body = announcement().into_bytes();
                    client.send(Method::Post, "/v1/upstreams", &[], body).await.ok()?
                }
                (Process::Native { harness, .. }, _) => {
                    ask(&harness.cell.hosts[0].caller_client(), "/x", None).await?
                }
            };
            (reply.status == 200).then_some(())
        }));
    }

    async fn ask_on_platform(&self, address: Address, client: &Client) -> Option<Reply> {
        let sent = match address {
            Address::Control => {
                let body = CONFIG.as_bytes().to_vec();
                client.send(Method::Put, "/api/config", &[], body).await
            }
            Address::Readiness => client.send(Method::Get, "/api/ready", &[], Vec::new()).await,
            Address::Metrics => client.send(Method::Get, "/metrics", &[], Vec::new()).await,
            _ => {
                let callers = ClientBuilder::new(self.addr(Address::Callers).to_string()).build();
                let body = JOB.as_bytes().to_vec();
                callers.send(Method::Post, "/q/00000000000000a1", &QUEUE, body).await
            }
        };
        sent.ok()
    }

    pub(crate) fn bounds(&self) -> Bounds {
        match self {
            Process::OnPlatform { .. } => {
                Bounds { memory: PLATFORM_MEMORY_MB << 20, descriptors: PLATFORM_DESCRIPTORS }
            }
            Process::Native { .. } => {
                Bounds { memory: NATIVE_MEMORY_MB << 20, descriptors: NATIVE_DESCRIPTORS }
            }
        }
    }

    fn id(&self) -> u32 {
        match self {
            Process::OnPlatform { child, .. } => child.id(),
            Process::Native { harness, .. } => harness.cell.hosts[0].id().unwrap(),
        }
    }

    /// Whether the process runs. A process that has ended has no memory of its own.
    pub(crate) fn is_alive(&self) -> bool {
        self.status_line("VmRSS:").is_some()
    }

    /// Most memory that the process has used, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let line = self.status_line("VmHWM:").expect("the process runs");
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() << 10
    }

    fn status_line(&self, name: &str) -> Option<String> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        status.lines().find(|line| line.starts_with(name)).map(str::to_string)
    }

    /// Number of open descriptors.
    pub(crate) fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count)
    }
}

fn start_on_platform() -> Process {
    let dir = tempfile::tempdir().unwrap();
    let addrs = standin::free_addrs(5).unwrap();
    let (callers, ready, control, peers) = (addrs[0], addrs[1], addrs[2], addrs[3].port());
    let text = format!(
        "node=n-1\nip=127.0.0.1\nzone=a\nlisten.front={callers}\nlisten.ready={ready}\n\
         listen.control={control}\nportRange={peers},{peers}\nseeds={control}\nbootstrap=true\n\
         dataDir={}\nbounds.graceS=6\nlimits.memoryMb={PLATFORM_MEMORY_MB}\n\
         limits.maxFds={PLATFORM_DESCRIPTORS}\n",
        dir.path().join("data").display()
    );
    let settings = dir.path().join("settings.conf");
    fs::write(&settings, text).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_ebonywalkd"))
        .args(["on-platform", "--metrics-port", &addrs[4].port().to_string()])
        .env("EBONYWALK_SETTINGS", &settings)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let process = Process::OnPlatform { child, addrs, _dir: dir };
    process.ask(Address::Control);
    process.ask(Address::Callers);
    process
}

async fn start_native() -> Process {
    let mut harness = Harness::new(&[("a", 1)]);
    let limits = format!("limits: {{connections: {NATIVE_CONNECTIONS}}}\n");
    harness.cell.hosts[0].edit_settings(|text| text + &limits).unwrap();
    harness.start().await;
    let upstream = harness.upstream("a").await;
    let callers = harness.cell.hosts[0].caller_client();
    until("requests are served", || async {
        (ask(&callers, "/warm", None).await?.status == 200).then_some(())
    })
    .await;
    Process::Native { harness, _upstream: upstream }
}
