//! HTTP/1.1 over TCP: one request a connection as a client, keep-alive as a server.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Request {
    pub path: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

fn invalid(cause: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause.to_string())
}

/// Reads head and body of a message: its first line, headers and body.
fn read_message<R: BufRead>(reader: &mut R) -> io::Result<(String, Vec<(String, String)>, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(Ok(0), |(_, v)| v.parse::<usize>()).map_err(|_| invalid("length"))?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8(body).map_err(|_| invalid("body"))?;
    Ok((first.trim_end().to_string(), headers, body))
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let (first, headers, body) = read_message(reader)?;
    let mut words = first.split(' ');
    let path = words.nth(1).ok_or_else(|| invalid("request line"))?;
    Ok(Request { path: path.to_string(), headers, body })
}

pub fn write_response(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Sends a request and waits for the response for at most `limit`. Returns status and body.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let began = Instant::now();
    let mut stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_nodelay(true)?;
    let left = limit.saturating_sub(began.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let deadline = limit.as_millis();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-deadline-ms: {deadline}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    Ok((status.ok_or_else(|| invalid("status"))?, body))
}
