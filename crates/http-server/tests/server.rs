//! A server on loopback: connections that carry several requests, and clients that stand still.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task::{block_on, sleep};
use connections::Connections;
use http_server::{listen, ClientConnection, Handler, Limits, ServerBuilder};
use http_types::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

const BUDGET: usize = 1 << 20;

/// Starts a server that answers with the body of the request.
fn start(limits: Limits) -> (std::net::SocketAddr, Arc<Connections>) {
    let echo: Handler = Arc::new(|mut req| {
        Box::pin(async move {
            let mut res = Response::new(StatusCode::Ok);
            res.set_body(req.take_body().into_bytes().await.unwrap());
            res
        })
    });
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.local_addr().unwrap();
    let connections = Connections::new("clients", BUDGET);
    ServerBuilder::new(&connections, echo)
        .limits(move || limits)
        .max_connections(4)
        .spawn(listener);
    (addr, connections)
}

/// Sends bytes and reads until the server closes the connection.
async fn exchange(addr: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    String::from_utf8(answer).unwrap()
}

/// Requests that are sent without waiting for answers are answered in turn, whatever the framing of
/// their bodies.
#[test]
fn requests_in_one_packet_are_answered_in_turn() {
    block_on(async {
        let (addr, connections) = start(Limits::default());
        let requests = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none\r\n\
             POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n\
             GET / HTTP/1.1\r\nhost: a\r\n\r\n\
             POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 4\r\n\r\nfour";
        let answer = exchange(addr, requests.as_bytes()).await;
        let bodies: Vec<_> = answer.split("HTTP/1.1 200 OK").skip(1).collect();
        assert_eq!(bodies.len(), 4, "{answer}");
        for (answer, body) in bodies.iter().zip(["one", "two", "", "four"]) {
            assert!(answer.ends_with(&format!("\r\n\r\n{body}")), "{answer}");
        }
        while connections.stats().open_connections > 0 {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(connections.stats().held_bytes, 0);
    });
}

/// Guards against buffers that are too small or too large by a byte: bodies of any size come back,
/// whatever their framing.
#[test]
fn bodies_of_any_size_are_received() {
    block_on(async {
        let (addr, _) = start(Limits::default());
        for size in [1, 4_000, 4_095, 4_096, 4_097, 9_000, 65_536, 300_000] {
            let body: String = (0..size).map(|i| char::from(b'a' + (i % 23) as u8)).collect();
            let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";
            let fixed = format!("{head}content-length: {size}\r\n\r\n{body}");
            assert!(exchange(addr, fixed.as_bytes()).await.ends_with(&format!("\n\r\n{body}")));
            for chunk in [7, 4_000, 70_000] {
                let mut text = format!("{head}transfer-encoding: chunked\r\n\r\n");
                for part in body.as_bytes().chunks(chunk) {
                    let part = std::str::from_utf8(part).unwrap();
                    text.push_str(&format!("{:x}\r\n{part}\r\n", part.len()));
                }
                text.push_str("0\r\n\r\n");
                let answer = exchange(addr, text.as_bytes()).await;
                assert!(answer.ends_with(&format!("\n\r\n{body}")), "{size} in {chunk}");
            }
        }
    });
}

#[test]
fn a_client_that_waits_for_the_go_ahead_gets_it() {
    block_on(async {
        let (addr, _) = start(Limits::default());
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let head =
            "POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut buf = [0; 25];
        stream.read_exact(&mut buf).await.unwrap();
        assert_eq!(&buf[..], b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(b"body").await.unwrap();
        let mut buf = [0; 15];
        stream.read_exact(&mut buf).await.unwrap();
        assert_eq!(&buf[..], b"HTTP/1.1 200 OK");
    });
}

/// Heads and bodies that stop are refused with 408 after their limits, and counted by cause.
#[test]
fn requests_that_stop_are_refused() {
    block_on(async {
        let limits = Limits {
            head_timeout: Duration::from_millis(50),
            stall_timeout: Duration::from_millis(50),
            ..Limits::default()
        };
        let (addr, connections) = start(limits);
        let cases = [
            ("GET / HTTP/1.1\r\nhost:", "head: did not arrive"),
            ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nab", "body: did not arrive"),
            (
                "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nab",
                "body: did not arrive",
            ),
        ];
        for (request, cause) in cases {
            let answer = exchange(addr, request.as_bytes()).await;
            assert!(answer.starts_with("HTTP/1.1 408 ") && answer.contains(cause), "{answer}");
        }
        let refused = connections.stats().refused;
        assert_eq!((refused.get("head_late"), refused.get("body_stalled")), (Some(&1), Some(&2)));
    });
}

/// More connections than there are places close the idle ones, and the next request is answered.
#[test]
fn a_full_house_closes_idle_connections() {
    block_on(async {
        let (addr, connections) = start(Limits::default());
        let mut idle = Vec::new();
        for _ in 0..12 {
            idle.push(TcpStream::connect(addr).await.unwrap());
        }
        let request = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let answer = exchange(addr, request.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert!(connections.stats().open_connections <= 4);
        drop(idle);
    });
}

/// A handler can tell whether the client of a request has closed its connection meanwhile, or waits.
#[test]
fn a_client_that_has_left_is_seen() {
    const WAIT: Duration = Duration::from_secs(10);
    block_on(async {
        let (tx, rx) = async_std::channel::unbounded();
        let handler: Handler = Arc::new(move |req| {
            let tx = tx.clone();
            Box::pin(async move {
                let connection = req.ext().get::<ClientConnection>().unwrap();
                tx.send(connection.has_left()).await.unwrap();
                while req.url().path() == "/leaves" && !connection.has_left() {
                    sleep(Duration::from_millis(5)).await;
                }
                tx.send(connection.has_left()).await.unwrap();
                Response::new(StatusCode::Ok)
            })
        });
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let addr = listener.local_addr().unwrap();
        ServerBuilder::new(&Connections::new("clients", BUDGET), handler).spawn(listener);
        let mut stays = TcpStream::connect(addr).await.unwrap();
        stays.write_all(b"GET /stays HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
        assert_eq!((rx.recv().await, rx.recv().await), (Ok(false), Ok(false)));
        let mut leaves = TcpStream::connect(addr).await.unwrap();
        leaves.write_all(b"GET /leaves HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
        assert_eq!(rx.recv().await, Ok(false));
        drop(leaves);
        let left = async_std::future::timeout(WAIT, rx.recv()).await;
        assert_eq!(left, Ok(Ok(true)), "not seen within {WAIT:?}");
    });
}
