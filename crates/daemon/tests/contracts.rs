//! The interfaces with invalid input, in tables: each gets a clear answer, no request is lost, and
//! the process keeps running.

mod support;

use async_std::task::block_on;
use client::{ClientBuilder, Method};
use serde_json::json;
use standin::Behaviour;
use std::time::Duration;
use support::{ask, is_ready, raw, until, Harness};

const ONE_ZONE: [(&str, usize); 1] = [("a", 1)];

/// Callers must get the right status, outcome and cause, both for invalid requests and for each way
/// in which an upstream can fail. The outcome must agree with what the upstream really ran.
#[test]
fn callers_get_status_outcome_and_cause() {
    block_on(async {
        let mut harness = Harness::new(&ONE_ZONE);
        harness.start().await;
        let upstream = harness.upstream("a").await;
        let callers = harness.cell.hosts[0].caller_client();
        until("requests are served", || async {
            (ask(&callers, "/warm", None).await?.status == 200).then_some(())
        })
        .await;
        let large = vec![b'x'; (1 << 20) + 1];
        type Headers = &'static [(&'static str, &'static str)];
        type Case<'a> = (&'a str, Headers, &'a [u8], u16, &'a str, &'a str);
        let cases: [Case<'_>; 6] = [
            ("/nothing/x", &[], b"", 404, "not-run", "is not in release"),
            ("/", &[], b"", 400, "not-run", "names no service"),
            ("/desk/x", &[("ebonywalk-class", "fast")], b"", 400, "not-run", "class: `fast`"),
            ("/desk/x", &[("ebonywalk-timeout", "soon")], b"", 400, "not-run", "`soon`"),
            ("/desk/x", &[("idempotency-key", "")], b"", 400, "not-run", "idempotency key"),
            ("/desk/x", &[], &large, 413, "not-run", "larger than 1MiB"),
        ];
        for (path, headers, body, status, outcome, cause) in cases {
            let reply = callers.send(Method::Post, path, headers, body.to_vec()).await.unwrap();
            assert_eq!(reply.status, status, "{path} {headers:?}: {}", reply.text());
            assert_eq!(reply.header("ebonywalk-outcome"), Some(outcome), "{path}");
            assert!(reply.text().contains(cause), "{path}: {}", reply.text());
        }
        let ran_before = harness.journal.executions().len();
        let behaviours = [
            (Behaviour::Refuse, 503, "not-run", 0),
            (Behaviour::CloseConnection, 504, "unknown", 1),
            (Behaviour::TruncateBody, 504, "unknown", 1),
            (Behaviour::Fail, 500, "ran", 1),
        ];
        let mut ran = ran_before;
        for (behaviour, status, outcome, runs) in behaviours {
            upstream.set_behaviour(behaviour.clone());
            let reply = ask(&callers, "/x", None).await.unwrap();
            assert_eq!(reply.status, status, "{behaviour:?}: {}", reply.text());
            assert_eq!(reply.header("ebonywalk-outcome"), Some(outcome), "{behaviour:?}");
            if status >= 503 {
                assert!(reply.header("retry-after").is_some(), "{behaviour:?}");
            }
            ran += runs;
            assert_eq!(harness.journal.executions().len(), ran, "{behaviour:?}");
        }
        upstream.set_behaviour(Behaviour::Answer(Duration::ZERO));
        let key = Some("k");
        let first = ask(&callers, "/y", key).await.unwrap();
        let again = ask(&callers, "/y", key).await.unwrap();
        assert_eq!(first.body, again.body);
        assert_eq!(again.header("ebonywalk-replayed"), Some("true"));
        let other = ask(&callers, "/z", key).await.unwrap();
        assert_eq!((other.status, other.header("ebonywalk-outcome")), (422, Some("not-run")));
    });
}

/// Bytes that are not of the port's protocol, endless lines and truncated bodies must not stop the
/// process or make it unready.
#[test]
fn garbage_on_any_port_leaves_the_process_up() {
    block_on(async {
        let mut harness = Harness::new(&ONE_ZONE);
        harness.start().await;
        let host = &harness.cell.hosts[0];
        let platform = harness.cell.platform_addrs("a")[0];
        let long_line = vec![b'a'; 3 << 20];
        let long_head =
            format!("GET / HTTP/1.1\r\nhost: x\r\nlong: {}\r\n\r\n", "y".repeat(17_000));
        let cut_short = b"POST /v1/upstreams HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{}";
        let inputs: [(&str, &[u8], &str); 5] = [
            ("not HTTP", b"\x00\x01\x02\r\n\r\n\r\n", "400 Bad Request"),
            ("an endless line", &long_line, "431 Request Header Fields Too Large"),
            ("a long head", long_head.as_bytes(), "431 Request Header Fields Too Large"),
            ("an old version", b"GET / HTTP/1.0\r\nhost: x\r\n\r\n", "400 Bad Request"),
            ("a body that ends early", cut_short, ""),
        ];
        for addr in [host.callers_addr(), platform, host.operators_addr().0] {
            for (what, bytes, expected) in inputs {
                if expected.is_empty() {
                    let mut stream = std::net::TcpStream::connect(addr).unwrap();
                    std::io::Write::write_all(&mut stream, bytes).unwrap();
                    continue;
                }
                let answer = raw(addr, bytes).await;
                // Closing a connection with unread bytes resets it, which may discard the answer.
                assert!(answer.is_empty() || answer.contains(expected), "{what}: {answer}");
            }
        }
        for bytes in
            [&b"\xff\xff\xff\xffgarbage"[..], b"\x00\x00\x00\x04abcd", b"GET / HTTP/1.1\r\n"]
        {
            raw(host.peers_addr(), bytes).await;
        }
        assert_eq!(is_ready(host).await, Some(()));
    });
}

/// Guards against a request that is taken for the rest of a body that nobody has read.
#[test]
fn a_connection_whose_body_was_not_read_is_closed_after_the_answer() {
    block_on(async {
        let mut harness = Harness::new(&ONE_ZONE);
        harness.start().await;
        let addr = harness.cell.hosts[0].callers_addr();
        let request = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbodyGET / HTTP/1.1";
        let answer = raw(addr, request).await.to_lowercase();
        assert!(answer.starts_with("http/1.1 400"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    });
}

/// A peer with another protocol version must be refused, and messages of a host that is not in the
/// settings must have no effect.
#[test]
fn the_inner_protocol_refuses_other_versions_and_strangers() {
    block_on(async {
        let mut harness = Harness::new(&ONE_ZONE);
        harness.start().await;
        let addr = harness.cell.hosts[0].peers_addr();
        let spawn = |connection| drop(async_std::task::spawn(connection));
        let stranger = wire::Hello { version: host::PROTOCOL_VERSION, host: "stranger".into() };
        let stranger = wire::connect(addr, stranger, spawn).await.unwrap();
        // Messages of a host that settings do not name are dropped.
        let vote = host::PeerMessage::PullRelease(0);
        stranger.deliver(&vec![vote; 10]).await.unwrap();
        let hello = wire::Hello { version: 99, host: "a-1".into() };
        let refused = wire::connect(addr, hello, spawn).await.unwrap_err();
        assert!(refused.to_string().contains("version: 99 is not spoken here"), "{refused}");
        assert_eq!(is_ready(&harness.cell.hosts[0]).await, Some(()));
    });
}

/// Invalid announcements, registrations and heartbeats must be refused with the field and the
/// cause, and messages of an earlier incarnation must not replace a later one.
#[test]
fn bad_requests_of_workers_and_upstreams_are_refused() {
    block_on(async {
        let mut harness = Harness::new(&ONE_ZONE);
        harness.start().await;
        let platform = ClientBuilder::new(harness.cell.platform_addrs("a")[0].to_string()).build();
        let upstream = |field: &str, value: serde_json::Value| {
            let mut body = json!({"upstream": "127.0.0.1:9", "service": "desk", "zone": "a",
                "slots": 4, "connections": 8, "incarnation": 5});
            body[field] = value;
            ("/v1/upstreams", body)
        };
        let worker = |incarnation: u64| {
            let capacity = json!({"cpu": "4", "memory": "8GiB"});
            let body = json!({"worker": "w", "rack": "r", "capacity": capacity,
                "incarnation": incarnation});
            ("/v1/workers", body)
        };
        let heartbeat = |worker: &str, incarnation: u64| {
            ("/v1/workers/heartbeat", json!({"worker": worker, "incarnation": incarnation}))
        };
        let cases = [
            (upstream("incarnation", json!(5)), 200, "done"),
            (upstream("incarnation", json!(4)), 409, "announce with one above 5"),
            (upstream("zone", json!("b")), 400, "zone: `b`"),
            (upstream("upstream", json!("somewhere")), 400, "is not ip:port"),
            (upstream("slots", json!(0)), 400, "slots: must be at least 1"),
            (upstream("connections", json!(2)), 400, "connections: 2 are fewer"),
            (upstream("nonsense", json!(1)), 400, "unknown field `nonsense`"),
            (heartbeat("w", 7), 409, "is not registered"),
            (worker(7), 200, "lease"),
            (worker(6), 409, "incarnation: 6 of worker `w` is over"),
            (heartbeat("w", 6), 409, "register with one above 7"),
            (heartbeat("w", 7), 200, "lease"),
        ];
        for ((path, body), status, text) in cases {
            let bytes = serde_json::to_vec(&body).unwrap();
            let reply = platform.send(Method::Post, path, &[], bytes).await.unwrap();
            assert_eq!(reply.status, status, "{path} {body}: {}", reply.text());
            assert!(reply.text().contains(text), "{path} {body}: {}", reply.text());
        }
    });
}

/// Operators without the token must be refused, and invalid jobs and release notes must be refused
/// with the field and the cause.
#[test]
fn bad_requests_of_operators_are_refused() {
    block_on(async {
        let mut harness = Harness::new(&ONE_ZONE);
        harness.start().await;
        let host = &harness.cell.hosts[0];
        let (addr, token) = host.operators_addr();
        let unauthorized = ClientBuilder::new(addr.to_string()).token("wrong").build();
        for path in ["/v1/status", "/v1/jobs", "/v1/release", "/v1/burn"] {
            let reply = unauthorized.send(Method::Get, path, &[], Vec::new()).await.unwrap();
            assert_eq!(reply.status, 401, "{path}");
            assert!(!reply.text().contains(token));
        }
        let operators = host.operator_client();
        let job = |name: &str| {
            json!({"team": "t", "name": name, "class": "batch",
                "resources": {"cpu": "1", "memory": "1GiB"}})
        };
        let changed = |field: &str, value: serde_json::Value| {
            let mut job = job("changed");
            job[field] = value;
            job
        };
        let note = |body: serde_json::Value| json!({"request": "r", "note": body});
        let cases = [
            ("/v1/jobs", job("one"), 200, "done"),
            ("/v1/jobs", job("one"), 200, "done"),
            (
                "/v1/jobs",
                {
                    let mut other = job("one");
                    other["tasks"] = json!(2);
                    other
                },
                409,
                "exists with another spec",
            ),
            ("/v1/jobs", changed("tasks", json!(0)), 400, "tasks: must be between"),
            ("/v1/jobs", changed("zone", json!("mars")), 400, "zone: `mars` is not a zone"),
            ("/v1/jobs", changed("class", json!("fast")), 400, "unknown variant `fast`"),
            ("/v1/jobs", changed("deadline", json!("soon")), 400, "`soon` is not a time"),
            ("/v1/jobs", changed("resources", json!({"cpu": "many"})), 400, "cpu: `many`"),
            ("/v1/release", note(json!({"base": 7})), 409, "version 1 is in force"),
            ("/v1/release", note(json!({"base": 1, "withdraw": ["x"]})), 400, "withdraw[0]"),
            ("/v1/release", json!({"note": {"base": 1}}), 400, "missing field `request`"),
            ("/v1/release/preview", json!({"base": 1, "add": [job("two")]}), 200, "+ job t/two"),
            ("/v1/workers/a/nobody/drain", json!({"draining": true}), 404, "does not exist"),
        ];
        for (path, body, status, text) in cases {
            let bytes = serde_json::to_vec(&body).unwrap();
            let reply = operators.send(Method::Post, path, &[], bytes).await.unwrap();
            assert_eq!(reply.status, status, "{path} {body}: {}", reply.text());
            assert!(reply.text().contains(text), "{path} {body}: {}", reply.text());
        }
        let metrics = operators.send(Method::Get, "/metrics", &[], Vec::new()).await.unwrap();
        assert!(metrics.text().contains("ebonywalk_release_version"), "{}", metrics.text());
    });
}
