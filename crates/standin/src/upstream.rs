//! A stand-in upstream: an HTTP server that announces itself, and answers as it is told.

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

/// How often it renews its announcement.
const RENEW_EVERY: Duration = Duration::from_millis(1_000);

/// How it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// After this time, with status 200.
    Answer(Duration),
    /// At once, that it did not start the request.
    Refuse,
    /// At once, with status 500.
    Fail,
    /// It runs the request and closes the connection without an answer.
    CloseConnection,
    /// It runs the request and cuts the answer short of its announced length.
    TruncateBody,
}

/// A running stand-in.
#[derive(Clone)]
pub struct Upstream {
    announcement: Announcement,
    entry_hosts: Vec<Client>,
    behaviour: Arc<Mutex<Behaviour>>,
    busy: Arc<AtomicU32>,
    max_concurrent: Arc<AtomicU32>,
    journal: Journal,
    stop: CancellationToken,
    renewing: CancellationToken,
}

impl Upstream {
    /// Starts on a free port and announces itself to the entry hosts' platform addresses, in turn.
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
            busy: Arc::default(),
            max_concurrent: Arc::default(),
            journal: journal.clone(),
            stop: CancellationToken::new(),
            renewing: CancellationToken::new(),
        };
        task::spawn(upstream.clone().accept(listener));
        task::spawn(upstream.clone().renew());
        Ok(upstream)
    }

    /// Its address.
    pub fn addr(&self) -> &str {
        &self.announcement.upstream
    }

    /// Changes how it answers.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no one panics with the lock") = behaviour;
    }

    /// The most requests that it ever had under way at once.
    pub fn max_concurrent(&self) -> u32 {
        self.max_concurrent.load(Ordering::SeqCst)
    }

    /// Says that it leaves, to the first entry host that hears it.
    pub async fn leave(&self) -> bool {
        self.renewing.cancel();
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

    /// Sends a renewal as one that was delayed would come, and gives back the status.
    pub async fn send_late_renewal(&self) -> Option<u16> {
        let host = self.entry_hosts.first()?;
        let sent = host.post::<_, Value>("/v1/upstreams", &self.announcement).await;
        Some(sent.err().and_then(|e| e.status()).unwrap_or(200))
    }

    /// Stops answering and renewing, as a crash would.
    pub fn kill(&self) {
        self.stop.cancel();
        self.renewing.cancel();
    }

    async fn renew(self) {
        let mut turn = 0;
        while !self.renewing.is_cancelled() {
            let host = &self.entry_hosts[turn % self.entry_hosts.len()];
            let sent = host.post::<_, Value>("/v1/upstreams", &self.announcement).await;
            match sent {
                Ok(_) => task::sleep(RENEW_EVERY).await,
                Err(_) => {
                    turn += 1;
                    task::sleep(RENEW_EVERY / 10).await;
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
        let endpoint = |req: Request| self.clone().answer(req, raw.clone());
        let served = async_h1::accept(stream, endpoint);
        let _ = served.await;
    }

    async fn answer(self, req: Request, mut raw: TcpStream) -> http_types::Result<Response> {
        let behaviour = self.behaviour.lock().expect("no one panics with the lock").clone();
        if behaviour == Behaviour::Refuse {
            let mut res = Response::new(StatusCode::ServiceUnavailable);
            res.insert_header("ebonywalk-started", "no");
            return Ok(res);
        }
        let concurrent = self.busy.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_concurrent.fetch_max(concurrent, Ordering::SeqCst);
        let path = req.url().path().to_string();
        let key = req.header("idempotency-key").map(|v| v.last().as_str().to_string());
        let upstream = self.addr().to_string();
        self.journal.execute(Execution { upstream, path: path.clone(), key, concurrent });
        let answered = match behaviour {
            Behaviour::Answer(after) => {
                task::sleep(after).await;
                Ok(format!("{path} by {}\n", self.addr()).into())
            }
            Behaviour::Fail => Ok(Response::new(StatusCode::InternalServerError)),
            Behaviour::CloseConnection => {
                let _ = raw.shutdown(Shutdown::Both);
                Err(http_types::format_err!("hangs up"))
            }
            _ => {
                let short = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort";
                let _ = raw.write_all(short.as_bytes()).await;
                let _ = raw.shutdown(Shutdown::Both);
                Err(http_types::format_err!("cut short"))
            }
        };
        self.busy.fetch_sub(1, Ordering::SeqCst);
        answered
    }
}

pub(crate) fn clients(addrs: &[SocketAddr]) -> Vec<Client> {
    let client = |addr: &SocketAddr| {
        ClientBuilder::new(addr.to_string()).timeout(Duration::from_secs(4)).build()
    };
    addrs.iter().map(client).collect()
}
