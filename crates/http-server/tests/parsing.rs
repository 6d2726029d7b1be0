//! Heads and chunked bodies that arrive in any pieces.

use http_server::{ChunkedDecoder, Error, Framing, Head, HeadScanner};

/// Scans `bytes` as they arrive one by one. Returns the head.
fn scan(bytes: &[u8]) -> Result<Option<Vec<u8>>, Error> {
    let mut scanner = HeadScanner::default();
    for end in 1..=bytes.len() {
        if let Some(range) = scanner.scan(&bytes[..end])? {
            return Ok(Some(bytes[range].to_vec()));
        }
    }
    Ok(None)
}

#[test]
fn a_head_ends_with_an_empty_line_and_few_may_come_before() {
    let head = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
    for empty_lines in 0..=4 {
        let bytes = [&b"\r\n".repeat(empty_lines), &head[..], b"body"].concat();
        assert_eq!(scan(&bytes).unwrap().as_deref(), Some(&head[..]));
    }
    assert!(matches!(scan(&b"\r\n".repeat(5)), Err(Error::Malformed(_))));
    assert!(matches!(scan(&b"\n".repeat(5)), Err(Error::Malformed(_))));
    assert_eq!(scan(&head[..head.len() - 1]).unwrap(), None);
}

#[test]
fn a_bad_head_is_refused_by_part_and_cause() {
    let cases = [
        ("GET / HTTP/1.0\r\nhost: a\r\n", "version: must be HTTP/1.1"),
        ("HELLO / HTTP/1.1\r\nhost: a\r\n", "method: is not known"),
        ("GET / HTTP/1.1\r\n", "host: is missing"),
        ("GET x HTTP/1.1\r\nhost: a\r\n", "target: must be"),
        ("GET / HTTP/1.1\r\nhost: a b\r\n", "target: "),
        ("GET / HTTP/1.1\r\nhost: a\r\nx: \u{e9}\r\n", "x: must be ASCII"),
        ("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: +1\r\n", "content-length: is not"),
        ("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 1, 1\r\n", "content-length: is not"),
        ("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\nContent-Length: 2\r\n", "differs"),
        (
            "GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n",
            "must not come with",
        ),
        ("GET / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n", "transfer-encoding: must be"),
        ("GET / HTTP/1.1\r\nhost: a\r\n: x\r\n", "head: "),
    ];
    for (lines, cause) in cases {
        let e = Head::parse(format!("{lines}\r\n").as_bytes()).unwrap_err();
        assert!(e.to_string().contains(cause), "{lines}: {e}");
    }
}

#[test]
fn a_head_of_many_fields_is_parsed_and_its_memory_estimated() {
    let fields: String = (0..4_000).map(|i| format!("f{i}: y\r\n")).collect();
    let text = format!("POST /x?q=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n{fields}\r\n");
    let head = Head::parse(text.as_bytes()).unwrap();
    assert_eq!(head.framing, Framing::Length(7));
    assert_eq!(head.request.header("f3999").unwrap().as_str(), "y");
    assert!(head.footprint > 4_000 * 200, "{}", head.footprint);
    let text = "POST / HTTP/1.1\r\nhost: a\r\nTransfer-Encoding: Chunked\r\n\
                connection: x, Close\r\nexpect: 100-Continue\r\n\r\n";
    let head = Head::parse(text.as_bytes()).unwrap();
    assert_eq!((head.framing, head.close, head.expects_continue), (Framing::Chunked, true, true));
}

/// Decodes `bytes` in pieces of at most `piece` bytes.
fn decode(bytes: &[u8], piece: usize, limit: u64) -> Result<(Vec<u8>, bool, usize), Error> {
    let (mut decoder, mut body, mut used) = (ChunkedDecoder::new(limit), Vec::new(), 0);
    for part in bytes.chunks(piece) {
        used += decoder.decode(part, &mut body)?;
    }
    Ok((body, decoder.is_done(), used))
}

quickcheck::quickcheck! {
    /// A body comes out as it was sent, whatever its chunks and the pieces in which they arrive.
    fn any_chunking_is_decoded(chunks: Vec<Vec<u8>>, piece: usize, extended: bool) -> bool {
        let mut bytes = Vec::new();
        for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
            let extension = if extended { " ;a=\"b\"" } else { "" };
            bytes.extend_from_slice(format!("{:x}{extension}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(if extended { b"000;x\r\nsum: 1\r\n\r\n" } else { b"0\r\n\r\n" });
        let framed = bytes.len();
        bytes.extend_from_slice(b"GET / HTTP/1.1\r\n");
        let body = chunks.concat();
        let decoded = decode(&bytes, piece % 50 + 1, body.len() as u64).unwrap();
        decoded == (body, true, framed)
    }

    /// Garbage is refused or waits for more, and never makes more than the limit.
    fn any_bytes_are_decoded_within_the_limit(bytes: Vec<u8>, piece: usize) -> bool {
        decode(&bytes, piece % 50 + 1, 10).map_or(true, |(body, ..)| body.len() <= 10)
    }
}

/// Extensions are bounded for each chunk, since small chunks have many of them.
#[test]
fn each_chunk_may_have_extensions() {
    let body = vec![b'x'; 50_000];
    let mut bytes = b"1;a=b\r\nx\r\n".repeat(body.len());
    bytes.extend_from_slice(b"0\r\n\r\n");
    assert_eq!(decode(&bytes, 4_096, body.len() as u64).unwrap(), (body, true, bytes.len()));
}

#[test]
fn bad_chunks_are_refused() {
    let malformed: [&[u8]; 8] = [
        b"\r\n",
        b"x\r\n",
        b"-1\r\n",
        b"1\n",
        b"1\r\nab",
        b"1\r\na\n",
        b"00000000000000001\r\n",
        b"1\rx",
    ];
    for bytes in malformed {
        assert!(matches!(decode(bytes, 1, 100), Err(Error::Malformed(_))), "{bytes:?}");
    }
    let too_large: [&[u8]; 3] = [b"65\r\n", b"ffffffffffffffff\r\n", b"64\r\n"];
    for bytes in too_large {
        assert!(matches!(decode(bytes, 1, 99), Err(Error::BodyTooLarge(99))), "{bytes:?}");
    }
    let extension = [&b"1;"[..], &b"x".repeat(20_000)].concat();
    let trailers = [&b"0\r\n"[..], &b"x: y\r\n".repeat(5_000)].concat();
    for bytes in [extension, trailers] {
        assert!(matches!(decode(&bytes, 4_096, 100), Err(Error::Malformed(_))));
    }
}
