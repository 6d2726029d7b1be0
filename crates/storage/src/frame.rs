//! Frames: length, checksum, contents.

use serde::{de::DeserializeOwned, Serialize};

/// Bytes before the contents: length and CRC-32, each in little-endian order.
const HEAD_BYTES: usize = 8;
/// Longest contents that a frame may claim.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// Encodes a value as one frame.
pub(crate) fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    let mut buf = vec![0; HEAD_BYTES];
    buf = postcard::to_extend(value, buf).expect("plain data always encodes");
    let length = (buf.len() - HEAD_BYTES) as u32;
    let checksum = crc32fast::hash(&buf[HEAD_BYTES..]);
    buf[..4].copy_from_slice(&length.to_le_bytes());
    buf[4..HEAD_BYTES].copy_from_slice(&checksum.to_le_bytes());
    buf
}

/// What stands at the start of some bytes.
#[derive(Debug, PartialEq)]
pub(crate) enum Frame<T> {
    /// A whole frame, and how many bytes it takes.
    Whole(T, usize),
    /// Nothing more.
    End,
    /// A frame that does not reach its end, or the last one with a wrong checksum: the write
    /// was cut off.
    Torn,
    /// A frame that was whole once.
    Damaged(String),
}

/// Decodes the frame at the start of `buf`.
pub(crate) fn decode<T>(buf: &[u8]) -> Frame<T>
where
    T: DeserializeOwned,
{
    if buf.is_empty() {
        return Frame::End;
    }
    // A file may be grown before its contents arrive; then the rest is zeros.
    if buf.len() < HEAD_BYTES || buf.iter().all(|b| *b == 0) {
        return Frame::Torn;
    }
    let word = |at: usize| u32::from_le_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
    let length = word(0) as usize;
    let end = HEAD_BYTES + length;
    if length > MAX_FRAME_BYTES {
        return Frame::Damaged(format!("a frame of {length} bytes"));
    }
    if end > buf.len() {
        return Frame::Torn;
    }
    let contents = &buf[HEAD_BYTES..end];
    if crc32fast::hash(contents) != word(4) {
        let last = end == buf.len() || buf[end..].iter().all(|b| *b == 0);
        return if last { Frame::Torn } else { Frame::Damaged("wrong checksum".to_string()) };
    }
    match postcard::from_bytes(contents) {
        Ok(value) => Frame::Whole(value, end),
        Err(e) => Frame::Damaged(e.to_string()),
    }
}
