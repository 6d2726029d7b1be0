//! Invalid files: the error states file, line, field and cause, and parsing never panics.

use quickcheck::{Gen, QuickCheck};
use settings::{parse_job, parse_note, Settings};

const GOOD: &str = "host: a-1
zone: zone-a
data: d
worker_lease: 10s
limits:
  body: 2MiB
hosts:
  - {host: a-1, zone: zone-a, peers: 127.0.0.1:1}
  - host: b-1
    zone: zone-b
    peers: 127.0.0.1:2
";

/// Printed settings must parse to the same settings and must not reveal the operator token.
#[test]
fn good_settings_print_and_read_back() {
    let settings = Settings::parse("f", GOOD).unwrap();
    assert_eq!(settings.limits.body, 2 << 20);
    let printed = settings.to_yaml();
    assert!(!printed.contains(settings::DEFAULT_OPERATOR_TOKEN), "the token is printed");
    let again = Settings::parse("f", &printed).unwrap();
    assert_eq!((again.hosts, again.limits), (settings.hosts, settings.limits));
}

/// Each invalid value must be reported with its field and line, so that an operator finds it.
#[test]
fn bad_settings_are_named() {
    let cases = [
        ("worker_lease: 10s", "worker_lease: 1s", "f:4: worker_lease: 1s is shorter than 2s"),
        ("worker_lease: 10s", "worker_lease: soon", "f:4: worker_lease: `soon` is not a time"),
        ("  body: 2MiB", "  body: 2 parsecs", "`parsecs` is not a unit of size"),
        ("  body: 2MiB", "  body: 1TiB", "f:6: limits.body: must be between"),
        ("  body: 2MiB", "  head: 2MiB", "f:6: limits.head: must be between 1024B and"),
        ("  body: 2MiB", "  memory: 1KiB", "f:6: limits.memory: must be at least"),
        ("  body: 2MiB", "  idle_timeout: 1ms", "f:6: limits.idle_timeout: 1ms is shorter"),
        ("worker_lease: 10s", "lease: 10s", "unknown field `lease`"),
        ("host: b-1", "host: a-1", "f:9: hosts[1].host: `a-1` is listed twice"),
        ("zone: zone-b", "zone: 'b:c'", "f:10: hosts[1].zone: `b:c` must not have"),
        ("worker_lease: 10s", "policy: best", "policy: `best` is neither"),
        ("worker_lease: 10s", "log: {level: loud}", "log.level: `loud` is not one of"),
        ("data: d\n", "", "data: a host with a disk needs a directory"),
        ("host: a-1\nzone", "host: c-1\nzone", "f:1: host: `c-1` is not among hosts"),
    ];
    for (old, new, expected) in cases {
        let text = GOOD.replacen(old, new, 1);
        let error = Settings::parse("f", &text).unwrap_err().to_string();
        assert!(error.contains(expected), "{new}: {error}");
        assert!(error.starts_with("f:"), "{new}: {error}");
    }
    let exposed = GOOD.replacen("data: d", "data: d\nlisten: {operators: 0.0.0.0:1}", 1);
    let error = Settings::parse("f", &exposed).unwrap_err().to_string();
    assert!(error.contains("operator_token: needs at least 16"), "{error}");
}

/// Replaces up to 8 bytes of a valid file at a random place and parses the result.
fn damaged(bytes: Vec<u8>, at: usize, length: usize) -> bool {
    for good in [GOOD, "base: 1\nadd:\n  - {team: t, name: n, class: batch, resources: {cpu: 1}}\n"]
    {
        let mut text = good.as_bytes().to_vec();
        let at = at % text.len();
        let end = (at + length % 9).min(text.len());
        text.splice(at..end, bytes.iter().copied());
        let text = String::from_utf8_lossy(&text);
        let _ = Settings::parse("f", &text);
        let _ = parse_note("f", &text);
        let _ = parse_job("f", &text);
    }
    true
}

/// Parsing and the search for a field's line must not panic on truncated or corrupt files.
#[test]
fn damaged_files_never_panic() {
    println!("seed 81");
    let gen = Gen::from_size_and_seed(12, 81);
    let mut check = QuickCheck::new().rng(gen).tests(3_000);
    check.quickcheck(damaged as fn(Vec<u8>, usize, usize) -> bool);
}
