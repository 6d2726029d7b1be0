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
    /// No frame can be read, and none follows: the write of the last frame was interrupted.
    Torn,
    /// The frame was damaged after it was written, for this reason.
    Corrupt(String),
}

/// Decodes the frame at the start of `buf`. A frame that can't be read is damaged if a readable one
/// follows anywhere: frames are synced one by one, so it was on disk by then.
pub(crate) fn decode<T>(buf: &[u8]) -> Frame<T>
where
    T: DeserializeOwned,
{
    if buf.is_empty() {
        return Frame::End;
    }
    match decode_one(buf) {
        Ok((value, end)) => Frame::Complete(value, end),
        Err(cause) => {
            let rest = |at: usize| &buf[at..];
            let is_frame = |at| leads_to_end(rest(at)) && decode_one::<T>(rest(at)).is_ok();
            if (1..buf.len()).any(is_frame) {
                Frame::Corrupt(cause)
            } else {
                Frame::Torn
            }
        }
    }
}

/// Whether the lengths of the frames from the start of `buf` on lead to its end. This rules out
/// almost all places that are no start of a frame, without a look at the contents.
fn leads_to_end(buf: &[u8]) -> bool {
    let mut rest = buf;
    while rest.len() >= HEADER_BYTES {
        let length = u32::from_le_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        match rest.get(HEADER_BYTES + length..) {
            Some(next) if length > 0 => rest = next,
            _ => return false,
        }
    }
    rest.is_empty() && !buf.is_empty()
}

/// Decodes the frame at the start of `buf`. Returns the value and the size of the frame, or why it
/// can't be read.
fn decode_one<T>(buf: &[u8]) -> Result<(T, usize), String>
where
    T: DeserializeOwned,
{
    if buf.len() < HEADER_BYTES {
        return Err("the header is incomplete".to_string());
    }
    let word = |at: usize| u32::from_le_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
    let (length, checksum) = (word(0) as usize, word(4));
    // An interrupted write may leave zeros, which would pass as an empty frame with its checksum.
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(format!("frame length {length} is not within 1 to {MAX_FRAME_BYTES}"));
    }
    let contents = buf.get(HEADER_BYTES..HEADER_BYTES + length);
    let contents = contents.ok_or_else(|| "the frame is incomplete".to_string())?;
    if crc32fast::hash(contents) != checksum {
        return Err("wrong checksum".to_string());
    }
    let value = postcard::from_bytes(contents).map_err(|e| e.to_string())?;
    Ok((value, HEADER_BYTES + length))
}
