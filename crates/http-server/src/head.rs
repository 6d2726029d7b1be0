//! Heads of requests: finds their end while they arrive, and parses them.

use crate::Error;
use http_types::headers::{HeaderName, HeaderValue};
use http_types::{Method, Request, Url, Version};

/// Maximum number of empty lines before a request. RFC 9112, section 2.2, asks servers to ignore at
/// least one.
const MAX_EMPTY_LINES: usize = 4;
/// Most fields that a head is first parsed with. A head with more is parsed again.
const USUAL_FIELDS: usize = 32;
/// Fewest bytes of a field: a name of one byte, a colon and the end of the line.
const MIN_FIELD_BYTES: usize = 4;
/// Memory that a parsed field takes in addition to its bytes, at most.
const FIELD_OVERHEAD: usize = 256;
/// Memory that a request takes in addition to its head and its body.
const REQUEST_OVERHEAD: usize = 1 << 10;

/// Finds the end of a head in bytes that arrive in pieces. Looks at each byte once.
///
/// ```
/// use http_server::HeadScanner;
///
/// let mut scanner = HeadScanner::default();
/// assert_eq!(scanner.scan(b"\r\nGET / HTTP/1.1\r\n").unwrap(), None);
/// assert_eq!(scanner.scan(b"\r\nGET / HTTP/1.1\r\n\r\nbody").unwrap(), Some(2..20));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HeadScanner {
    scanned: usize,
    /// Where the request line begins, after empty lines.
    start: usize,
    empty_lines: usize,
    /// Where the current line begins.
    line_start: usize,
}

impl HeadScanner {
    /// Looks at the bytes that have arrived since the last call; `buf` holds the earlier ones too.
    /// Returns where the head is once it is complete.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if too many empty lines come first.
    pub fn scan(&mut self, buf: &[u8]) -> Result<Option<std::ops::Range<usize>>, Error> {
        while let Some(offset) = buf[self.scanned..].iter().position(|byte| *byte == b'\n') {
            let line_end = self.scanned + offset;
            let line = &buf[self.line_start..line_end];
            self.scanned = line_end + 1;
            self.line_start = self.scanned;
            if !line.is_empty() && line != b"\r" {
                continue;
            }
            let before_request = self.start + line.len() + 1 == self.scanned;
            if !before_request {
                return Ok(Some(self.start..self.scanned));
            }
            self.start = self.scanned;
            self.empty_lines += 1;
            if self.empty_lines > MAX_EMPTY_LINES {
                let cause = format!("request line: more than {MAX_EMPTY_LINES} empty lines before");
                return Err(Error::Malformed(cause));
            }
        }
        self.scanned = buf.len();
        Ok(None)
    }

    /// Number of bytes of the head that have arrived, without empty lines before it.
    pub fn head_len(&self, buf: &[u8]) -> usize {
        buf.len() - self.start
    }
}

/// How the length of a body is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Length in bytes; 0 for a request without a body.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
}

/// A parsed head.
#[derive(Debug)]
pub struct Head {
    /// The request, without its body.
    pub request: Request,
    /// How the length of the body is given.
    pub framing: Framing,
    /// Whether the client waits for a `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether the client wants the connection to be closed after the response.
    pub close: bool,
    /// Estimate of the memory that the request takes without its body, in bytes.
    pub footprint: usize,
}

impl Head {
    /// Parses a complete head.
    ///
    /// ```
    /// use http_server::{Framing, Head};
    ///
    /// let head = Head::parse(b"PUT /x HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n").unwrap();
    /// assert_eq!(head.framing, Framing::Length(5));
    /// assert_eq!(head.request.url().path(), "/x");
    /// ```
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`], which names the part of the head and the cause.
    pub fn parse(bytes: &[u8]) -> Result<Head, Error> {
        let mut fields = vec![httparse::EMPTY_HEADER; USUAL_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let mut status = parsed.parse(bytes);
        if status == Err(httparse::Error::TooManyHeaders) {
            fields = vec![httparse::EMPTY_HEADER; bytes.len() / MIN_FIELD_BYTES + 1];
            parsed = httparse::Request::new(&mut fields);
            status = parsed.parse(bytes);
        }
        match status {
            Ok(status) if status.is_complete() => {}
            Ok(_) => return Err(malformed("head", "ends early")),
            Err(e) => return Err(malformed("head", e)),
        }
        if parsed.version != Some(1) {
            return Err(malformed("version", "must be HTTP/1.1"));
        }
        let method = parsed.method.unwrap_or_default();
        let method: Method = method.parse().map_err(|_| malformed("method", "is not known"))?;
        let url = url(method, parsed.path.unwrap_or_default(), parsed.headers)?;
        let mut request = Request::new(method, url);
        request.set_version(Some(Version::Http1_1));
        for field in parsed.headers.iter() {
            let name = HeaderName::from_bytes(field.name.into());
            let value = HeaderValue::from_bytes(field.value.into());
            match (name, value) {
                (Ok(name), Ok(value)) => request.append_header(name, value),
                _ => return Err(malformed(field.name, "must be ASCII")),
            }
        }
        let contains = |name: &str, token: &str| {
            fields_of(parsed.headers, name).any(|value| {
                let mut tokens = value.split(|byte| *byte == b',');
                tokens.any(|t| t.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
            })
        };
        let footprint = bytes.len() + parsed.headers.len() * FIELD_OVERHEAD + REQUEST_OVERHEAD;
        Ok(Head {
            framing: framing(parsed.headers)?,
            expects_continue: contains("expect", "100-continue"),
            close: contains("connection", "close"),
            footprint,
            request,
        })
    }
}

fn malformed<E>(part: &str, cause: E) -> Error
where
    E: std::fmt::Display,
{
    Error::Malformed(format!("{part}: {cause}"))
}

/// Values of the fields of this name, in order.
fn fields_of<'a>(
    fields: &'a [httparse::Header<'_>],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> {
    fields.iter().filter(move |f| f.name.eq_ignore_ascii_case(name)).map(|f| f.value)
}

/// Returns the URL of a request, whose host is in a field of its own unless the target names it.
fn url(method: Method, target: &str, fields: &[httparse::Header<'_>]) -> Result<Url, Error> {
    let host = fields_of(fields, "host").next().ok_or_else(|| malformed("host", "is missing"))?;
    let host = std::str::from_utf8(host).map_err(|_| malformed("host", "must be ASCII"))?;
    let text = if target.starts_with("http://") || target.starts_with("https://") {
        target.to_string()
    } else if target.starts_with('/') {
        format!("http://{host}{target}")
    } else if method == Method::Connect {
        format!("http://{target}/")
    } else {
        return Err(malformed("target", "must be a path or an absolute URL"));
    };
    Url::parse(&text).map_err(|e| malformed("target", e))
}

/// Returns how the length of the body is given. A head that gives it in two ways is refused, as
/// another reader could take a part of the body for the next request.
fn framing(fields: &[httparse::Header<'_>]) -> Result<Framing, Error> {
    let mut lengths = fields_of(fields, "content-length");
    let mut codings = fields_of(fields, "transfer-encoding");
    let (length, coding) = (lengths.next(), codings.next());
    match (length, coding) {
        (None, None) => Ok(Framing::Length(0)),
        (Some(_), Some(_)) => {
            Err(malformed("content-length", "must not come with transfer-encoding"))
        }
        (None, Some(coding)) => {
            if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
                return Err(malformed("transfer-encoding", "must be chunked"));
            }
            Ok(Framing::Chunked)
        }
        (Some(length), None) => {
            if lengths.any(|other| other != length) {
                return Err(malformed("content-length", "differs between fields"));
            }
            let is_number = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(length).ok().filter(|_| is_number);
            let length = text.and_then(|text| text.parse().ok());
            length
                .map(Framing::Length)
                .ok_or_else(|| malformed("content-length", "is not a length"))
        }
    }
}
