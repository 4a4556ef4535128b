//! What a bucket learns from the reports of other hosts.

use std::time::Duration;

use super::QuotaBucket;
use super::ReportScope;
use super::peer::DatacenterUse;
use super::peer::HostUse;
use super::peer::PeerUse;
use super::peer::ReportOrder;
use super::peer::SumUse;
use crate::clock::ClockTime;
use crate::name::DatacenterName;
use crate::name::HostName;

/// The difference of ages up to which two hosts count as started together.
const AGE_TOLERANCE: Duration = Duration::from_secs(2);

impl QuotaBucket {
    /// Records that another host is alive and has charged no units since its last report.
    ///
    /// Ignored for a host whose total has not been reported yet.
    pub fn record_liveness(&mut self, now: ClockTime, host: &HostName) {
        let headroom = self.peer_headroom(now);
        if let Some(peer) = self.peers.get_mut(host) {
            peer.mark_seen(now);
            peer.limit_headroom(headroom);
        }
    }

    /// Records what [`Self::record_liveness`] does, from a report that process `source` of the host
    /// made at its age `age` and that may arrive by several ways.
    pub fn record_unchanged(
        &mut self,
        now: ClockTime,
        host: &HostName,
        source: u64,
        age: Duration,
    ) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        if peer.order(Some(source), age) != ReportOrder::Newest {
            return;
        }
        let headroom = self.peer_headroom(now);
        if let Some(peer) = self.peers.get_mut(host) {
            peer.record_unchanged(now, source, age);
            peer.limit_headroom(headroom);
        }
    }

    /// Records a report of another host, which started `age` ago and has charged `total` units.
    pub fn record_usage(&mut self, now: ClockTime, host: &HostName, total: f64, age: Duration) {
        let report = HostUse {
            scope: ReportScope::Deployment,
            source: None,
            age,
            total,
        };
        self.record_report(now, host, &report);
    }

    /// Records a report of another host. One that is repeated or older than a known one changes
    /// nothing, if the process that made it is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use borageladder_kernel::clock::ClockTime;
    /// use borageladder_kernel::quota::HostUse;
    /// use borageladder_kernel::quota::QuotaBounds;
    /// use borageladder_kernel::quota::QuotaBucket;
    /// use borageladder_kernel::quota::QuotaTolerance;
    /// use borageladder_kernel::quota::ReportScope;
    ///
    /// let bounds = QuotaBounds { rate: 1.0, burst: 100.0 };
    /// let mut bucket = QuotaBucket::new(bounds, QuotaTolerance::default(), ClockTime::ZERO);
    /// let now = ClockTime::from_millis(1_000);
    /// let level = bucket.view(now).level;
    /// let report = HostUse {
    ///     scope: ReportScope::Datacenter,
    ///     source: Some(7),
    ///     age: Duration::from_secs(1),
    ///     total: 20.0,
    /// };
    /// let host = "front-2".parse()?;
    /// bucket.record_report(now, &host, &report);
    /// bucket.record_report(now, &host, &report);
    /// assert!((bucket.view(now).level - (level - 20.0)).abs() < 1e-9);
    /// # Ok::<(), borageladder_kernel::name::NameError>(())
    /// ```
    pub fn record_report(&mut self, now: ClockTime, host: &HostName, report: &HostUse) {
        self.fill(now);
        let Some(peer) = self.peers.get_mut(host) else {
            self.insert_peer(now, host, report);
            return;
        };
        let order = peer.order(report.source, report.age);
        if order == ReportOrder::Known {
            return;
        }
        if peer.scope != report.scope {
            // Only what is used from now on counts for the other scope.
            if peer.scope == ReportScope::Datacenter {
                self.gone_use += peer.used;
            }
            peer.used = 0.0;
            peer.scope = report.scope;
        }
        if order == ReportOrder::Late {
            let used = peer.record_late(now, report);
            self.level -= used;
            self.peer_use.record(now, used.max(0.0));
            return;
        }
        // The reported use replaces the assumed use.
        self.level += peer.assumed;
        let used = peer.record(now, report);
        self.level -= used;
        self.peer_use.record(now, used.max(0.0));
        let headroom = self.peer_headroom(now);
        if let Some(peer) = self.peers.get_mut(host) {
            peer.limit_headroom(headroom);
        }
    }

    fn insert_peer(&mut self, now: ClockTime, host: &HostName, report: &HostUse) {
        let mut peer = PeerUse::new(now, report);
        // Units that an older host charged before this host started are not deducted here.
        if report.age <= now.since(ClockTime::ZERO) + AGE_TOLERANCE {
            peer.used = report.total;
            self.level -= report.total;
        }
        self.peers.insert(host.clone(), peer);
    }

    /// Records the sum of another data centre.
    pub fn record_sum(&mut self, now: ClockTime, datacenter: &DatacenterName, sum: &DatacenterUse) {
        self.fill(now);
        let Some(known) = self.sums.get_mut(datacenter) else {
            let known = SumUse::new(now, sum);
            self.sums.insert(datacenter.clone(), known);
            return;
        };
        let before = known.known.used;
        self.level -= known.record(now, sum);
        let used = known.known.used - before;
        self.peer_use.record(now, used.max(0.0));
    }

    /// Records that a data centre has charged no units since the last sum that `source` reported.
    pub fn record_sum_liveness(
        &mut self,
        now: ClockTime,
        datacenter: &DatacenterName,
        source: u64,
    ) {
        if let Some(known) = self.sums.get(datacenter)
            && known.source == source
        {
            let sum = known.last();
            self.record_sum(now, datacenter, &sum);
        }
    }
}
