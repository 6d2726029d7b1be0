//! HTTP/1.1 over blocking sockets: one thread a connection.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    /// The incarnation that the sender means; empty if it names none.
    pub expected: String,
    pub body: String,
}

/// Reads one message. Returns its head and its body.
fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<(String, String)> {
    let mut chunk = [0; 16 << 10];
    let broken = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk)? {
            0 => return Err(broken()),
            n => buf.extend_from_slice(&chunk[..n]),
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).to_string();
    let end = head_end + field(&head, "content-length").parse::<usize>().unwrap_or(0);
    while buf.len() < end {
        match stream.read(&mut chunk)? {
            0 => return Err(broken()),
            n => buf.extend_from_slice(&chunk[..n]),
        }
    }
    let body = String::from_utf8_lossy(&buf[head_end..end]).to_string();
    buf.drain(..end);
    Ok((head, body))
}

/// Value of a field of a head; empty if there is none.
fn field(head: &str, name: &str) -> String {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = fields.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map_or(String::new(), |(_, value)| value.trim().to_string())
}

/// Sends a request on a connection of its own and waits for the answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = send(addr, method, path, host, body, timeout)?;
    receive(&mut stream, timeout)
}

/// Sends a request on a connection of its own.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_nodelay(true)?;
    let deadline = timeout.as_millis();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline-Ms: {deadline}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    Ok(stream)
}

/// Waits for the answer to a request that was sent.
pub fn receive(stream: &mut TcpStream, timeout: Duration) -> io::Result<(u16, String)> {
    stream.set_read_timeout(Some(timeout))?;
    let (head, body) = read_message(stream, &mut Vec::new())?;
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    Ok((status, body))
}

type Handler = Arc<dyn Fn(Request) -> Option<(u16, String)> + Send + Sync>;

/// A server that can end as a process does: its port refuses connections, and all its connections
/// are closed.
pub struct Server {
    open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves an address. A handler that returns `None` leaves the request without an answer.
    pub fn start(addr: SocketAddr, handler: Handler) -> io::Result<Server> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let open = Arc::new(AtomicBool::new(true));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let server = Server { open: open.clone(), streams: streams.clone() };
        thread::spawn(move || {
            while open.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || serve(stream, &handler));
            }
        });
        Ok(server)
    }

    /// Closes all connections; new ones are still accepted.
    pub fn reset(&self) {
        for stream in std::mem::take(&mut *self.streams.lock().unwrap()) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends the server.
    pub fn end(&self) {
        self.open.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(6));
        self.reset();
    }
}

fn serve(mut stream: TcpStream, handler: &Handler) {
    let mut buf = Vec::new();
    while let Ok((head, body)) = read_message(&mut stream, &mut buf) {
        let path = head.split(' ').nth(1).unwrap_or("").to_string();
        let expected = field(&head, "x-expect-instance");
        let Some((status, body)) = handler(Request { path, expected, body }) else { continue };
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
