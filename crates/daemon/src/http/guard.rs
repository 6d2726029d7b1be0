//! Bounds on what one connection can make the process read and wait for.

use async_std::io::{self, Read, Write};
use async_std::net::TcpStream;
use async_std::task;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

const READING_HEAD: u8 = 0;
const ANSWERING: u8 = 1;
const WRITING: u8 = 2;

/// A stream of which only so many bytes are read for each request. The library that reads heads
/// bounds a line only once it has ended.
#[derive(Clone)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    left: Arc<AtomicU64>,
}

impl BoundedStream {
    pub(crate) fn new(stream: TcpStream) -> BoundedStream {
        BoundedStream { stream, left: Arc::default() }
    }

    /// Allows this many bytes for the next request.
    pub(crate) fn allow(&self, bytes: u64) {
        self.left.store(bytes, Ordering::Relaxed);
    }
}

impl Read for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.left.load(Ordering::Relaxed);
        if left == 0 {
            let cause = "more bytes than a request may have";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let length = buf.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..length]);
        if let Poll::Ready(Ok(count)) = &polled {
            self.left.fetch_sub(*count as u64, Ordering::Relaxed);
        }
        polled
    }
}

impl Write for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// How far a request has got. Reading its head and writing its answer are limited in time; what
/// lies between has its own deadline.
#[derive(Clone, Default)]
pub(crate) struct Phase(Arc<AtomicU8>);

impl Phase {
    pub(crate) fn head_is_read(&self) {
        self.0.store(ANSWERING, Ordering::Relaxed);
    }

    pub(crate) fn answer_is_made(&self) {
        self.0.store(WRITING, Ordering::Relaxed);
    }

    pub(crate) fn is_reading_head(&self) -> bool {
        self.0.load(Ordering::Relaxed) == READING_HEAD
    }

    /// Ends when a limited phase has lasted for `limit`.
    pub(crate) async fn overstayed(&self, limit: Duration) {
        loop {
            let before = self.0.load(Ordering::Relaxed);
            task::sleep(limit).await;
            if before != ANSWERING && before == self.0.load(Ordering::Relaxed) {
                return;
            }
        }
    }
}
