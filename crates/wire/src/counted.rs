//! A peer's connection whose frames count against the memory for peers while they arrive.

use connections::{Charge, Slot, Stage};
use futures::task::AtomicWaker;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size of the length before each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Counts the bytes of the frame that is arriving.
#[derive(Debug, Default)]
struct FrameCounter {
    length: [u8; LENGTH_BYTES],
    /// Bytes of the length that have arrived.
    length_bytes: usize,
    /// Bytes of the frame that have not arrived.
    remaining: usize,
    /// Bytes of the frame that have arrived.
    arrived: usize,
}

impl FrameCounter {
    /// Counts bytes that have arrived. Returns whether a frame was completed.
    fn count(&mut self, mut bytes: &[u8]) -> bool {
        let mut completed = false;
        while let Some(byte) = bytes.first() {
            if self.length_bytes < LENGTH_BYTES {
                self.length[self.length_bytes] = *byte;
                self.length_bytes += 1;
                bytes = &bytes[1..];
                if self.length_bytes == LENGTH_BYTES {
                    self.remaining = u32::from_be_bytes(self.length) as usize;
                }
            } else {
                let count = bytes.len().min(self.remaining);
                self.remaining -= count;
                self.arrived += count;
                bytes = &bytes[count..];
            }
            if self.length_bytes == LENGTH_BYTES && self.remaining == 0 {
                *self = FrameCounter::default();
                completed = true;
            }
        }
        completed
    }
}

/// Ends the reading of a connection.
#[derive(Debug, Default)]
pub(crate) struct ReadingEnd {
    ended: AtomicBool,
    waker: AtomicWaker,
}

impl ReadingEnd {
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Release);
        self.waker.wake();
    }
}

/// The stream of a peer's connection.
pub(crate) struct CountedStream {
    stream: TcpStream,
    slot: Slot,
    charge: Charge,
    end: Arc<ReadingEnd>,
    frame: FrameCounter,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, slot: Slot, end: Arc<ReadingEnd>) -> CountedStream {
        let charge = slot.charge();
        CountedStream { stream, slot, charge, end, frame: FrameCounter::default() }
    }

    /// Counts bytes that have arrived, as held until their frame is complete.
    fn count(&mut self, bytes: &[u8]) -> io::Result<()> {
        let before = self.frame.arrived;
        let completed = self.frame.count(bytes);
        let after = self.frame.arrived;
        if completed {
            self.slot.set_stage(Stage::Idle);
        }
        if after > 0 && (completed || before == 0) {
            self.slot.set_stage(Stage::Receiving);
        }
        self.slot.progress(bytes.len());
        if before > after {
            self.slot.give_back(before - after);
        } else if after > before && !self.charge.take(after - before) {
            return Err(io::Error::other(connections::Error::OutOfMemory));
        }
        Ok(())
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.end.waker.register(cx.waker());
        if self.end.ended.load(Ordering::Acquire) {
            return Poll::Ready(Err(io::Error::other(connections::Error::Evicted)));
        }
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => Poll::Ready(self.count(&buf.filled()[before..])),
            polled => polled,
        }
    }
}

impl AsyncWrite for CountedStream {
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

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
