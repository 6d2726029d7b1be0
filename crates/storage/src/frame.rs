//! Frames, the unit of every file: a length, a checksum and the postcard-encoded contents.

use serde::{de::DeserializeOwned, Serialize};

/// Size of the header: length and CRC-32 of the contents, each a little-endian `u32`.
const HEADER_BYTES: usize = 8;
/// Upper limit on the length in a header. A longer one is treated as damage.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// Encodes a value as one frame.
pub(crate) fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    let mut buf = vec![0; HEADER_BYTES];
    buf = postcard::to_extend(value, buf).expect("plain data always encodes");
    let length = (buf.len() - HEADER_BYTES) as u32;
    let checksum = crc32fast::hash(&buf[HEADER_BYTES..]);
    buf[..4].copy_from_slice(&length.to_le_bytes());
    buf[4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    buf
}

/// The result of decoding a frame.
#[derive(Debug, PartialEq)]
pub(crate) enum Frame<T> {
    /// A complete frame, and its size in bytes including the header.
    Complete(T, usize),
    /// The input is empty.
    End,
    /// The last frame is truncated or has a wrong checksum: its write was interrupted.
    Torn,
    /// The frame was damaged after it was written, for this reason.
    Corrupt(String),
}

/// Decodes the frame at the start of `buf`.
pub(crate) fn decode<T>(buf: &[u8]) -> Frame<T>
where
    T: DeserializeOwned,
{
    if buf.is_empty() {
        return Frame::End;
    }
    // A crash may leave zeros at the end, as a file can grow before its contents reach the disk.
    if buf.len() < HEADER_BYTES || buf.iter().all(|b| *b == 0) {
        return Frame::Torn;
    }
    let word = |at: usize| u32::from_le_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
    let length = word(0) as usize;
    let end = HEADER_BYTES + length;
    if length > MAX_FRAME_BYTES {
        return Frame::Corrupt(format!("frame length {length} exceeds {MAX_FRAME_BYTES}"));
    }
    if end > buf.len() {
        return Frame::Torn;
    }
    let contents = &buf[HEADER_BYTES..end];
    if crc32fast::hash(contents) != word(4) {
        let last = end == buf.len() || buf[end..].iter().all(|b| *b == 0);
        return if last { Frame::Torn } else { Frame::Corrupt("wrong checksum".to_string()) };
    }
    match postcard::from_bytes(contents) {
        Ok(value) => Frame::Complete(value, end),
        Err(e) => Frame::Corrupt(e.to_string()),
    }
}
