//! Logarithmic classes of durations.

use std::time::Duration;

/// Buckets in a doubling.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Lower bound of the first bucket, in seconds.
const SHORTEST_SECONDS: f64 = 0.004;
/// Number of buckets; the last one begins at about 37 hours.
pub(crate) const BUCKETS: u8 = 100;
/// Buckets in a class of declared times.
const BUCKETS_PER_CLASS: u8 = 2;

/// The bucket of a duration.
pub(crate) fn bucket(duration: Duration) -> u8 {
    let doublings = (duration.as_secs_f64() / SHORTEST_SECONDS).max(1.0).log2();
    (doublings * BUCKETS_PER_DOUBLING).min(f64::from(BUCKETS - 1)) as u8
}

/// The geometric middle of a bucket.
pub(crate) fn middle(bucket: u8) -> Duration {
    let doublings = (f64::from(bucket) + 0.5) / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(SHORTEST_SECONDS * doublings.exp2())
}

/// The class of declared times in a bucket.
pub(crate) fn class_of(bucket: u8) -> u8 {
    bucket / BUCKETS_PER_CLASS
}
