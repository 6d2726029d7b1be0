//! Receives a request from a connection.

use crate::patience::within;
use crate::{ChunkedDecoder, Error, Framing, Head, HeadScanner, Limits};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use connections::Slot;
use futures::FutureExt;
use http_types::{Method, Request};

/// Bytes that a connection first reads into, and least that it reads at once.
const FIRST_READ_BYTES: usize = 4 << 10;
/// Most bytes read at once.
const MAX_READ_BYTES: usize = 64 << 10;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A connection, and the bytes of it that were read but are not yet part of a request.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) slot: Slot,
    pub(crate) buf: Vec<u8>,
}

/// The connection that a request came on, among the request's extensions.
#[derive(Clone)]
pub struct ClientConnection(TcpStream);

impl ClientConnection {
    /// Whether the client has closed the connection, as far as this host has heard. A client that
    /// has only ended its sending counts as well.
    ///
    /// ```
    /// let req = http_types::Request::new(http_types::Method::Get, "http://a/");
    /// let connection = req.ext().get::<http_server::ClientConnection>();
    /// assert!(!connection.is_some_and(|connection| connection.has_left()));
    /// ```
    pub fn has_left(&self) -> bool {
        let mut byte = [0; 1];
        let peeked = self.0.peek(&mut byte).now_or_never();
        peeked.is_some_and(|peeked| !peeked.is_ok_and(|count| count > 0))
    }
}

/// A request with its body.
pub(crate) struct Received {
    pub(crate) request: Request,
    pub(crate) method: Method,
    /// Whether the client wants the connection to be closed after the response.
    pub(crate) close: bool,
}

impl Connection {
    /// Receives the head of the next request, whose first byte is there.
    pub(crate) async fn receive_head(&mut self, limits: &Limits) -> Result<Head, Error> {
        let head = within(limits.head_timeout, self.read_head(limits)).await;
        head.unwrap_or(Err(Error::HeadLate))
    }

    /// Receives the body of a request.
    pub(crate) async fn receive_rest(
        &mut self,
        head: Head,
        limits: &Limits,
    ) -> Result<Received, Error> {
        let Head { mut request, framing, expects_continue, close, .. } = head;
        if expects_continue && framing != Framing::Length(0) && self.buf.is_empty() {
            self.stream.write_all(CONTINUE).await?;
        }
        let body = match framing {
            Framing::Length(0) => Vec::new(),
            Framing::Length(length) => self.receive_body(length, limits).await?,
            Framing::Chunked => self.receive_chunks(limits).await?,
        };
        let method = request.method();
        if framing != Framing::Length(0) {
            request.set_body(body);
        }
        request.ext_mut().insert(self.slot.charge());
        request.ext_mut().insert(ClientConnection(self.stream.clone()));
        Ok(Received { request, method, close })
    }

    /// Reads a head. What has arrived of the body stays in the buffer.
    async fn read_head(&mut self, limits: &Limits) -> Result<Head, Error> {
        let mut scanner = HeadScanner::default();
        loop {
            let end = scanner.scan(&self.buf)?;
            let head_len = end.as_ref().map_or(scanner.head_len(&self.buf), |range| range.len());
            if head_len > limits.head_bytes {
                return Err(Error::HeadTooLarge(limits.head_bytes));
            }
            if let Some(range) = end {
                let head = Head::parse(&self.buf[range.clone()])?;
                self.slot.take(head.footprint).await?;
                let rest = self.buf.split_off(range.end);
                self.slot.give_back(self.buf.capacity());
                self.slot.take(rest.capacity()).await?;
                self.buf = rest;
                return Ok(head);
            }
            let needed = self.buf.len() + 1;
            grow(&self.slot, &mut self.buf, needed, usize::MAX).await?;
            read(&mut self.stream, &self.slot, &mut self.buf, usize::MAX).await?;
        }
    }

    /// Receives a body of this length.
    async fn receive_body(&mut self, length: u64, limits: &Limits) -> Result<Vec<u8>, Error> {
        let too_large = Error::BodyTooLarge(limits.body_bytes);
        let length = match usize::try_from(length) {
            Ok(size) if length <= limits.body_bytes => size,
            _ => return Err(too_large),
        };
        let mut body = std::mem::take(&mut self.buf);
        if body.len() > length {
            self.buf = body.split_off(length);
            self.slot.force(self.buf.capacity());
        }
        while body.len() < length {
            let needed = body.len() + 1;
            grow(&self.slot, &mut body, needed, length).await?;
            let max = length - body.len();
            let reading = read(&mut self.stream, &self.slot, &mut body, max);
            within(limits.stall_timeout, reading).await.unwrap_or(Err(Error::BodyStalled))?;
        }
        Ok(body)
    }

    /// Receives a body in chunks.
    async fn receive_chunks(&mut self, limits: &Limits) -> Result<Vec<u8>, Error> {
        let mut decoder = ChunkedDecoder::new(limits.body_bytes);
        let max = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
        let mut body = Vec::new();
        loop {
            // The decoder appends no more than it is given.
            let needed = max.min(body.len() + self.buf.len());
            grow(&self.slot, &mut body, needed, max).await?;
            let used = decoder.decode(&self.buf, &mut body)?;
            self.buf.drain(..used);
            if decoder.is_done() {
                return Ok(body);
            }
            grow(&self.slot, &mut self.buf, FIRST_READ_BYTES, FIRST_READ_BYTES).await?;
            let reading = read(&mut self.stream, &self.slot, &mut self.buf, usize::MAX);
            within(limits.stall_timeout, reading).await.unwrap_or(Err(Error::BodyStalled))?;
        }
    }
}

/// Makes room for `needed` bytes in all. A capacity that is too small doubles, up to `max`.
async fn grow(slot: &Slot, buf: &mut Vec<u8>, needed: usize, max: usize) -> Result<(), Error> {
    let old = buf.capacity();
    if needed <= old {
        return Ok(());
    }
    let new = (old * 2).max(FIRST_READ_BYTES).min(max).max(needed);
    slot.take(new - old).await?;
    buf.reserve_exact(new - buf.len());
    Ok(())
}

/// Reads into the free part of the buffer, at most `max` bytes.
async fn read(
    stream: &mut TcpStream,
    slot: &Slot,
    buf: &mut Vec<u8>,
    max: usize,
) -> Result<(), Error> {
    let len = buf.len();
    let room = (buf.capacity() - len).min(MAX_READ_BYTES).min(max);
    buf.resize(len + room, 0);
    let read = stream.read(&mut buf[len..]).await;
    buf.truncate(len + read.as_ref().map_or(0, |count| *count));
    // An eviction ends the reading.
    if slot.progress(buf.len() - len) {
        return Err(connections::Error::Evicted.into());
    }
    match read? {
        0 => Err(Error::Ended),
        _ => Ok(()),
    }
}
