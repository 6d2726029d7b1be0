//! Crowds of connections that all send the same bytes, piece by piece in turn.

use crate::processes::Address;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Number of connections of a crowd.
const CONNECTIONS: usize = 400;
/// Number of connections of a crowd that sends nothing, more than a process may have.
const SILENT_CONNECTIONS: usize = 500;
/// Number of connections of a crowd that sends frames of the largest size.
const FRAME_CONNECTIONS: usize = 50;
/// A crowd has done its worst when it could send nothing for this long.
const QUIET: Duration = Duration::from_secs(2);
/// Longest time that a crowd sends for.
const LONGEST: Duration = Duration::from_secs(40);

/// What the connections of a crowd send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    /// A complete head with one field of 300 KB.
    HeadOverLimit,
    /// A field of 1 MiB that doesn't end.
    HeadWithoutEnd,
    /// Empty lines, 1 MiB of them.
    EmptyLines,
    /// A body of legal size in chunks of 64 KiB, cut short in the last one.
    LargeChunks,
    /// A body of legal size in chunks of one byte, cut short in the last one.
    OneByteChunks,
    /// A complete body of legal size.
    WholeBodies,
    /// A body of legal size in pieces of 4 KiB, one byte short.
    PieceByPiece,
    /// A complete job of legal size that consists of steps of three bytes.
    EmptySteps,
    /// Frames of the largest size that the peer protocol allows, cut short at the half.
    CutFrames,
    /// Nothing.
    Silent,
}

pub(crate) struct Crowd {
    bytes: Vec<u8>,
    /// Bytes that a connection sends before it is the next one's turn.
    piece: usize,
    connections: usize,
}

impl Crowd {
    pub(crate) fn new(kind: Kind, address: Address) -> Crowd {
        let head = address.request_line_and_host();
        let size = address.body_limit();
        let with_body = |body: &[u8], sent: usize| {
            let head = format!("{head}content-length: {}\r\n\r\n", body.len());
            [head.as_bytes(), &body[..sent]].concat()
        };
        // The last byte of the last chunk and the end of its line are left out.
        let chunked = |chunk: usize, count: usize| {
            let mut bytes = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
            let chunk = [format!("{chunk:x}\r\n").as_bytes(), &vec![b' '; chunk], b"\r\n"].concat();
            bytes.extend_from_slice(&chunk.repeat(count));
            bytes.truncate(bytes.len() - 3);
            bytes
        };
        let bytes = match kind {
            Kind::HeadOverLimit => format!("{head}long: {}\r\n\r\n", "y".repeat(300_000)).into(),
            Kind::HeadWithoutEnd => format!("{head}long: {}", "y".repeat(1 << 20)).into(),
            Kind::EmptyLines => b"\r\n".repeat(1 << 19),
            Kind::LargeChunks => chunked(64 << 10, size / (64 << 10) - 1),
            Kind::OneByteChunks => chunked(1, address.one_byte_chunks()),
            Kind::WholeBodies => with_body(&vec![b' '; size], size),
            Kind::PieceByPiece => with_body(&vec![b' '; size], size - 1),
            Kind::EmptySteps => {
                let (start, end) = (br#"{"spec":"x","steps":["#, b"{}]}");
                let steps = b"{},".repeat((size - start.len() - end.len()) / 3);
                let body = [&start[..], &steps, end].concat();
                with_body(&body, body.len())
            }
            Kind::CutFrames => {
                let size: u32 = 16 << 20;
                [&size.to_be_bytes()[..], &vec![0; size as usize / 2]].concat()
            }
            Kind::Silent => Vec::new(),
        };
        let piece = if kind == Kind::PieceByPiece { 4 << 10 } else { 16 << 10 };
        let connections = match kind {
            Kind::CutFrames => FRAME_CONNECTIONS,
            Kind::Silent => SILENT_CONNECTIONS,
            _ => CONNECTIONS,
        };
        Crowd { bytes, piece, connections }
    }

    /// Sends from all connections in turn until nothing more can be sent, and returns those that are
    /// still open. Calls `watch` after each turn.
    pub(crate) fn press<F>(&self, addr: SocketAddr, mut watch: F) -> Vec<TcpStream>
    where
        F: FnMut(),
    {
        // A process that is out of descriptors or closes at once may reset a connection.
        let mut open: Vec<(TcpStream, usize)> =
            (0..self.connections).filter_map(|_| connect(addr)).map(|s| (s, 0)).collect();
        watch();
        let start = Instant::now();
        let mut last_progress = start;
        while last_progress.elapsed() < QUIET && start.elapsed() < LONGEST {
            let mut progress = false;
            open.retain_mut(|(stream, sent)| {
                let end = self.bytes.len().min(*sent + self.piece);
                match stream.write(&self.bytes[*sent..end]) {
                    Ok(count) => {
                        *sent += count;
                        progress |= count > 0;
                        true
                    }
                    Err(e) => e.kind() == ErrorKind::WouldBlock,
                }
            });
            watch();
            if progress {
                last_progress = Instant::now();
            } else {
                thread::sleep(Duration::from_millis(10));
            }
        }
        open.into_iter().map(|(stream, _)| stream).collect()
    }
}

fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(5)).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}
