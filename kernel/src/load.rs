//! The slots that the admitted work of each tier occupies, to predict those left for lower tiers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::name::TierRank;

/// The time constant of the exponential moving average of arriving work.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct TierLoad {
    /// The mean number of slots that arriving work occupies, as of `updated`.
    slots: f64,
    updated: ClockTime,
}

impl TierLoad {
    /// Returns the mean as of `now`, which is its last value decayed by the time since then.
    fn at(&self, now: ClockTime) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.slots * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// The mean number of slots that the arriving work of each tier occupies.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::load::ArrivalLoad;
/// use borageladder_kernel::name::TierRank;
///
/// let mut load = ArrivalLoad::default();
/// load.arrived(ClockTime::ZERO, TierRank(0), Duration::from_secs(2));
/// assert!(load.above(ClockTime::ZERO, TierRank(1)) > 0.9);
/// assert!(load.above(ClockTime::ZERO, TierRank(0)) < 0.1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ArrivalLoad {
    tiers: BTreeMap<TierRank, TierLoad>,
}

impl ArrivalLoad {
    /// Adds work that arrived, given as the time for which it occupies one slot.
    pub fn arrived(&mut self, now: ClockTime, tier: TierRank, work: Duration) {
        let load = self.tiers.entry(tier).or_insert(TierLoad {
            slots: 0.0,
            updated: now,
        });
        let added = work.as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        load.slots = load.at(now) + added;
        load.updated = now;
    }

    /// Returns the mean number of slots that the work of all higher tiers occupies.
    #[must_use]
    pub fn above(&self, now: ClockTime, tier: TierRank) -> f64 {
        let higher = self.tiers.range(..tier);
        higher.map(|(_, load)| load.at(now)).sum()
    }

    /// Returns the mean number of slots that the work of a tier occupies.
    #[must_use]
    pub fn of(&self, now: ClockTime, tier: TierRank) -> f64 {
        self.tiers.get(&tier).map_or(0.0, |load| load.at(now))
    }

    /// Returns the mean number of slots that the work of all tiers occupies.
    #[must_use]
    pub fn total(&self, now: ClockTime) -> f64 {
        self.tiers.values().map(|load| load.at(now)).sum()
    }
}
