//! The rate at which each account submits jobs, against its weight.

use crate::account::{Account, Accounts};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{AccountName, SortedMap, Timestamp};

/// Jobs of this much time at the account's weight may come at once. An account that sends at most
/// `weight` jobs in any span of 1 s never exceeds 1 s; the other second covers calls that were held
/// up on their way and arrive together.
const BURST: Duration = Duration::from_secs(2);

/// When each account is expected to send its next job if it sends at its weight.
///
/// This is the generic cell rate algorithm: it keeps one time for an account, and the result
/// depends only on the order and the times of the jobs. A job beyond the rate does not move the
/// time, so that a flood does not delay what the account may send after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rates(SortedMap<AccountName, Timestamp>);

impl Rates {
    /// Counts a job of the account that is accepted at `at`. Returns whether it is within the rate.
    ///
    /// ```
    /// use accounts::{AccountBuilder, Rates};
    /// use std::time::Duration;
    /// let account = AccountBuilder::new("river-board").weight(2.0).build();
    /// let mut rates = Rates::default();
    /// let at = Duration::from_secs(100);
    /// let within = (0..6).filter(|_| rates.count(&account, at)).count();
    /// assert_eq!(within, 4, "two seconds at once");
    /// assert!(rates.count(&account, at + Duration::from_millis(500)), "then two each second");
    /// ```
    pub fn count(&mut self, account: &Account, at: Timestamp) -> bool {
        let Some(interval) = interval(account) else { return false };
        let expected = self.expected(account, at, interval);
        let within = expected + interval <= at + BURST.max(interval);
        let next = if within { expected + interval } else { expected };
        *self.0.get_or_insert_with(account.name.clone(), || next) = next;
        within
    }

    /// Whether a job of the account at `at` would be within the rate.
    pub fn is_within(&self, account: &Account, at: Timestamp) -> bool {
        self.wait(account, at).is_some_and(|wait| wait.is_zero())
    }

    /// Time from `at` until a job of the account is within the rate; `None` if none ever is.
    pub fn wait(&self, account: &Account, at: Timestamp) -> Option<Duration> {
        let interval = interval(account)?;
        let next = self.expected(account, at, interval) + interval;
        Some(next.saturating_sub(at + BURST.max(interval)))
    }

    /// Forgets accounts that are no longer configured.
    pub fn keep(&mut self, accounts: &Accounts) {
        self.0.retain(|name, _| accounts.get(name).is_some());
    }

    /// The expected time. After a change of leader `at` may be of a clock that is behind, so that
    /// the stored time is limited to what `at` allows.
    fn expected(&self, account: &Account, at: Timestamp, interval: Duration) -> Timestamp {
        let stored = self.0.get(account.name.as_str()).copied().unwrap_or_default();
        stored.clamp(at, at + BURST.max(interval))
    }
}

/// Time between two jobs at the account's weight; `None` if it may send none.
fn interval(account: &Account) -> Option<Duration> {
    let seconds = 1.0 / account.weight;
    Duration::try_from_secs_f64(seconds).ok().filter(|interval| !interval.is_zero())
}
