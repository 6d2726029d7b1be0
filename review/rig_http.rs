//! A small HTTP/1.1 client and server with JSON bodies, and a JSON reader.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_string(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &BTreeMap<String, String>) -> Option<String> {
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
    }
    String::from_utf8(body).ok()
}

/// A server that runs until it is closed.
#[derive(Clone)]
pub struct Server {
    addr: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Stops listening and closes all connections, as at the end of a process.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
        for stream in self.streams.lock().expect("lock is not poisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests until the server is closed or the process ends. A handler that returns `None`
/// leaves the request without an answer and closes the connection.
pub fn serve<F>(listener: TcpListener, handler: F) -> std::io::Result<Server>
where
    F: Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    let (closed, streams) = (Arc::default(), Arc::default());
    let server = Server { addr: listener.local_addr()?, closed, streams };
    let running = server.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if running.closed.load(Ordering::SeqCst) {
                return;
            }
            let Ok(known) = stream.try_clone() else { continue };
            running.streams.lock().expect("lock is not poisoned").push(known);
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(server)
}

fn serve_connection<F>(stream: TcpStream, handler: &F) -> Option<()>
where
    F: Fn(Request) -> Option<(u16, String)>,
{
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let mut words = first.split(' ');
        let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
        let body = read_body(&mut reader, &headers)?;
        let (status, body) = handler(Request { method, path, headers, body })?;
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        reader.get_mut().write_all((head + &body).as_bytes()).ok()?;
    }
}

/// Sends a request on a connection of its own. `None` without a complete answer in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "host") {
        head += &format!("host: {addr}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "content-type: application/json\r\nconnection: close\r\n\r\n";
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match chars.get(*at)? {
        '{' => {
            let mut fields = BTreeMap::new();
            *at += 1;
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    '}' => break,
                    ',' => *at += 1,
                    _ => {
                        let key = string(chars, at)?;
                        skip(chars, at);
                        *at += 1; // the colon
                        fields.insert(key, value(chars, at)?);
                    }
                }
            }
            *at += 1;
            Some(Json::Object(fields))
        }
        '[' => {
            let mut items = Vec::new();
            *at += 1;
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    ']' => break,
                    ',' => *at += 1,
                    _ => items.push(value(chars, at)?),
                }
            }
            *at += 1;
            Some(Json::List(items))
        }
        '"' => string(chars, at).map(Json::Text),
        _ => {
            let from = *at;
            while chars.get(*at).is_some_and(|c| !c.is_whitespace() && !",]}".contains(*c)) {
                *at += 1;
            }
            let word: String = chars[from..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    *at += 1; // the opening quote
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                    }
                    other => text.push(other),
                }
            }
            c => text.push(c),
        }
    }
}
