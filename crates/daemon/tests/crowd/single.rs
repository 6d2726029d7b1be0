//! Single requests inside the limits of the pages, in calm. Each is served on every address.

use crate::processes::{one_at_a_time, Address, Process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Longest wait for an answer. It is generous, so that a slow machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two parts of a request, so that they arrive apart.
const PAUSE: Duration = Duration::from_millis(20);
/// Largest head that the pages allow, in bytes.
const LARGEST_HEAD: usize = 16_384;

const ADDRESSES: [Address; 7] = [
    Address::Callers,
    Address::Control,
    Address::Readiness,
    Address::Metrics,
    Address::NativeCallers,
    Address::NativeWorkers,
    Address::NativeOperators,
];

/// Sends the parts of a request one after the other and returns the answer. Fails if the connection
/// ends before.
fn exchange(addr: SocketAddr, parts: &[Vec<u8>]) -> Result<String, String> {
    let mut stream = TcpStream::connect(addr).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).and_then(|()| stream.set_read_timeout(Some(TIMEOUT))).unwrap();
    for (i, part) in parts.iter().enumerate() {
        if i > 0 {
            thread::sleep(PAUSE);
        }
        stream.write_all(part).map_err(|e| format!("part {i}: {e}"))?;
    }
    read_answer(&mut stream)
}

/// Reads one answer with a `content-length`.
fn read_answer(stream: &mut TcpStream) -> Result<String, String> {
    let mut answer = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&answer).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let length = head.split("content-length: ").nth(1).expect("answers have a length");
            let length: usize = length.split("\r\n").next().unwrap().parse().unwrap();
            if body.len() >= length {
                return Ok(text);
            }
        }
        match stream.read(&mut buf) {
            Ok(0) => return Err(format!("the connection ended after {answer:?}")),
            Ok(count) => answer.extend_from_slice(&buf[..count]),
            Err(e) => return Err(format!("{e} after {answer:?}")),
        }
    }
}

/// Sends the requests that `parts` makes for each address, and expects each to be served.
fn served<F>(addresses: &[Address], parts: F)
where
    F: Fn(Address) -> Vec<Vec<u8>>,
{
    all_served(addresses, 1, |address, _| parts(address));
}

/// The same with several variants of the request.
fn all_served<F>(addresses: &[Address], variants: usize, parts: F)
where
    F: Fn(Address, usize) -> Vec<Vec<u8>>,
{
    let _alone = one_at_a_time();
    let mut failures = Vec::new();
    for is_native in [false, true] {
        let addresses: Vec<_> =
            addresses.iter().copied().filter(|a| a.is_native() == is_native).collect();
        let Some(first) = addresses.first() else { continue };
        let process = Process::start(*first);
        for address in addresses {
            for variant in 0..variants {
                match exchange(process.addr(address), &parts(address, variant)) {
                    Ok(answer) if answer.starts_with("HTTP/1.1 200 ") => {}
                    other => failures.push(format!("{address:?} {variant}: {other:?}")),
                }
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

fn with_bodies() -> Vec<Address> {
    let bodies = |a: &Address| !matches!(a, Address::Readiness | Address::Metrics);
    ADDRESSES.into_iter().filter(bodies).collect()
}

/// A request without a body, with these bytes between its first lines and its end.
fn with_fields(address: Address, fields: &str) -> Vec<u8> {
    let body = address.small_body();
    let length =
        if body.is_empty() { String::new() } else { format!("content-length: {}\r\n", body.len()) };
    format!("{}{length}{fields}\r\n{body}", address.served_request()).into_bytes()
}

/// Name of a field. Those to native callers' address are not forwarded, as the stand-in for an
/// upstream takes only small heads.
fn field_name(address: Address, i: usize) -> String {
    if address == Address::NativeCallers {
        "te".to_string()
    } else {
        format!("f{i}")
    }
}

/// A head and the parts of its body, sent chunked.
fn chunked(address: Address, body: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let head = format!("{}transfer-encoding: chunked\r\n\r\n", address.served_request());
    [vec![head.into_bytes()], body.to_vec()].concat()
}

/// The ordinary body of an address, filled up with white space to the largest legal size.
fn largest_body(address: Address) -> Vec<u8> {
    let mut body = address.small_body().into_bytes();
    body.resize(address.body_limit(), b' ');
    body
}

#[test]
fn a_head_of_the_largest_size_is_served() {
    served(&ADDRESSES, |address| {
        let body = address.small_body().len();
        let fixed = with_fields(address, "").len() - body;
        let mut fields = String::new();
        while fixed + fields.len() < LARGEST_HEAD - 4_000 {
            let name = field_name(address, fields.len());
            fields.push_str(&format!("{name}: {}\r\n", "y".repeat(2_000)));
        }
        let rest = LARGEST_HEAD - fixed - fields.len() - "te: \r\n".len();
        fields.push_str(&format!("te: {}\r\n", "y".repeat(rest)));
        let request = with_fields(address, &fields);
        assert_eq!(request.len() - body, LARGEST_HEAD);
        vec![request]
    });
}

#[test]
fn a_head_of_many_fields_is_served() {
    served(&ADDRESSES, |address| {
        let fields = (0..1_000).map(|i| format!("{}: y\r\n", field_name(address, i)));
        let fields: String = fields.collect();
        vec![with_fields(address, &fields)]
    });
}

#[test]
fn a_head_in_pieces_is_served() {
    served(&ADDRESSES, |address| with_fields(address, "").chunks(20).map(<[u8]>::to_vec).collect());
}

#[test]
fn a_request_after_two_empty_lines_is_served() {
    served(&ADDRESSES, |address| vec![[&b"\r\n\r\n"[..], &with_fields(address, "")].concat()]);
}

#[test]
fn a_body_of_the_largest_size_is_served() {
    served(&with_bodies(), |address| {
        let body = largest_body(address);
        let head = format!("{}content-length: {}\r\n\r\n", address.served_request(), body.len());
        vec![[head.into_bytes(), body].concat()]
    });
}

#[test]
fn a_body_in_pieces_is_served() {
    served(&with_bodies(), |address| {
        let body = largest_body(address);
        let head = format!("{}content-length: {}\r\n\r\n", address.served_request(), body.len());
        let pieces = body.chunks(body.len() / 20).map(<[u8]>::to_vec);
        [head.into_bytes()].into_iter().chain(pieces).collect()
    });
}

#[test]
fn a_body_in_large_chunks_is_served() {
    served(&with_bodies(), |address| {
        let body = largest_body(address);
        let mut bytes = Vec::new();
        for chunk in body.chunks(64 << 10) {
            bytes.extend_from_slice(format!("{:X}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        chunked(address, &[bytes])
    });
}

#[test]
fn a_body_in_one_byte_chunks_is_served() {
    served(&with_bodies(), |address| {
        let mut bytes = Vec::new();
        for byte in largest_body(address) {
            bytes.extend_from_slice(&[b'1', b'\r', b'\n', byte, b'\r', b'\n']);
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        chunked(address, &[bytes])
    });
}

#[test]
fn a_chunked_body_whose_end_comes_apart_is_served() {
    const END: &[u8] = b"\r\n0\r\n\r\n";
    all_served(&with_bodies(), END.len() - 1, |address, variant| {
        let body = address.small_body();
        let (first, second) = END.split_at(variant + 1);
        let chunk = [format!("{:x}\r\n{body}", body.len()).as_bytes(), first].concat();
        chunked(address, &[chunk, second.to_vec()])
    });
}

#[test]
fn a_chunked_body_with_extensions_and_trailers_is_served() {
    served(&with_bodies(), |address| {
        let body = address.small_body();
        let chunk =
            format!("{:x};a=b;c=\"d\"\r\n{body}\r\n0;last\r\nx-sum: 1\r\nx: 2\r\n\r\n", body.len());
        chunked(address, &[chunk.into_bytes()])
    });
}

/// The client sends all of a body over the limit before it reads the answer.
#[test]
fn a_refusal_of_a_body_over_the_limit_arrives() {
    refused(&with_bodies(), " 413 ", |address| {
        let head = format!("{}content-length: 9000000\r\n\r\n", address.served_request());
        [head.into_bytes(), vec![b' '; 300_000]].concat()
    });
}

#[test]
fn a_refusal_of_a_head_over_the_limit_arrives() {
    refused(&ADDRESSES, " 431 ", |address| {
        let fields = format!("long: {}\r\n", "y".repeat(300_000));
        format!("{}{fields}\r\n", address.served_request()).into_bytes()
    });
}

/// Sends a request and expects this status to arrive.
fn refused<F>(addresses: &[Address], status: &str, request: F)
where
    F: Fn(Address) -> Vec<u8>,
{
    let _alone = one_at_a_time();
    let mut failures = Vec::new();
    for is_native in [false, true] {
        let addresses: Vec<_> =
            addresses.iter().copied().filter(|a| a.is_native() == is_native).collect();
        let process = Process::start(addresses[0]);
        for address in addresses {
            match exchange(process.addr(address), &[request(address)]) {
                Ok(answer) if answer.starts_with(&format!("HTTP/1.1{status}")) => {}
                other => failures.push(format!("{address:?}: {other:?}")),
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
