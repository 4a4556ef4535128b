//! Quarantine of requests that crash the workers that run them.
//!
//! When a worker crashes, a crash is recorded for the content digest of every request that was
//! running on it, once for equal requests. A request whose digest has a crash on record is a suspect
//! and runs alone on a worker, so that a further crash can't be due to another request. Once a digest
//! has [`CRASH_THRESHOLD`] crashes, requests with it are refused for [`QUARANTINE_TIME`]. The record
//! of a digest is removed when a request with it finishes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockTime;
use crate::name::WorkerName;

/// The number of crashes at which requests with a digest are refused.
pub const CRASH_THRESHOLD: u8 = 2;

/// The time for which a digest stays on record after the last increase of its crash count.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// The maximum number of digests on record on one host; the oldest records are evicted.
pub const MAX_DIGESTS: usize = 10_000;

/// The time within which reports of a crash of one worker mean the same crash; a worker takes longer
/// to start again.
pub const CRASH_MERGE_TIME: Duration = Duration::from_secs(1);

/// The maximum number of digests that are reported to a host when a link to it is opened.
pub const MAX_REPORTED_DIGESTS: usize = 64;

/// How a request may be run, given the crashes recorded for its content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineVerdict {
    /// No crash is on record for the content.
    Clear,
    /// The content may have crashed a worker and must run alone.
    Suspect,
    /// The content has reached [`CRASH_THRESHOLD`].
    Refused {
        /// The remaining time of the quarantine.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct CrashRecord {
    crashes: u8,
    /// The worker that crashed last, and when that was recorded here.
    worker: WorkerName,
    recorded_at: ClockTime,
    expires_at: ClockTime,
}

/// The crashes on record for a digest, as one host reports them to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashCount {
    /// The digest of the content of requests.
    pub digest: u64,
    /// The number of crashes.
    pub crashes: u8,
    /// The worker that crashed last.
    pub worker: WorkerName,
    /// The time for which the crashes stay on record.
    pub remaining: Duration,
}

/// The worker crashes by content digest, as known to one host.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::quarantine::CrashRegister;
/// use borageladder_kernel::quarantine::QuarantineVerdict;
///
/// # fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let mut register = CrashRegister::default();
/// register.record_crash(7, &"engine-1".parse()?, ClockTime::ZERO);
/// assert_eq!(register.verdict(7, ClockTime::ZERO), QuarantineVerdict::Suspect);
/// register.record_crash(7, &"engine-2".parse()?, ClockTime::ZERO);
/// assert!(matches!(register.verdict(7, ClockTime::ZERO), QuarantineVerdict::Refused { .. }));
/// # Ok(())
/// # }
/// ```
#[derive(Debug, Default)]
pub struct CrashRegister {
    records: BTreeMap<u64, CrashRecord>,
}

impl CrashRegister {
    /// Records the crash of a worker for a digest and returns the report for the other hosts; `None`
    /// if the same crash is on record already, from another request with the digest.
    pub fn record_crash(
        &mut self,
        digest: u64,
        worker: &WorkerName,
        now: ClockTime,
    ) -> Option<CrashCount> {
        let is_same = |record: &CrashRecord| {
            record.worker == *worker && now.since(record.recorded_at) < CRASH_MERGE_TIME
        };
        if self.records.get(&digest).is_some_and(is_same) {
            return None;
        }
        let count = CrashCount {
            digest,
            crashes: self.crashes(digest, now).saturating_add(1),
            worker: worker.clone(),
            remaining: QUARANTINE_TIME,
        };
        self.merge(&count, now);
        Some(count)
    }

    /// Merges the crash count reported by another host; returns whether it exceeds the count on
    /// record.
    pub fn merge(&mut self, count: &CrashCount, now: ClockTime) -> bool {
        if count.crashes <= self.crashes(count.digest, now) {
            return false;
        }
        let record = CrashRecord {
            crashes: count.crashes,
            worker: count.worker.clone(),
            recorded_at: now,
            expires_at: now + count.remaining.min(QUARANTINE_TIME),
        };
        self.records.insert(count.digest, record);
        self.trim(now);
        true
    }

    /// Removes the record of a digest after a request with it finished.
    pub fn clear(&mut self, digest: u64) {
        self.records.remove(&digest);
    }

    /// Returns how a request with the digest may be run.
    #[must_use]
    pub fn verdict(&self, digest: u64, now: ClockTime) -> QuarantineVerdict {
        match self.crashes(digest, now) {
            0 => QuarantineVerdict::Clear,
            crashes if crashes < CRASH_THRESHOLD => QuarantineVerdict::Suspect,
            _ => QuarantineVerdict::Refused {
                retry_after: self.remaining(digest, now),
            },
        }
    }

    /// Returns the number of crashes on record for the digest.
    #[must_use]
    pub fn crashes(&self, digest: u64, now: ClockTime) -> u8 {
        match self.records.get(&digest) {
            Some(record) if now < record.expires_at => record.crashes,
            _ => 0,
        }
    }

    /// Returns the crash counts on record, the highest and latest first, for a host that may have
    /// missed them; at most [`MAX_REPORTED_DIGESTS`].
    #[must_use]
    pub fn counts(&self, now: ClockTime) -> Vec<CrashCount> {
        let records = self.records.iter();
        let current = records.filter(|(_, record)| now < record.expires_at);
        let mut records: Vec<(&u64, &CrashRecord)> = current.collect();
        records.sort_by_key(|(_, record)| Reverse((record.crashes, record.expires_at)));
        records.truncate(MAX_REPORTED_DIGESTS);
        let count = |(digest, record): (&u64, &CrashRecord)| CrashCount {
            digest: *digest,
            crashes: record.crashes,
            worker: record.worker.clone(),
            remaining: record.expires_at.since(now),
        };
        records.into_iter().map(count).collect()
    }

    fn remaining(&self, digest: u64, now: ClockTime) -> Duration {
        let record = self.records.get(&digest);
        record.map_or(QUARANTINE_TIME, |record| record.expires_at.since(now))
    }

    fn trim(&mut self, now: ClockTime) {
        if self.records.len() <= MAX_DIGESTS {
            return;
        }
        self.records.retain(|_, record| now < record.expires_at);
        while self.records.len() > MAX_DIGESTS {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| record.expires_at);
            let Some((digest, _)) = oldest else { return };
            let digest = *digest;
            self.records.remove(&digest);
        }
    }
}
