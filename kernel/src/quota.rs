//! Workspace quotas that hold over all hosts together.
//!
//! Each host keeps a token bucket for the whole quota. Units charged to the host's own callers are
//! deducted at once, units charged on other hosts as soon as those hosts report them. What the other
//! hosts charge meanwhile, at their recent rates, is kept in reserve. A host from
//! which nothing is received is assumed to charge units at its last rate, and at no less than an
//! equal part of the quota; after [`LAST_RATE_TIME`], at that part. Hosts on both sides of a network
//! partition thus exceed the quota together only by what they charge before the silence is noticed,
//! and after [`PEER_EXPIRY`], when a silent host counts as gone.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockTime;
use crate::name::HostName;

/// The time without a report or heartbeat after which the use of a host is assumed. The assumed use
/// is counted from the last report or heartbeat on.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// The time without a report or heartbeat for which a host is assumed to continue at its last rate. It
/// is longer than the window of 8 s over which the use of a quota is measured, so that all units
/// that the host may have charged before its silence have left the window.
pub const LAST_RATE_TIME: Duration = Duration::from_secs(10);

/// The time without a report or heartbeat after which a host is dropped. A host that is cut off
/// can't be told from one that is gone, which withholds its part of the quota for this time.
pub const PEER_EXPIRY: Duration = Duration::from_mins(10);

/// The time by which the reports of another host lag behind its use: one report interval, and as
/// much again for a host that is behind.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// The time constant of the moving average of a host's use.
const USE_AVERAGING_TIME: Duration = Duration::from_secs(2);

/// The difference of ages up to which two hosts count as started together.
const AGE_TOLERANCE: Duration = Duration::from_secs(2);

/// The part of the tolerance that covers what other hosts have not reported yet. The rest is left for
/// hosts that are cut off and for sudden demand.
const COVERED_PART: f64 = 0.5;

/// The divisor of the burst that gives the initial level of a host's bucket. The bucket starts
/// partly filled because the units charged before its creation are unknown.
const INITIAL_LEVEL_DIVISOR: f64 = 2.0;

/// The rate and burst of a quota over all hosts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaBounds {
    /// The sustained rate, in units per second.
    pub rate: f64,
    /// The capacity of the bucket, in units: what may be used at once on top of the rate.
    pub burst: f64,
}

/// The use of a quota beyond its bounds that operators tolerate, for what hosts can't know of each
/// other in time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::quota::QuotaBounds;
/// use borageladder_kernel::quota::QuotaTolerance;
///
/// let tolerance = QuotaTolerance {
///     ratio: 0.1,
///     headroom: 50.0,
///     window: Duration::from_secs(8),
/// };
/// let bounds = QuotaBounds { rate: 100.0, burst: 200.0 };
/// assert!((tolerance.units(bounds) - 150.0).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// The tolerated use as a fraction of what the bounds allow in the window.
    pub ratio: f64,
    /// The units tolerated in addition in each window.
    pub headroom: f64,
    /// The length of the window.
    pub window: Duration,
}

impl QuotaTolerance {
    /// Returns the units that may be used beyond the bounds in a window.
    #[must_use]
    pub fn units(&self, bounds: QuotaBounds) -> f64 {
        let allowed = bounds.rate.mul_add(self.window.as_secs_f64(), bounds.burst);
        self.ratio.mul_add(allowed, self.headroom)
    }
}

/// The use of a quota by another host.
#[derive(Clone, Copy, Debug)]
struct PeerUse {
    /// The units charged by the host since its bucket was created, by its last report.
    total: f64,
    /// The time since the start of the host, by its last report.
    age: Duration,
    /// The moving average of the use at the last report, in units per second.
    rate: f64,
    /// The time of the last report or heartbeat.
    last_seen: ClockTime,
    /// The time of the last report.
    reported_at: ClockTime,
    /// The units deducted as assumed use since the last report.
    assumed: f64,
    /// The time up to which assumed units have been deducted.
    assumed_until: ClockTime,
}

impl PeerUse {
    const fn new(now: ClockTime) -> Self {
        Self {
            total: 0.0,
            age: Duration::ZERO,
            rate: 0.0,
            last_seen: now,
            reported_at: now,
            assumed: 0.0,
            assumed_until: now,
        }
    }

    /// Returns the moving average of the use, in units per second.
    fn recent_rate(&self, now: ClockTime) -> f64 {
        let elapsed = now.since(self.reported_at).as_secs_f64();
        self.rate * (-elapsed / USE_AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// A moving average of the units charged, in units per second.
#[derive(Clone, Copy, Debug, Default)]
struct UseAverage {
    rate: f64,
    updated_at: ClockTime,
}

impl UseAverage {
    fn record(&mut self, now: ClockTime, units: f64) {
        self.rate = self.rate(now) + units / USE_AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    fn rate(&self, now: ClockTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / USE_AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// What a host knows of the use of a workspace's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView {
    /// The bounds in force.
    pub bounds: QuotaBounds,
    /// The units available; negative if more were charged than the bounds allow.
    pub level: f64,
    /// The units that other hosts are expected to have charged without a report, beyond what the
    /// tolerance covers.
    pub reserve: f64,
    /// The recent use by this host, in units per second.
    pub own_use: f64,
    /// The recent use by the other hosts, in units per second.
    pub peer_use: f64,
    /// The units assumed for hosts from which nothing is received.
    pub assumed: f64,
}

/// The refusal of a request for which a quota does not suffice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaShortage {
    /// The time until the bucket is expected to hold enough units, or [`LAST_RATE_TIME`] if that
    /// time can't be represented.
    pub wait: Duration,
    /// The units of the request.
    pub units: u64,
    /// What the host knows of the quota's use.
    pub view: QuotaView,
}

/// The bucket of one workspace on one host.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::quota::QuotaBounds;
/// use borageladder_kernel::quota::QuotaBucket;
/// use borageladder_kernel::quota::QuotaTolerance;
///
/// let bounds = QuotaBounds { rate: 100.0, burst: 100.0 };
/// let mut bucket = QuotaBucket::new(bounds, QuotaTolerance::default(), ClockTime::ZERO);
/// let second = ClockTime::from_millis(1_000);
/// assert!(bucket.charge(second, 90, 1).is_ok());
/// let shortage = bucket.charge(second, 90, 1).expect_err("the burst is used up");
/// assert!(shortage.wait > Duration::from_millis(500));
/// ```
#[derive(Clone, Debug)]
pub struct QuotaBucket {
    bounds: QuotaBounds,
    tolerance: QuotaTolerance,
    /// The units available; negative after a charge that exceeds the burst, or after reports of
    /// other hosts.
    level: f64,
    /// The time up to which the bucket was filled.
    filled_at: ClockTime,
    /// The units charged on this host since the bucket was created, less refunds.
    total: f64,
    /// The total at the last usage report.
    last_reported: f64,
    /// The moving average of the units charged on this host, in units per second.
    own_use: UseAverage,
    /// The moving average of the units that the other hosts reported, in units per second.
    peer_use: UseAverage,
    peers: BTreeMap<HostName, PeerUse>,
}

impl QuotaBucket {
    /// Creates a bucket that holds a part of the burst, when a quota is first applied on this host.
    #[must_use]
    pub fn new(bounds: QuotaBounds, tolerance: QuotaTolerance, now: ClockTime) -> Self {
        Self {
            bounds,
            tolerance,
            level: bounds.burst / INITIAL_LEVEL_DIVISOR,
            filled_at: now,
            total: 0.0,
            last_reported: 0.0,
            own_use: UseAverage::default(),
            peer_use: UseAverage::default(),
            peers: BTreeMap::new(),
        }
    }

    /// Changes the bounds; a level above the new burst is cut at once.
    pub const fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
        self.level = self.level.min(bounds.burst);
    }

    /// Records that another host is alive and has charged no units since its last report.
    ///
    /// Ignored for a host whose total has not been reported yet.
    pub fn record_liveness(&mut self, now: ClockTime, host: &HostName) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.last_seen = now;
            peer.assumed_until = now;
        }
    }

    /// Records a report of another host, which started `age` ago and has charged `total` units.
    pub fn record_usage(&mut self, now: ClockTime, host: &HostName, total: f64, age: Duration) {
        self.fill(now);
        let Some(peer) = self.peers.get_mut(host) else {
            // Units that an older host charged before this host started are not deducted here.
            if age <= now.since(ClockTime::ZERO) + AGE_TOLERANCE {
                self.level -= total;
            }
            let known = PeerUse {
                total,
                age,
                ..PeerUse::new(now)
            };
            self.peers.insert(host.clone(), known);
            return;
        };
        // A lower age means that the host restarted; a lower total alone comes from refunds.
        let used = if age < peer.age {
            total
        } else {
            total - peer.total
        };
        self.peer_use.record(now, used.max(0.0));
        // The reported use replaces the assumed use.
        self.level += peer.assumed - used;
        *peer = PeerUse {
            total,
            age,
            rate: peer.recent_rate(now) + used.max(0.0) / USE_AVERAGING_TIME.as_secs_f64(),
            ..PeerUse::new(now)
        };
    }

    /// Returns the units charged by this host since the bucket was created, to be reported to the
    /// other hosts. Returns `None` if they are unchanged since the last call, unless
    /// `include_unchanged` is set.
    pub fn usage_report(&mut self, include_unchanged: bool) -> Option<f64> {
        let changed = self.total.to_bits() != self.last_reported.to_bits();
        self.last_reported = self.total;
        (changed || include_unchanged).then_some(self.total)
    }

    /// Charges units for a request; `hosts` is the number of hosts that share the quota.
    ///
    /// # Errors
    ///
    /// Returns a [`QuotaShortage`] if the bucket does not hold enough units.
    pub fn charge(
        &mut self,
        now: ClockTime,
        units: u64,
        hosts: usize,
    ) -> Result<(), QuotaShortage> {
        self.fill(now);
        self.charge_unreachable(now, hosts);
        let size = to_float(units);
        // A request that the burst does not cover needs a full bucket and leaves the level negative.
        let needed = (size + self.reserve(now)).min(self.bounds.burst);
        if self.level >= needed {
            self.level -= size;
            self.total += size;
            self.own_use.record(now, size);
            return Ok(());
        }
        let missing = needed - self.level;
        let wait = Duration::try_from_secs_f64(missing / self.bounds.rate);
        Err(QuotaShortage {
            wait: wait.unwrap_or(LAST_RATE_TIME),
            units,
            view: self.view(now),
        })
    }

    /// Returns what this host knows of the use of the quota.
    #[must_use]
    pub fn view(&self, now: ClockTime) -> QuotaView {
        let assumed = self.peers.values().map(|peer| peer.assumed);
        QuotaView {
            bounds: self.bounds,
            level: self.level_at(now),
            reserve: self.reserve(now),
            own_use: self.own_use.rate(now),
            peer_use: self.peer_use.rate(now),
            assumed: assumed.sum(),
        }
    }

    /// Refunds the units of a request that was not sent to a worker.
    pub fn refund(&mut self, units: u64) {
        let units = to_float(units);
        self.level += units;
        self.total -= units;
    }

    /// Returns the units that the other hosts are expected to have charged without a report, beyond
    /// what the tolerance covers.
    fn reserve(&self, now: ClockTime) -> f64 {
        let unreported = self.peer_use.rate(now) * REPORT_LAG.as_secs_f64();
        let covered = self.tolerance.units(self.bounds) * COVERED_PART;
        (unreported - covered).max(0.0)
    }

    fn level_at(&self, now: ClockTime) -> f64 {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let filled = self.bounds.rate.mul_add(elapsed, self.level);
        filled.min(self.bounds.burst)
    }

    fn fill(&mut self, now: ClockTime) {
        self.level = self.level_at(now);
        self.filled_at = now;
    }

    /// Deducts the assumed use of hosts whose reports are overdue, and drops expired hosts.
    fn charge_unreachable(&mut self, now: ClockTime, hosts: usize) {
        self.peers
            .retain(|_, peer| now.since(peer.last_seen) < PEER_EXPIRY);
        let known = self.peers.len() + 1;
        let count = u32::try_from(hosts.max(known)).unwrap_or(u32::MAX);
        let part = self.bounds.rate / f64::from(count);
        for peer in self.peers.values_mut() {
            if now.since(peer.last_seen) > REPORT_TIMEOUT {
                let silent = now.since(peer.assumed_until).as_secs_f64();
                let rate = if now.since(peer.last_seen) < LAST_RATE_TIME {
                    peer.rate.max(part)
                } else {
                    part
                };
                let used = rate * silent;
                self.level -= used;
                peer.assumed += used;
                peer.assumed_until = now;
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "units stay far below 2^52")]
const fn to_float(units: u64) -> f64 {
    units as f64
}
