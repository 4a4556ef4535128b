//! Counts of answers and of their times.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A histogram of times in steps of a half power of two.
///
/// Bucket `i` holds the times from 2^(i/2) to 2^((i+1)/2) microseconds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct LatencyHistogram {
    buckets: BTreeMap<u8, u64>,
}

/// Returns the bucket of a time.
fn bucket_of(time: Duration) -> u8 {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1);
    let exponent = micros.ilog2();
    // The upper half of an octave begins at the power of two times the square root of two.
    let squared = u128::from(micros) * u128::from(micros);
    let is_upper = squared >= 1 << (2 * exponent + 1);
    u8::try_from(2 * exponent + u32::from(is_upper)).unwrap_or(u8::MAX)
}

impl LatencyHistogram {
    /// Counts a time.
    pub fn record(&mut self, time: Duration) {
        *self.buckets.entry(bucket_of(time)).or_default() += 1;
    }

    /// Returns the number of times.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.buckets.values().sum()
    }

    /// Returns the bucket that begins nearest to a quantile, given in hundredths; `None` without times.
    #[must_use]
    pub fn quantile_bucket(&self, hundredths: u64) -> Option<u8> {
        let needed = (self.count() * hundredths).div_ceil(100);
        let mut below = 0;
        for (bucket, count) in &self.buckets {
            if below + count >= needed {
                let is_upper_half = 2 * (needed - below) > *count;
                return Some(bucket + u8::from(is_upper_half));
            }
            below += count;
        }
        None
    }

    /// Returns the number of times in a bucket and all above it.
    #[must_use]
    pub fn count_from(&self, bucket: u8) -> u64 {
        self.buckets.range(bucket..).map(|(_, count)| count).sum()
    }

    fn combine(&mut self, other: &Self, combine: impl Fn(u64, u64) -> u64) {
        for (bucket, count) in &other.buckets {
            let own = self.buckets.entry(*bucket).or_default();
            *own = combine(*own, *count);
        }
    }
}

/// What happened to the requests that were sent to one side.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionTally {
    /// The requests that were sent, counted at their first dispatch. Retries and hedges are not counted
    /// here, but their answers are.
    #[serde(default)]
    pub requests: u64,
    /// The answers that arrived, failures included.
    #[serde(default)]
    pub answers: u64,
    /// The answers that were failures of the worker.
    #[serde(default)]
    pub failures: u64,
    /// The answers that were lost.
    #[serde(default)]
    pub lost: u64,
    /// The times of the answers that were no failures: to the first event of a stream, or to the
    /// complete answer.
    #[serde(default)]
    pub times: LatencyHistogram,
}

impl VersionTally {
    /// Counts an answer after `time` that is no failure.
    pub fn record_answer(&mut self, time: Duration) {
        self.answers += 1;
        self.times.record(time);
    }

    /// Counts an answer that is a failure.
    pub const fn record_failure(&mut self) {
        self.answers += 1;
        self.failures += 1;
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, u64::saturating_add);
    }

    /// Takes away earlier counts of the same requests.
    pub fn subtract(&mut self, other: &Self) {
        self.combine(other, u64::saturating_sub);
    }

    /// Takes over the newer of two reports of the same cumulative counts.
    ///
    /// Counts only rise, so the order in which reports arrive does not matter.
    pub fn keep_newest(&mut self, other: &Self) {
        self.combine(other, u64::max);
    }

    fn combine(&mut self, other: &Self, combine: impl Fn(u64, u64) -> u64) {
        self.requests = combine(self.requests, other.requests);
        self.answers = combine(self.answers, other.answers);
        self.failures = combine(self.failures, other.failures);
        self.lost = combine(self.lost, other.lost);
        self.times.combine(&other.times, combine);
    }
}
