//! Accepts connections on an address and serves their requests, one after another.

use crate::receive::{Connection, Received};
use crate::{Error, Framing};
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use connections::{AddressIndex, Connections, Slot, Stage};
use futures::future::{select, BoxFuture, Either};
use http_types::{Request, Response};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Size of the receive buffer of a connection, in bytes: what may arrive without being read.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Connections on one address at most, unless the builder is told otherwise.
const DEFAULT_CONNECTIONS: usize = 1_000;
/// Response to a connection for which there is no place, sent without reading its request.
const NO_PLACE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Handles a request, whose body is in memory.
pub type Handler = Arc<dyn Fn(Request) -> BoxFuture<'static, Response> + Send + Sync>;
/// Looks at the head of a request with a body. Returns the response if the request is refused
/// without its body.
pub type HeadCheck = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;
/// Makes the response to a request that is refused before it is handled.
pub type RefusalResponse = Arc<dyn Fn(&Error) -> Response + Send + Sync>;

/// Limits on one request or connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: u64,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Maximum time in which no part of a body arrives, or none of an answer is taken.
    pub stall_timeout: Duration,
    /// Maximum time for which a connection may wait for its next request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 64 << 10,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(10),
            stall_timeout: Duration::from_secs(15),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Graceful shutdown of servers.
#[derive(Clone, Default)]
pub struct Shutdown {
    /// When cancelled, no more connections are accepted.
    pub accept: CancellationToken,
    /// When cancelled, connections without a request are closed, and the others after their next
    /// response.
    pub idle: CancellationToken,
    /// When cancelled, each response closes its connection.
    pub keep_alive: CancellationToken,
    in_flight: Arc<AtomicUsize>,
}

impl Shutdown {
    /// Creates a shutdown from its tokens.
    ///
    /// ```
    /// let token = tokio_util::sync::CancellationToken::new();
    /// let shutdown = http_server::Shutdown::new(&token, &token, &token);
    /// token.cancel();
    /// assert!(shutdown.idle.is_cancelled());
    /// ```
    pub fn new(
        accept: &CancellationToken,
        idle: &CancellationToken,
        keep_alive: &CancellationToken,
    ) -> Shutdown {
        let (accept, idle, keep_alive) = (accept.clone(), idle.clone(), keep_alive.clone());
        Shutdown { accept, idle, keep_alive, in_flight: Arc::default() }
    }

    /// Returns the number of requests that are being received, handled or answered.
    ///
    /// ```
    /// assert_eq!(http_server::Shutdown::default().in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    fn new(count: &Arc<AtomicUsize>) -> InFlight {
        count.fetch_add(1, Ordering::Relaxed);
        InFlight(count.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Listens on an address.
///
/// # Errors
///
/// If the address can't be bound.
///
/// ```
/// async_std::task::block_on(async {
///     let listener = http_server::listen("127.0.0.1:0".parse().unwrap()).unwrap();
///     assert!(listener.local_addr().unwrap().port() > 0);
/// });
/// ```
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(addr)?;
    // Accepted connections inherit the size.
    let sized = rustix::net::sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES);
    if let Err(e) = sized {
        log::debug!(addr:display = addr, cause:display = e; "setting the receive buffer failed");
    }
    Ok(listener.into())
}

/// Builds a server of one address.
///
/// ```
/// use connections::Connections;
/// use http_server::ServerBuilder;
/// use http_types::{Response, StatusCode};
/// use std::sync::Arc;
///
/// async_std::task::block_on(async {
///     let listener = http_server::listen("127.0.0.1:0".parse().unwrap()).unwrap();
///     let connections = Connections::new("clients", 1 << 20);
///     ServerBuilder::new(&connections, Arc::new(|_| {
///         Box::pin(async { Response::new(StatusCode::Ok) })
///     }))
///     .max_connections(10)
///     .spawn(listener);
/// });
/// ```
pub struct ServerBuilder {
    connections: Arc<Connections>,
    handler: Handler,
    check: HeadCheck,
    refusal: RefusalResponse,
    limits: Arc<dyn Fn() -> Limits + Send + Sync>,
    max_connections: usize,
    shutdown: Shutdown,
}

impl ServerBuilder {
    /// Creates a builder. The server shares the memory of `connections` with others.
    pub fn new(connections: &Arc<Connections>, handler: Handler) -> ServerBuilder {
        ServerBuilder {
            connections: connections.clone(),
            handler,
            check: Arc::new(|_| None),
            refusal: Arc::new(|e| {
                let status = e.status().unwrap_or(http_types::StatusCode::BadRequest);
                let mut res = Response::new(status);
                if let Some(after) = e.retry_after() {
                    res.insert_header("retry-after", after.as_secs().to_string());
                }
                res.set_body(e.to_string());
                res
            }),
            limits: Arc::new(Limits::default),
            max_connections: DEFAULT_CONNECTIONS,
            shutdown: Shutdown::default(),
        }
    }

    /// Sets the limits, which are asked for at each request.
    #[must_use]
    pub fn limits<F>(mut self, limits: F) -> Self
    where
        F: Fn() -> Limits + Send + Sync + 'static,
    {
        self.limits = Arc::new(limits);
        self
    }

    /// Sets what is checked before the body of a request is received; nothing by default.
    #[must_use]
    pub fn check(mut self, check: HeadCheck) -> Self {
        self.check = check;
        self
    }

    /// Sets how refusals are written; plain text by default.
    #[must_use]
    pub fn refusal(mut self, refusal: RefusalResponse) -> Self {
        self.refusal = refusal;
        self
    }

    /// Sets the maximum number of connections on this address.
    #[must_use]
    pub fn max_connections(mut self, count: usize) -> Self {
        self.max_connections = count.max(1);
        self
    }

    /// Sets the shutdown that this server takes part in.
    #[must_use]
    pub fn shutdown(mut self, shutdown: &Shutdown) -> Self {
        self.shutdown = shutdown.clone();
        self
    }

    /// Starts a task that accepts connections until the shutdown or the end of the process.
    pub fn spawn(self, listener: TcpListener) {
        let address = self.connections.add_address(self.max_connections);
        task::spawn(accept(listener, address, Arc::new(self)));
    }
}

async fn accept(listener: TcpListener, address: AddressIndex, server: Arc<ServerBuilder>) {
    loop {
        let stop = pin!(server.shutdown.accept.cancelled());
        let accepted = match select(stop, pin!(listener.accept())).await {
            Either::Left(_) => return,
            Either::Right((accepted, _)) => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(cause:display = e; "accepting a connection failed");
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let opened = stream.clone();
        // Fails if the client has closed the connection, which is as good.
        let end_reading = Box::new(move || drop(opened.shutdown(std::net::Shutdown::Read)));
        match server.connections.open(address, end_reading).await {
            Ok(slot) => drop(task::spawn(serve(stream, slot, server.clone()))),
            Err(e) => {
                server.connections.count_refusal(e.name(), &e);
                refuse_connection(stream).await;
            }
        }
    }
}

/// Refuses a connection. The buffer of a new connection takes the response at once.
async fn refuse_connection(mut stream: TcpStream) {
    let writing = pin!(stream.write_all(NO_PLACE));
    // Fails if the client has gone.
    let _ = select(writing, std::future::ready(())).await;
}

/// Serves the requests of one connection.
async fn serve(stream: TcpStream, slot: Slot, server: Arc<ServerBuilder>) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(cause:display = e; "setting TCP_NODELAY failed, closing the connection");
        return;
    }
    let mut connection = Connection { stream, slot, buf: Vec::new() };
    while connection.has_request(&server).await {
        let in_flight = InFlight::new(&server.shutdown.in_flight);
        connection.slot.set_stage(Stage::Receiving);
        let limits = (server.limits)();
        match connection.receive(&limits, &server).await {
            Ok(received) => {
                if !connection.handle(received, &limits, &server).await {
                    return;
                }
            }
            Err(Some(Refused { res, is_complete })) => {
                connection.refuse(res, is_complete, in_flight).await;
                return;
            }
            Err(None) => return,
        }
    }
}

/// A request that is not handled.
struct Refused {
    res: Response,
    /// Whether the client has sent all of the request.
    is_complete: bool,
}

impl Connection {
    /// Waits for the first byte of a request. Returns false if the connection is closed or idle for
    /// too long, or the server is shutting down.
    async fn has_request(&mut self, server: &ServerBuilder) -> bool {
        self.slot.set_stage(Stage::Idle);
        if server.shutdown.idle.is_cancelled() {
            return false;
        }
        if !self.buf.is_empty() {
            return true;
        }
        self.buf = Vec::new();
        self.slot.give_back_all();
        let mut byte = [0; 1];
        let idle = (server.limits)().idle_timeout;
        let first_byte = pin!(async_std::future::timeout(idle, self.stream.peek(&mut byte)));
        let stop = pin!(server.shutdown.idle.cancelled());
        let peeked = select(first_byte, stop).await;
        matches!(peeked, Either::Left((Ok(Ok(count)), _)) if count > 0)
    }

    /// Receives a request. The error is `None` if there is nobody to respond to.
    async fn receive(
        &mut self,
        limits: &Limits,
        server: &ServerBuilder,
    ) -> Result<Received, Option<Refused>> {
        let refused = |e: Error| {
            e.status()?;
            server.connections.count_refusal(e.name(), &e);
            Some(Refused { res: (server.refusal)(&e), is_complete: false })
        };
        let head = self.receive_head(limits).await.map_err(refused)?;
        let (is_empty, is_complete) = match head.framing {
            Framing::Length(length) => (length == 0, length <= self.buf.len() as u64),
            Framing::Chunked => (false, false),
        };
        if !is_empty {
            if let Some(res) = (server.check)(&head.request) {
                return Err(Some(Refused { res, is_complete }));
            }
        }
        self.receive_rest(head, limits).await.map_err(refused)
    }

    /// Handles a request and sends the answer. Returns whether the connection stays open.
    async fn handle(
        &mut self,
        received: Received,
        limits: &Limits,
        server: &ServerBuilder,
    ) -> bool {
        self.slot.set_stage(Stage::Handling);
        let Received { request, method, close } = received;
        let mut res = (server.handler)(request).await;
        self.slot.give_back_all();
        self.slot.force(self.buf.capacity());
        self.slot.set_stage(Stage::Answering);
        if server.shutdown.keep_alive.is_cancelled() {
            res.insert_header("connection", "close");
        }
        let close = close
            || res.header("connection").is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
        let refuse = |e: &Error| (server.refusal)(e);
        let sent =
            self.answer(res, method, limits.stall_timeout, &server.connections, refuse).await;
        self.slot.give_back_all();
        self.slot.force(self.buf.capacity());
        if let Err(e) = &sent {
            log::debug!(cause:display = e; "sending an answer failed");
        }
        sent.is_ok() && !close
    }
}
