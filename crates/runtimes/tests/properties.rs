//! Properties of histograms.

use quickcheck::QuickCheck;
use runtimes::Histogram;

fn filled(runs: &[(u8, bool)]) -> Histogram {
    let mut histogram = Histogram::default();
    runs.iter().for_each(|(bucket, censored)| histogram.record(*bucket % 100, *censored, 1));
    histogram
}

#[test]
fn shares_sum_up_to_one() {
    fn property(runs: Vec<(u8, bool)>) -> bool {
        let shares = filled(&runs).shares();
        let sum: f64 = shares.iter().map(|(_, share)| share).sum();
        shares.is_empty() || (sum - 1.0).abs() < 1e-9
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn quantiles_rise_and_lie_among_the_recorded_runs() {
    fn property(runs: Vec<(u8, bool)>) -> bool {
        let histogram = filled(&runs);
        let found: Vec<u8> =
            (0..=10).filter_map(|tenth| histogram.quantile(f64::from(tenth) / 10.0)).collect();
        found.is_sorted() && found.iter().all(|q| runs.iter().any(|(bucket, _)| bucket % 100 == *q))
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn a_censored_run_never_lowers_a_quantile() {
    fn property(runs: Vec<u8>, at: u8, tenth: u8) -> bool {
        let runs: Vec<(u8, bool)> = runs.iter().take(100).map(|bucket| (*bucket, false)).collect();
        let quantile = f64::from(tenth % 10 + 1) / 10.0;
        let before = filled(&runs);
        let mut after = before.clone();
        after.record(at % 100, true, 1);
        before.quantile(quantile).is_none_or(|before| after.quantile(quantile) >= Some(before))
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u8>, u8, u8) -> bool);
}
