//! Sends responses, and closes connections so that a refusal arrives.

use crate::patience::within;
use crate::receive::Connection;
use crate::server::InFlight;
use crate::Error;
use async_h1::server::Encoder;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use connections::{Connections, Stage, SMALL_REQUEST_BYTES};
use http_types::{Method, Response};
use std::io;
use std::net::Shutdown;
use std::time::Duration;

/// Size of the buffer in which a response is encoded.
const BUFFER_BYTES: usize = 16 << 10;
/// Room for the head of a response.
const HEAD_BYTES: usize = 1 << 10;
/// Answers of at most this size fit into the buffers of the socket and aren't counted.
const UNCOUNTED_BYTES: usize = 4 << 10;
/// Time for sending a refusal and, again, for reading on after it.
const CLOSING_TIME: Duration = Duration::from_secs(2);
/// Bytes that are read and discarded after a refusal. A connection that is closed with unread bytes
/// is reset, and the refusal may be lost.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

impl Connection {
    /// Sends an answer. `stall` is the longest time without progress. If the answer doesn't fit into
    /// the memory that is left but might later, and its request changed nothing, `refuse` makes the
    /// response instead.
    pub(crate) async fn answer<F>(
        &mut self,
        mut res: Response,
        method: Method,
        stall: Duration,
        connections: &Connections,
        refuse: F,
    ) -> io::Result<()>
    where
        F: FnOnce(&Error) -> Response,
    {
        let len = res.len().unwrap_or(0);
        if len > SMALL_REQUEST_BYTES && method.is_safe() {
            let taken = self.slot.take(len).await;
            if taken.is_err() && !connections.could_hold(len) {
                self.slot.force(len);
            } else if let Err(e) = taken {
                let e = Error::from(e);
                connections.count_refusal(e.name(), &e);
                res = refuse(&e);
            }
        } else if len > UNCOUNTED_BYTES {
            self.slot.force(len);
        }
        self.write(res, method, stall).await
    }

    /// Sends a refusal and closes the connection. `is_complete` says that the client has sent all of
    /// its request, so that nothing has to be discarded.
    pub(crate) async fn refuse(
        mut self,
        mut res: Response,
        is_complete: bool,
        in_flight: InFlight,
    ) {
        self.buf = Vec::new();
        self.slot.give_back_all();
        self.slot.set_stage(Stage::Closing);
        res.insert_header("connection", "close");
        let sending = self.write(res, Method::Get, CLOSING_TIME);
        if !matches!(within(CLOSING_TIME, sending).await, Some(Ok(()))) {
            return;
        }
        drop(in_flight);
        if !is_complete && self.stream.shutdown(Shutdown::Write).is_ok() {
            within(CLOSING_TIME, discard(&mut self.stream)).await;
        }
    }

    async fn write(&mut self, res: Response, method: Method, stall: Duration) -> io::Result<()> {
        let size = res.len().map_or(BUFFER_BYTES, |len| BUFFER_BYTES.min(len + HEAD_BYTES));
        let mut encoder = Encoder::new(res, method);
        let mut buf = vec![0; size];
        loop {
            // Head and body come from the encoder apart; one write for both saves a packet.
            let mut filled = 0;
            while filled < buf.len() {
                match encoder.read(&mut buf[filled..]).await? {
                    0 => break,
                    count => filled += count,
                }
            }
            if filled == 0 {
                return Ok(());
            }
            let mut sent = 0;
            while sent < filled {
                let writing = self.stream.write(&buf[sent..filled]);
                match within(stall, writing).await {
                    None => return Err(io::ErrorKind::TimedOut.into()),
                    Some(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
                    Some(count) => sent += count?,
                }
            }
            if filled < buf.len() {
                return Ok(());
            }
        }
    }
}

/// Reads until the client closes the connection, or [`MAX_DISCARDED_BYTES`].
async fn discard(stream: &mut TcpStream) {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut total = 0;
    while let Ok(count) = stream.read(&mut buf).await {
        total += count;
        if count == 0 || total >= MAX_DISCARDED_BYTES {
            return;
        }
    }
}
