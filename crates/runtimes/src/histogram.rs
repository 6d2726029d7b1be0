//! A decaying histogram of run times, some of which are known only as lower bounds.

use serde::{Deserialize, Serialize};

/// All counts are halved when they sum up to this. A change of behaviour has replaced most of what
/// was known after so many runs.
const MAX_RUNS: u32 = 128;

/// Number of runs in one bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Count {
    bucket: u8,
    /// Runs that finished with a time in this bucket.
    finished: u16,
    /// Runs that were ended by others after such a time.
    censored: u16,
}

/// Counts of run times by bucket. Old runs fade as new ones come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Histogram {
    counts: Vec<Count>,
}

impl Histogram {
    /// Counts runs. A censored run took at least as long as its bucket says.
    pub fn record(&mut self, bucket: u8, censored: bool, runs: u16) {
        let found = self.counts.binary_search_by_key(&bucket, |count| count.bucket);
        let at = found.unwrap_or_else(|at| {
            self.counts.insert(at, Count { bucket, ..Count::default() });
            at
        });
        let count = &mut self.counts[at];
        let field = if censored { &mut count.censored } else { &mut count.finished };
        *field = field.saturating_add(runs);
    }

    /// Lets old runs fade. The order of runs that are recorded between two calls does not matter.
    pub fn fade(&mut self) {
        while self.total() >= MAX_RUNS {
            self.halve();
        }
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            count.finished /= 2;
            count.censored /= 2;
        }
        self.counts.retain(|count| count.finished > 0 || count.censored > 0);
    }

    fn total(&self) -> u32 {
        self.counts.iter().map(|c| u32::from(c.finished) + u32::from(c.censored)).sum()
    }

    /// Number of finished runs that still count.
    pub fn finished(&self) -> u32 {
        self.counts.iter().map(|count| u32::from(count.finished)).sum()
    }

    /// Number of finished runs in buckets for which `f` holds.
    pub fn finished_where<F>(&self, f: F) -> u32
    where
        F: Fn(u8) -> bool,
    {
        let matching = self.counts.iter().filter(|count| f(count.bucket));
        matching.map(|count| u32::from(count.finished)).sum()
    }

    /// The share of runs in each bucket by the product-limit estimate, which spreads censored runs
    /// over the longer times. The share left over by a longest run that is censored goes to the
    /// last bucket.
    pub fn shares(&self) -> Vec<(u8, f64)> {
        let mut at_risk = f64::from(self.total());
        let mut surviving = 1.0;
        let mut shares = Vec::with_capacity(self.counts.len());
        for count in &self.counts {
            let ended = surviving * f64::from(count.finished) / at_risk.max(1.0);
            shares.push((count.bucket, ended));
            surviving -= ended;
            at_risk -= f64::from(count.finished) + f64::from(count.censored);
        }
        if let Some(last) = shares.last_mut() {
            last.1 += surviving;
        }
        shares
    }

    /// The bucket below which a share `quantile` of the runs lies; `None` without any run.
    pub fn quantile(&self, quantile: f64) -> Option<u8> {
        let mut sum = 0.0;
        let shares = self.shares();
        let reaches = shares.iter().find(|(_, share)| {
            sum += share;
            sum >= quantile
        });
        reaches.or(shares.last()).map(|(bucket, _)| *bucket)
    }
}
