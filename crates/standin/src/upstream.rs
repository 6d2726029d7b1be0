//! A stand-in upstream: an HTTP server that announces itself to the entry hosts and answers
//! requests as a test sets it to.

use crate::journal::{Execution, Journal};
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use client::{Client, ClientBuilder};
use http_types::{Request, Response, StatusCode};
use membership::Announcement;
use serde_json::{json, Value};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time between two announcements.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// How an upstream responds to requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds with status 200 after this time.
    Answer(Duration),
    /// Responds at once that the request was not started (status 503, `ebonywalk-started: no`).
    Refuse,
    /// Responds at once with status 500.
    Fail,
    /// Executes the request and closes the connection without a response.
    CloseConnection,
    /// Executes the request and closes the connection before it has sent `content-length` bytes.
    TruncateBody,
}

/// A running stand-in upstream. Cheap to clone.
#[derive(Clone)]
pub struct Upstream {
    announcement: Announcement,
    entry_hosts: Vec<Client>,
    behaviour: Arc<Mutex<Behaviour>>,
    in_flight: Arc<AtomicU32>,
    max_in_flight: Arc<AtomicU32>,
    journal: Journal,
    stop: CancellationToken,
    stop_renewals: CancellationToken,
}

impl Upstream {
    /// Starts the server on a free port and announces it to one of `entry_hosts`, which are
    /// platform addresses. After a failure it announces itself to the next one.
    pub async fn start(
        service: &str,
        zone: &str,
        slots: u32,
        entry_hosts: &[SocketAddr],
        journal: &Journal,
    ) -> std::io::Result<Upstream> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let upstream = Upstream {
            announcement: Announcement {
                upstream: addr.to_string(),
                service: service.to_string(),
                zone: zone.to_string(),
                slots,
                connections: slots * 8,
                incarnation: 1,
            },
            entry_hosts: clients(entry_hosts),
            behaviour: Arc::new(Mutex::new(Behaviour::Answer(Duration::ZERO))),
            in_flight: Arc::default(),
            max_in_flight: Arc::default(),
            journal: journal.clone(),
            stop: CancellationToken::new(),
            stop_renewals: CancellationToken::new(),
        };
        task::spawn(upstream.clone().accept(listener));
        task::spawn(upstream.clone().renew());
        Ok(upstream)
    }

    /// Address of the server, `ip:port`.
    pub fn addr(&self) -> &str {
        &self.announcement.upstream
    }

    /// Sets how later requests are answered.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("lock is not poisoned") = behaviour;
    }

    /// Largest number of requests that were in flight at once since the start.
    pub fn max_concurrent(&self) -> u32 {
        self.max_in_flight.load(Ordering::SeqCst)
    }

    /// Stops the announcements and tells the entry hosts in turn that the upstream leaves, until
    /// one of them acknowledges. Returns whether one did.
    pub async fn leave(&self) -> bool {
        self.stop_renewals.cancel();
        let body = json!({
            "upstream": self.announcement.upstream,
            "incarnation": self.announcement.incarnation,
        });
        for host in &self.entry_hosts {
            if host.post::<_, Value>("/v1/upstreams/leave", &body).await.is_ok() {
                return true;
            }
        }
        false
    }

    /// Sends the announcement to the first entry host once more, like one that was delayed in the
    /// network. Returns the status of the response; 200 also if there was no response, and `None`
    /// without entry hosts.
    pub async fn send_late_renewal(&self) -> Option<u16> {
        let host = self.entry_hosts.first()?;
        let sent = host.post::<_, Value>("/v1/upstreams", &self.announcement).await;
        Some(sent.err().and_then(|e| e.status()).unwrap_or(200))
    }

    /// Simulates a crash: stops the announcements and accepts at most one more connection. Open
    /// connections are still served.
    pub fn kill(&self) {
        self.stop.cancel();
        self.stop_renewals.cancel();
    }

    async fn renew(self) {
        let mut turn = 0;
        while !self.stop_renewals.is_cancelled() {
            let host = &self.entry_hosts[turn % self.entry_hosts.len()];
            let sent = host.post::<_, Value>("/v1/upstreams", &self.announcement).await;
            match sent {
                Ok(_) => task::sleep(RENEWAL_INTERVAL).await,
                Err(_) => {
                    turn += 1;
                    task::sleep(RENEWAL_INTERVAL / 10).await;
                }
            }
        }
    }

    async fn accept(self, listener: TcpListener) {
        while !self.stop.is_cancelled() {
            let Ok((stream, _)) = listener.accept().await else { return };
            task::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let raw = stream.clone();
        let endpoint = |req: Request| self.clone().respond(req, raw.clone());
        let served = async_h1::accept(stream, endpoint);
        let _ = served.await;
    }

    async fn respond(self, mut req: Request, mut raw: TcpStream) -> http_types::Result<Response> {
        // async-h1 may take the next request for the rest of a body that nobody has read.
        req.body_bytes().await?;
        let behaviour = self.behaviour.lock().expect("lock is not poisoned").clone();
        if behaviour == Behaviour::Refuse {
            let mut res = Response::new(StatusCode::ServiceUnavailable);
            res.insert_header("ebonywalk-started", "no");
            return Ok(res);
        }
        let concurrent = self.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_in_flight.fetch_max(concurrent, Ordering::SeqCst);
        let path = req.url().path().to_string();
        let key = req.header("idempotency-key").map(|v| v.last().as_str().to_string());
        let upstream = self.addr().to_string();
        self.journal.execute(Execution { upstream, path: path.clone(), key, concurrent });
        let response = match behaviour {
            Behaviour::Answer(delay) => {
                task::sleep(delay).await;
                Ok(format!("{path} by {}\n", self.addr()).into())
            }
            Behaviour::Fail => Ok(Response::new(StatusCode::InternalServerError)),
            Behaviour::CloseConnection => {
                let _ = raw.shutdown(Shutdown::Both);
                Err(http_types::format_err!("connection closed without a response"))
            }
            _ => {
                let short = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort";
                let _ = raw.write_all(short.as_bytes()).await;
                let _ = raw.shutdown(Shutdown::Both);
                Err(http_types::format_err!("response truncated"))
            }
        };
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        response
    }
}

pub(crate) fn clients(addrs: &[SocketAddr]) -> Vec<Client> {
    let client = |addr: &SocketAddr| {
        ClientBuilder::new(addr.to_string()).timeout(Duration::from_secs(4)).build()
    };
    addrs.iter().map(client).collect()
}
