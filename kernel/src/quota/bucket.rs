//! The bucket of one workspace on one host.

use std::collections::BTreeMap;
use std::time::Duration;

use super::QuotaBounds;
use super::QuotaShortage;
use super::QuotaTolerance;
use super::QuotaView;
use super::ReportScope;
use super::peer::LAST_RATE_TIME;
use super::peer::PeerUse;
use super::peer::REPORT_TIMEOUT;
use super::peer::SumUse;
use super::peer::UseAverage;
use crate::clock::ClockTime;
use crate::name::DatacenterName;
use crate::name::HostName;

/// The time without a report or heartbeat after which a host is dropped. A host that is cut off
/// can't be told from one that is gone, which withholds its part of the quota for this time.
pub const PEER_EXPIRY: Duration = Duration::from_mins(10);

/// The time by which the reports of another host lag behind its use: one report interval, and as
/// much again for a host that is behind.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// The part of the tolerance that covers what other hosts have not reported yet. The rest is left for
/// hosts that are cut off and for sudden demand.
const COVERED_PART: f64 = 0.5;

/// That part where sums of data centres are reported, which are later than the reports of hosts.
const COVERED_PART_OF_SUMS: f64 = 0.2;

/// The divisor of the burst that gives the initial level of a host's bucket. The bucket starts
/// partly filled because the units charged before its creation are unknown.
const INITIAL_LEVEL_DIVISOR: f64 = 2.0;

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
    pub(super) bounds: QuotaBounds,
    pub(super) tolerance: QuotaTolerance,
    /// The units available; negative after a charge that exceeds the burst, or after reports of
    /// other hosts.
    pub(super) level: f64,
    /// The time up to which the bucket was filled.
    pub(super) filled_at: ClockTime,
    /// The units charged on this host since the bucket was created, less refunds.
    pub(super) total: f64,
    /// The total at the last usage report.
    pub(super) last_reported: f64,
    /// The moving average of the units charged on this host, in units per second.
    pub(super) own_use: UseAverage,
    /// The moving average of the units that the other hosts reported, in units per second.
    pub(super) peer_use: UseAverage,
    /// The total of the data centre at the last report of its sum.
    pub(super) last_sum: f64,
    /// The units deducted for hosts of the data centre that were dropped.
    pub(super) gone_use: f64,
    pub(super) peers: BTreeMap<HostName, PeerUse>,
    pub(super) sums: BTreeMap<DatacenterName, SumUse>,
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
            last_sum: 0.0,
            gone_use: 0.0,
            peers: BTreeMap::new(),
            sums: BTreeMap::new(),
        }
    }

    /// Changes the bounds; a level above the new burst is cut at once.
    pub const fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
        self.level = self.level.min(bounds.burst);
    }

    /// Returns whether the sum of any data centre is known.
    #[must_use]
    pub fn has_sums(&self) -> bool {
        !self.sums.is_empty()
    }

    /// Returns the data centres whose sums are known.
    #[must_use]
    pub fn summed_datacenters(&self) -> Vec<DatacenterName> {
        self.sums.keys().cloned().collect()
    }

    /// Forgets the sums of all data centres, whose hosts report to all hosts again.
    pub fn forget_sums(&mut self) {
        self.sums.clear();
    }

    /// Drops the hosts for which `keep` is false, because the sum of their data centre is reported
    /// instead. What was deducted for them stays deducted.
    pub fn retain_peers(&mut self, keep: impl Fn(&HostName) -> bool) {
        let dropped = self.peers.keys().filter(|host| !keep(host));
        let dropped: Vec<HostName> = dropped.cloned().collect();
        for host in &dropped {
            self.remove_peer(host);
        }
    }

    /// Returns [`Self::datacenter_total`] to be reported to other data centres; `None` if it is
    /// unchanged since the last call, unless `include_unchanged` is set.
    pub fn sum_report(
        &mut self,
        now: ClockTime,
        hosts: usize,
        include_unchanged: bool,
    ) -> Option<f64> {
        let total = self.datacenter_total(now, hosts);
        let changed = total.to_bits() != self.last_sum.to_bits();
        self.last_sum = total;
        (changed || include_unchanged).then_some(total)
    }

    /// Returns the units charged by this host and those of its data centre that report to it alone,
    /// with what is assumed for silent ones. Only the difference of two values has a meaning.
    #[must_use]
    pub fn datacenter_total(&mut self, now: ClockTime, hosts: usize) -> f64 {
        self.fill(now);
        self.charge_unreachable(now, hosts);
        let peers = self.peers.values();
        let local = peers.filter(|peer| peer.scope == ReportScope::Datacenter);
        let used: f64 = local.map(|peer| peer.used + peer.assumed).sum();
        self.total + self.gone_use + used
    }

    /// Returns the units that a host which has just reported can charge beyond its part of the rate if
    /// it hears of no use from now on: the level that it knows, and what the rate adds until it assumes
    /// the use of others.
    pub(super) fn peer_headroom(&self, now: ClockTime) -> f64 {
        let assumed = self.peers.values().map(|peer| peer.assumed);
        let sums = self.sums.values().map(|sum| sum.known.assumed);
        // The host may not have heard of these.
        let unknown: f64 = assumed.chain(sums).sum();
        let unreported = self.total - self.last_reported;
        let recent = (self.own_use.rate(now) + self.peer_use.rate(now)) * REPORT_LAG.as_secs_f64();
        let level = self.level_at(now) + unknown + unreported + recent;
        let added = self.bounds.rate * REPORT_TIMEOUT.as_secs_f64();
        level.clamp(0.0, self.bounds.burst) + added
    }

    fn remove_peer(&mut self, host: &HostName) {
        if let Some(peer) = self.peers.remove(host)
            && peer.scope == ReportScope::Datacenter
        {
            self.gone_use += peer.used + peer.assumed;
        }
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
        let peers = self.peers.values().map(|peer| peer.assumed);
        let sums = self.sums.values().map(|sum| sum.known.assumed);
        QuotaView {
            bounds: self.bounds,
            level: self.level_at(now),
            reserve: self.reserve(now),
            own_use: self.own_use.rate(now),
            peer_use: self.peer_use.rate(now),
            assumed: peers.chain(sums).sum(),
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
        let part = if self.sums.is_empty() {
            COVERED_PART
        } else {
            COVERED_PART_OF_SUMS
        };
        let covered = self.tolerance.units(self.bounds) * part;
        (unreported - covered).max(0.0)
    }

    fn level_at(&self, now: ClockTime) -> f64 {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let filled = self.bounds.rate.mul_add(elapsed, self.level);
        filled.min(self.bounds.burst)
    }

    pub(super) fn fill(&mut self, now: ClockTime) {
        self.level = self.level_at(now);
        self.filled_at = now;
    }

    /// Deducts the assumed use of hosts whose reports are overdue, and drops expired hosts.
    fn charge_unreachable(&mut self, now: ClockTime, hosts: usize) {
        let is_expired = |peer: &PeerUse| now.since(peer.last_seen) >= PEER_EXPIRY;
        if self.peers.values().any(is_expired) {
            let expired = self.peers.iter().filter(|(_, peer)| is_expired(peer));
            let expired: Vec<HostName> = expired.map(|(host, _)| host.clone()).collect();
            for host in &expired {
                self.remove_peer(host);
            }
        }
        let summed: u32 = self.sums.values().map(|sum| sum.hosts).sum();
        let direct = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let known = summed.saturating_add(direct).saturating_add(1);
        let count = u32::try_from(hosts).unwrap_or(u32::MAX).max(known);
        let part = self.bounds.rate / f64::from(count);
        let mut assumed = 0.0;
        for peer in self.peers.values_mut().filter(|peer| peer.is_overdue(now)) {
            assumed += peer.assume(now, part);
        }
        let mut assumed_in_time = 0.0;
        for sum in self.sums.values_mut() {
            if sum.known.is_overdue(now) {
                assumed += sum.assume(now, part);
            } else {
                assumed_in_time += sum.assume(now, part);
            }
        }
        // The use of silent hosts goes on, so it counts for what is kept in reserve.
        if assumed > 0.0 {
            self.peer_use.record(now, assumed);
        }
        self.level -= assumed + assumed_in_time;
    }
}

#[expect(clippy::cast_precision_loss, reason = "units stay far below 2^52")]
const fn to_float(units: u64) -> f64 {
    units as f64
}
