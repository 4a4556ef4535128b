//! Requests that crash the workers that run them.
//!
//! Every request that ran on a worker when it died gets a strike on the digest of its content. A
//! digest with strikes is a suspect and runs alone, so its next crash can't be somebody else's.
//! A digest that reaches [`REFUSED_STRIKES`] is refused for [`QUARANTINE_TIME`]. A digest is cleared
//! when a request with it finishes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::ClockTime;

/// The number of crashes after which a request is refused.
pub const REFUSED_STRIKES: u8 = 2;

/// The time for which strikes are remembered and a request stays refused.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// The most digests that one host remembers.
pub const MAX_DIGESTS: usize = 10_000;

/// What may be done with a request, by what is known about its content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineVerdict {
    /// The content is not known to crash workers.
    Clear,
    /// The content may have crashed a worker and must run alone.
    Suspect,
    /// The content crashed too many workers.
    Refused {
        /// The time until the content may be tried again.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct StrikeRecord {
    strikes: u8,
    last: ClockTime,
}

/// The strikes that a host knows of.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::quarantine::QuarantineVerdict;
/// use borageladder_kernel::quarantine::StrikeRegister;
///
/// let mut register = StrikeRegister::default();
/// register.strike(7, ClockTime::ZERO);
/// assert_eq!(register.verdict(7, ClockTime::ZERO), QuarantineVerdict::Suspect);
/// register.strike(7, ClockTime::ZERO);
/// assert!(matches!(register.verdict(7, ClockTime::ZERO), QuarantineVerdict::Refused { .. }));
/// ```
#[derive(Debug, Default)]
pub struct StrikeRegister {
    records: BTreeMap<u64, StrikeRecord>,
}

impl StrikeRegister {
    /// Adds a strike to a digest and returns its number of strikes.
    pub fn strike(&mut self, digest: u64, now: ClockTime) -> u8 {
        let strikes = self.strikes(digest, now).saturating_add(1);
        self.learn(digest, strikes, now);
        strikes
    }

    /// Takes over the number of strikes that another host knows of; returns whether it is greater
    /// than what was known.
    pub fn learn(&mut self, digest: u64, strikes: u8, now: ClockTime) -> bool {
        if strikes <= self.strikes(digest, now) {
            return false;
        }
        self.records
            .insert(digest, StrikeRecord { strikes, last: now });
        self.trim(now);
        true
    }

    /// Forgets a digest whose request finished.
    pub fn clear(&mut self, digest: u64) {
        self.records.remove(&digest);
    }

    /// Returns what may be done with a request.
    #[must_use]
    pub fn verdict(&self, digest: u64, now: ClockTime) -> QuarantineVerdict {
        match self.strikes(digest, now) {
            0 => QuarantineVerdict::Clear,
            strikes if strikes < REFUSED_STRIKES => QuarantineVerdict::Suspect,
            _ => QuarantineVerdict::Refused {
                retry_after: self.remaining(digest, now),
            },
        }
    }

    fn strikes(&self, digest: u64, now: ClockTime) -> u8 {
        match self.records.get(&digest) {
            Some(record) if now.since(record.last) < QUARANTINE_TIME => record.strikes,
            _ => 0,
        }
    }

    fn remaining(&self, digest: u64, now: ClockTime) -> Duration {
        let last = self.records.get(&digest).map_or(now, |record| record.last);
        QUARANTINE_TIME.saturating_sub(now.since(last))
    }

    fn trim(&mut self, now: ClockTime) {
        if self.records.len() <= MAX_DIGESTS {
            return;
        }
        self.records
            .retain(|_, record| now.since(record.last) < QUARANTINE_TIME);
        while self.records.len() > MAX_DIGESTS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.last);
            let Some((digest, _)) = oldest else { return };
            let digest = *digest;
            self.records.remove(&digest);
        }
    }
}
