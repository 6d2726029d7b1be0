//! Rates by account: how many jobs are within the rate, and that nothing else changes the count.

use accounts::{Account, AccountBuilder, Accounts, Rates};
use quickcheck::quickcheck;
use std::time::Duration;

const START: Duration = Duration::from_secs(1_000);

fn account(weight: f64) -> Account {
    AccountBuilder::new("river-board").weight(weight).build()
}

/// Counts the jobs that are within the rate, of `count` jobs that arrive evenly in `span`.
fn within(rates: &mut Rates, account: &Account, from: Duration, span: Duration, count: u32) -> u32 {
    let at = |i: u32| from + span * i / count;
    (0..count).filter(|i| rates.count(account, at(*i))).count() as u32
}

/// One account sends 7.5 times its weight for 6.5 s: what is within the rate is its weight and the
/// burst, and right after the flood it may send at its weight again.
#[test]
fn a_flood_gets_the_weight_and_one_burst() {
    let (account, mut rates) = (account(10.0), Rates::default());
    let flood = Duration::from_millis(6_500);
    let got = within(&mut rates, &account, START, flood, 487);
    assert!((84..=86).contains(&got), "{got} of 487 within the rate");
    let after = within(&mut rates, &account, START + flood, Duration::from_secs(5), 50);
    assert!(after >= 49, "{after} of 50 within the rate after the flood");
}

#[test]
fn an_account_without_weight_is_beyond_its_rate_and_a_small_one_is_not() {
    let mut rates = Rates::default();
    assert!(!rates.count(&account(0.0), START));
    assert_eq!(rates.wait(&account(0.0), START), None);
    let small = account(0.1);
    assert!(rates.count(&small, START));
    assert!(!rates.count(&small, START));
    assert_eq!(rates.wait(&small, START), Some(Duration::from_secs(10)));
    assert!(rates.count(&small, START + Duration::from_secs(10)));
}

/// Guards against an account that is beyond its rate for as long as the clock of a new leader is
/// behind that of the last one.
#[test]
fn a_clock_that_is_behind_delays_an_account_by_its_burst_at_most() {
    let (account, mut rates) = (account(10.0), Rates::default());
    assert!(rates.count(&account, START + Duration::from_secs(600)));
    let got = within(&mut rates, &account, START, Duration::from_secs(5), 50);
    assert!(got >= 49, "{got} of 50 within the rate");
}

#[test]
fn accounts_that_are_removed_are_forgotten() {
    let (account, mut rates) = (account(0.5), Rates::default());
    assert!(rates.count(&account, START));
    assert!(!rates.is_within(&account, START));
    rates.keep(&Accounts::default());
    assert!(rates.is_within(&account, START));
}

quickcheck! {
    /// An account that sends at most its weight in any span of 1 s is never beyond its rate,
    /// though its calls are held up for up to 1 s and then arrive together.
    fn what_any_span_allows_is_within_the_rate(seed: u64, weight: u8) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let weight = usize::from(weight % 30) + 1;
        let mut sent: Vec<Duration> = Vec::new();
        let mut at = START;
        while sent.len() < 300 {
            at += Duration::from_millis(rng.u64(0..400));
            let burst = rng.usize(0..=weight);
            for _ in 0..burst {
                let recent = sent.iter().filter(|t| at < **t + Duration::from_secs(1)).count();
                if recent < weight {
                    sent.push(at);
                }
            }
        }
        // Arrivals are held up until the end of the period that they were sent in.
        let held_up = |at: &Duration| Duration::from_secs(at.as_secs() + 1);
        let account = account(weight as f64);
        let mut rates = Rates::default();
        sent.iter().all(|at| rates.count(&account, held_up(at)))
    }
}
