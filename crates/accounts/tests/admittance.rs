//! What becomes of a call, for every kind of key and every state of a host's configuration.

use accounts::{Account, AccountBuilder, Accounts, Admittance, Claim, Freshness, KeyDigest};
use std::time::Duration;
use Admittance::{Admitted, Uncertain, UnknownKey};

const BOUND: Duration = Duration::from_secs(5);

fn accounts() -> Accounts {
    let account = |name: &str, keys: &[&str]| -> Account {
        keys.iter().fold(AccountBuilder::new(name), |account, key| account.key(key)).build()
    };
    Accounts::new(vec![account("a", &["a1", "a2"]), account("b", &["b1"]), account("c", &[])])
        .unwrap()
}

fn freshness(age: Option<u64>, outdated: bool) -> Freshness {
    let age = age.map(Duration::from_millis);
    Freshness { age, outdated, revocation_bound: Some(BOUND) }
}

/// A row: key, whether the queue is open, holder, and what becomes of the call on a host that is
/// sure, on one that was sure 3 s ago, and on one that was sure 6 s ago.
type Row = (Option<&'static str>, bool, Option<&'static str>, [Admittance; 3]);

#[test]
fn each_key_gets_what_the_host_can_be_sure_of() {
    let known = [Admitted, Admitted, Uncertain];
    let unknown = [UnknownKey, Uncertain, Uncertain];
    let rows: [Row; 13] = [
        (Some("a1"), false, Some("a"), known),
        (Some("a2"), false, Some("a"), known),
        (Some("b1"), false, Some("b"), known),
        (Some("a1"), true, Some("a"), known),
        (None, false, None, unknown),
        (Some(""), false, None, unknown),
        (Some("a"), false, None, unknown),
        (Some("A1"), false, None, unknown),
        (Some("a1 "), false, None, unknown),
        (Some("a1a2"), false, None, unknown),
        (Some("c"), false, None, unknown),
        (Some("guess"), true, None, [Admitted; 3]),
        (None, true, None, [Admitted; 3]),
    ];
    let accounts = accounts();
    for (key, open, holder, expected) in rows {
        let digest = key.map(KeyDigest::of);
        let claim = accounts.claim(open, digest.as_ref());
        let name = match claim {
            Claim::Account(account) => Some(account.name.as_str()),
            _ => None,
        };
        assert_eq!(name, holder, "{key:?}");
        let decided =
            [100, 3_000, 6_000].map(|age| Admittance::decide(claim, &freshness(Some(age), false)));
        assert_eq!(decided, expected, "{key:?}, open: {open}");
        let never = Admittance::decide(claim, &freshness(None, false));
        assert_eq!(never, expected[2], "{key:?}, open: {open}, never confirmed");
    }
}

#[test]
fn a_host_that_is_behind_rejects_no_key() {
    let accounts = accounts();
    let behind = freshness(Some(10), true);
    assert_eq!(Admittance::decide(accounts.claim(false, None), &behind), Uncertain);
    let key = KeyDigest::of("a1");
    assert_eq!(Admittance::decide(accounts.claim(false, Some(&key)), &behind), Admitted);
}

#[test]
fn a_known_key_is_admitted_for_over_six_tenths_of_the_bound_and_not_for_all_of_it() {
    let accounts = accounts();
    let key = KeyDigest::of("a1");
    let claim = accounts.claim(false, Some(&key));
    for (share, expected) in
        [(0.6, Admitted), (0.89, Admitted), (0.95, Uncertain), (1.0, Uncertain)]
    {
        let age = Some(BOUND.mul_f64(share));
        let freshness = Freshness { age, outdated: false, revocation_bound: Some(BOUND) };
        assert_eq!(Admittance::decide(claim, &freshness), expected, "{share} of the bound");
    }
    let unbounded = Freshness { age: None, outdated: false, revocation_bound: None };
    assert_eq!(Admittance::decide(claim, &unbounded), Admitted);
}

#[test]
fn without_accounts_every_call_is_admitted() {
    let none = Accounts::default();
    for key in [None, Some(KeyDigest::of("a1"))] {
        let claim = none.claim(false, key.as_ref());
        assert_eq!(Admittance::decide(claim, &freshness(None, true)), Admitted);
    }
}

#[test]
fn no_debug_output_shows_a_key() {
    let account = AccountBuilder::new("a").key("s3cret-key").build();
    let accounts = Accounts::new(vec![account]).unwrap();
    let text = format!("{accounts:?} {:?}", KeyDigest::of("s3cret-key"));
    assert!(!text.contains("s3cret"), "{text}");
}
