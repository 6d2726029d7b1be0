//! Whether a call may go on where it arrives.

use crate::account::{Account, Accounts};
use crate::key::KeyDigest;
use std::time::Duration;

/// Share of the revocation bound for which a confirmed configuration admits callers. The rest covers
/// clocks that run at different rates.
const LEASE_SHARE: f64 = 0.9;
/// A host rejects an unknown key only if its configuration was confirmed within this time, so that a
/// key that was added works everywhere once this time has passed.
const MAX_REJECTION_AGE: Duration = Duration::from_secs(2);

/// Who a caller is, by the configuration that a host holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Claim<'a> {
    /// A caller without an account, where none is needed.
    Anonymous,
    /// The holder of the caller's key.
    Account(&'a Account),
    /// A key is needed, and the caller has none or one that no account holds.
    UnknownKey,
}

impl Accounts {
    /// Looks up the caller of a queue. `open` tells whether callers of the queue need no key.
    ///
    /// ```
    /// use accounts::{AccountBuilder, Accounts, Claim};
    /// let accounts = Accounts::new(vec![AccountBuilder::new("a").key("k").build()]).unwrap();
    /// assert_eq!(accounts.claim(false, None), Claim::UnknownKey);
    /// assert_eq!(accounts.claim(true, None), Claim::Anonymous);
    /// assert_eq!(Accounts::default().claim(false, None), Claim::Anonymous);
    /// ```
    pub fn claim(&self, open: bool, key: Option<&KeyDigest>) -> Claim<'_> {
        match key.and_then(|key| self.holder(key)) {
            Some(account) => Claim::Account(account),
            None if open || self.is_empty() => Claim::Anonymous,
            None => Claim::UnknownKey,
        }
    }
}

/// How far the configuration of a host can be relied on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Time since a moment at which the group had no newer configuration; `None` if there was no
    /// such moment.
    pub age: Option<Duration>,
    /// Whether the group is known to have a newer configuration.
    pub outdated: bool,
    /// Maximum time for which a key works after the configuration that revokes it was acknowledged;
    /// `None` for no limit.
    pub revocation_bound: Option<Duration>,
}

impl Freshness {
    fn is_younger(&self, limit: Duration) -> bool {
        self.age.is_some_and(|age| age < limit)
    }
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admittance {
    /// The call goes on.
    Admitted,
    /// The key is certainly unknown, or missing.
    UnknownKey,
    /// The configuration may be too old to tell; the caller may try again.
    Uncertain,
}

impl Admittance {
    /// Decides about a call.
    ///
    /// ```
    /// use accounts::{Admittance, Claim, Freshness};
    /// use std::time::Duration;
    /// let age = |secs| Freshness { age: Some(Duration::from_secs(secs)), ..Freshness::default() };
    /// assert_eq!(Admittance::decide(Claim::UnknownKey, &age(1)), Admittance::UnknownKey);
    /// assert_eq!(Admittance::decide(Claim::UnknownKey, &age(9)), Admittance::Uncertain);
    /// ```
    pub fn decide(claim: Claim<'_>, freshness: &Freshness) -> Admittance {
        match claim {
            Claim::Anonymous => Admittance::Admitted,
            Claim::UnknownKey if freshness.outdated => Admittance::Uncertain,
            Claim::UnknownKey if freshness.is_younger(MAX_REJECTION_AGE) => Admittance::UnknownKey,
            Claim::UnknownKey => Admittance::Uncertain,
            Claim::Account(_) => match freshness.revocation_bound {
                Some(bound) if !freshness.is_younger(bound.mul_f64(LEASE_SHARE)) => {
                    Admittance::Uncertain
                }
                _ => Admittance::Admitted,
            },
        }
    }
}
