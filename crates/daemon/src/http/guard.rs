//! Limits on how much one connection can make the process read and how long it can make it wait.

use async_std::io::{self, Read, Write};
use async_std::net::TcpStream;
use async_std::task;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

const READING_HEAD: u8 = 0;
const HANDLING: u8 = 1;
const WRITING: u8 = 2;

/// A stream that limits the bytes read for each request. The HTTP library checks the length of a
/// head's line only after the line has ended, so an endless line would fill the memory.
#[derive(Clone)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    remaining: Arc<AtomicU64>,
}

impl BoundedStream {
    pub(crate) fn new(stream: TcpStream) -> BoundedStream {
        BoundedStream { stream, remaining: Arc::default() }
    }

    /// Sets the number of bytes that may be read for the next request.
    pub(crate) fn allow(&self, bytes: u64) {
        self.remaining.store(bytes, Ordering::Relaxed);
    }
}

impl Read for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let remaining = self.remaining.load(Ordering::Relaxed);
        if remaining == 0 {
            let cause = "more bytes than a request may have";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let length = buf.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..length]);
        if let Poll::Ready(Ok(count)) = &polled {
            self.remaining.fetch_sub(*count as u64, Ordering::Relaxed);
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

/// Phase of a request. Reading the head and writing the response are limited in time here; handling
/// the request in between has a deadline of its own.
#[derive(Clone, Default)]
pub(crate) struct Phase(Arc<AtomicU8>);

impl Phase {
    pub(crate) fn start_handling(&self) {
        self.0.store(HANDLING, Ordering::Relaxed);
    }

    pub(crate) fn start_writing(&self) {
        self.0.store(WRITING, Ordering::Relaxed);
    }

    pub(crate) fn is_reading_head(&self) -> bool {
        self.0.load(Ordering::Relaxed) == READING_HEAD
    }

    /// Waits until a limited phase has lasted for `limit`. Phases are sampled at that interval, so
    /// the return may be late by up to another `limit`.
    pub(crate) async fn timed_out(&self, limit: Duration) {
        loop {
            let before = self.0.load(Ordering::Relaxed);
            task::sleep(limit).await;
            if before != HANDLING && before == self.0.load(Ordering::Relaxed) {
                return;
            }
        }
    }
}
