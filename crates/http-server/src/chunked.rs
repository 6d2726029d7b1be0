//! Decoder of chunked bodies (RFC 9112, section 7.1).

use crate::Error;

/// Maximum length of a chunk's size, in hexadecimal digits.
const MAX_SIZE_DIGITS: u32 = 16;
/// Maximum size of the extensions of one chunk, and of all trailers, in bytes.
const MAX_IGNORED_BYTES: usize = 16 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In the digits of a chunk's size, of which there are this many so far.
    Size(u32),
    /// After the size, up to the end of the line.
    Extension,
    /// At the line feed after a chunk's size.
    SizeEnd,
    /// In the data of a chunk.
    Data,
    /// At the carriage return after the data of a chunk.
    DataEnd,
    /// At the line feed after the data of a chunk.
    DataLineFeed,
    /// In the trailers; whether the current line has a byte.
    Trailers(bool),
    Done,
}

/// Decodes a chunked body that arrives in pieces. Extensions and trailers are ignored.
///
/// ```
/// use http_server::ChunkedDecoder;
///
/// let (mut decoder, mut body) = (ChunkedDecoder::new(100), Vec::new());
/// assert_eq!(decoder.decode(b"4;x=y\r\nab", &mut body).unwrap(), 9);
/// assert_eq!(decoder.decode(b"cd\r\n0\r\n\r\nnext", &mut body).unwrap(), 9);
/// assert!(decoder.is_done());
/// assert_eq!(body, b"abcd");
/// ```
#[derive(Clone, Debug)]
pub struct ChunkedDecoder {
    state: State,
    /// Size of the current chunk while it is read, and then what is left of it.
    remaining: u64,
    /// Maximum size of the body, in bytes.
    limit: u64,
    /// Bytes of the current chunk's extensions, or of the trailers so far.
    ignored: usize,
}

impl ChunkedDecoder {
    /// Creates a decoder of a body of at most `limit` bytes.
    pub fn new(limit: u64) -> ChunkedDecoder {
        ChunkedDecoder { state: State::Size(0), remaining: 0, limit, ignored: 0 }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes `input` and appends its data to `body`, which holds what was decoded before. Returns
    /// how many bytes of the input belong to the body and its framing: all, unless the body is
    /// complete.
    ///
    /// # Errors
    ///
    /// [`Error::BodyTooLarge`] as soon as the size of a chunk shows that the body is, and
    /// [`Error::Malformed`].
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<usize, Error> {
        let mut at = 0;
        while at < input.len() && self.state != State::Done {
            if self.state == State::Data {
                let rest = &input[at..];
                let count = rest.len().min(usize::try_from(self.remaining).unwrap_or(usize::MAX));
                body.extend_from_slice(&rest[..count]);
                self.remaining -= count as u64;
                at += count;
                if self.remaining == 0 {
                    self.state = State::DataEnd;
                }
                continue;
            }
            self.state = self.next_state(input[at], body.len() as u64)?;
            at += 1;
        }
        Ok(at)
    }

    /// Returns the state after a byte that is not data.
    fn next_state(&mut self, byte: u8, body_len: u64) -> Result<State, Error> {
        match (self.state, byte) {
            (State::Size(MAX_SIZE_DIGITS), b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F') => {
                Err(malformed("size of a chunk has too many digits"))
            }
            (State::Size(digits), b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F') => {
                let digit = char::from(byte).to_digit(16).unwrap_or_default();
                let size = if digits == 0 { 0 } else { self.remaining << 4 };
                self.remaining = size | u64::from(digit);
                Ok(State::Size(digits + 1))
            }
            (State::Size(1..) | State::Extension, b'\r') => Ok(State::SizeEnd),
            (State::Size(1..), b';' | b' ' | b'\t') => Ok(State::Extension),
            (State::Size(_), _) => Err(malformed("size of a chunk must be hexadecimal")),
            (State::Extension, _) => self.ignore().map(|()| State::Extension),
            (State::SizeEnd, b'\n') => self.start_chunk(body_len),
            (State::DataEnd, b'\r') => Ok(State::DataLineFeed),
            (State::DataLineFeed, b'\n') => Ok(State::Size(0)),
            (State::SizeEnd | State::DataEnd | State::DataLineFeed, _) => {
                Err(malformed("a chunk's size or data must end with a line break"))
            }
            (State::Trailers(false), b'\n') => Ok(State::Done),
            (State::Trailers(true), b'\n') => Ok(State::Trailers(false)),
            (State::Trailers(has_byte), b'\r') => self.ignore().map(|()| State::Trailers(has_byte)),
            (State::Trailers(_), _) => self.ignore().map(|()| State::Trailers(true)),
            (state @ (State::Data | State::Done), _) => Ok(state),
        }
    }

    fn start_chunk(&mut self, body_len: u64) -> Result<State, Error> {
        self.ignored = 0;
        if self.remaining == 0 {
            return Ok(State::Trailers(false));
        }
        if self.remaining > self.limit.saturating_sub(body_len) {
            return Err(Error::BodyTooLarge(self.limit));
        }
        Ok(State::Data)
    }

    /// Counts a byte of an extension or a trailer.
    fn ignore(&mut self) -> Result<(), Error> {
        self.ignored += 1;
        if self.ignored > MAX_IGNORED_BYTES {
            let cause = format!("body: over {MAX_IGNORED_BYTES} bytes of extensions or trailers");
            return Err(Error::Malformed(cause));
        }
        Ok(())
    }
}

fn malformed(cause: &str) -> Error {
    Error::Malformed(format!("body: {cause}"))
}
