//! The use of a quota by other hosts, as far as this host knows it.

use std::time::Duration;

use crate::clock::ClockTime;

/// The time constant of the moving average of a host's use.
const USE_AVERAGING_TIME: Duration = Duration::from_secs(2);

/// The time without a report or heartbeat after which the use of a host is assumed. The assumed use
/// is counted from the last report or heartbeat on.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// The time without a report or heartbeat for which a host is assumed to continue at its last rate, as
/// far as the level that it knew allows. It is longer than the window of 8 s over which the use of a
/// quota is measured, so that all units that the host may have charged before its silence have left
/// the window.
pub const LAST_RATE_TIME: Duration = Duration::from_secs(10);

/// Who receives the reports that a host makes of its use of quotas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportScope {
    /// All hosts of the deployment.
    Deployment,
    /// The hosts of its data centre; one of them reports their sum to the others.
    Datacenter,
}

/// What a host reports of its use of one quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostUse {
    /// Who receives the reports of the host.
    pub scope: ReportScope,
    /// The random number that the process of the host drew at its start. `None` if it is not known;
    /// reports are then taken in the order in which they arrive, and a lower age shows a restart.
    pub source: Option<u64>,
    /// The time since the start of the process, when it made the report.
    pub age: Duration,
    /// The units that it charged since its bucket was created.
    pub total: f64,
}

/// How a report of a host compares with those that were received before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReportOrder {
    /// It is repeated, or a newer one of the quota is known.
    Known,
    /// It is the newest of the quota, but the host was heard of since it was made.
    Late,
    /// It is the newest of the host.
    Newest,
}

/// The use of a quota by the hosts of another data centre that report to each other only.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatacenterUse {
    /// The random number that the process of the reporting host drew at its start. Totals of
    /// different processes can't be compared.
    pub source: u64,
    /// The number of hosts that the sum speaks for.
    pub hosts: u32,
    /// The units that they charged, on top of a number that the source has chosen.
    pub total: f64,
}

/// The last sum of a data centre, and what is assumed since.
#[derive(Clone, Copy, Debug)]
pub(super) struct SumUse {
    /// The process that reported it.
    pub source: u64,
    /// The number of hosts that it speaks for.
    pub hosts: u32,
    /// The use by the sum, as if one host had reported it.
    pub known: PeerUse,
}

impl SumUse {
    /// Returns the use by the first sum that a host receives, which only gives the base of the next.
    pub(super) fn new(now: ClockTime, sum: &DatacenterUse) -> Self {
        let DatacenterUse {
            source,
            hosts,
            total,
        } = *sum;
        Self {
            source,
            hosts,
            known: PeerUse::new(now, &Self::as_host(total)),
        }
    }

    /// Returns a sum as if one host had reported it.
    const fn as_host(total: f64) -> HostUse {
        HostUse {
            scope: ReportScope::Deployment,
            source: None,
            age: Duration::ZERO,
            total,
        }
    }

    /// Returns the last sum.
    pub(super) const fn last(&self) -> DatacenterUse {
        DatacenterUse {
            source: self.source,
            hosts: self.hosts,
            total: self.known.total,
        }
    }

    /// Records a further sum; returns the units used since the one before, less those that were
    /// assumed. What was assumed before the first sum of another source stays assumed.
    pub(super) fn record(&mut self, now: ClockTime, sum: &DatacenterUse) -> f64 {
        if self.source != sum.source {
            // While the reporter changes, both may report; their totals can't be compared.
            if !self.known.is_overdue(now) {
                return 0.0;
            }
            let recent = self.known.recent;
            *self = Self::new(now, sum);
            self.known.recent = recent;
            return 0.0;
        }
        self.hosts = sum.hosts;
        let assumed = self.known.assumed;
        self.known.record(now, &Self::as_host(sum.total)) - assumed
    }

    /// Assumes use of the data centre as [`PeerUse::assume`] does. It is called also before the
    /// reports are overdue: a sum stands for too many hosts to do without it.
    pub(super) fn assume(&mut self, now: ClockTime, part: f64) -> f64 {
        self.known.assume(now, part * f64::from(self.hosts))
    }
}

/// The use of a quota by another host.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerUse {
    /// Who receives the reports.
    pub scope: ReportScope,
    /// The units charged by the host since its bucket was created, by its last report.
    pub total: f64,
    /// The units that were deducted for the reports of the host, over all of its incarnations.
    pub used: f64,
    /// The process that made the last report, if known.
    pub source: Option<u64>,
    /// The process before it, whose reports may still arrive by way of another host.
    replaced: Option<u64>,
    /// The time since the start of the process, by its last report of the quota.
    pub age: Duration,
    /// The time since the start of the process, by its last report of any quota.
    seen_age: Duration,
    /// The moving average of the reported use.
    pub recent: UseAverage,
    /// The time of the last report or heartbeat.
    pub last_seen: ClockTime,
    /// The units deducted as assumed use since the last report.
    pub assumed: f64,
    /// The time up to which assumed units have been deducted.
    pub assumed_until: ClockTime,
    /// The units that the host can still charge beyond its part of the rate. A host that hears
    /// nothing of the others leaves each of them its part.
    pub headroom: f64,
}

impl PeerUse {
    /// Returns the use of a host whose first report was received.
    pub(super) fn new(now: ClockTime, report: &HostUse) -> Self {
        let HostUse {
            scope,
            source,
            age,
            total,
        } = *report;
        Self {
            scope,
            total,
            used: 0.0,
            source,
            replaced: None,
            age,
            seen_age: age,
            recent: UseAverage::default(),
            last_seen: now,
            assumed: 0.0,
            assumed_until: now,
            headroom: f64::INFINITY,
        }
    }

    /// Returns how a report compares with those received before.
    pub(super) fn order(&self, source: Option<u64>, age: Duration) -> ReportOrder {
        if source.is_none() || self.source.is_none() {
            return ReportOrder::Newest;
        }
        if source == self.replaced {
            return ReportOrder::Known;
        }
        if source != self.source || age > self.seen_age {
            return ReportOrder::Newest;
        }
        if age > self.age {
            ReportOrder::Late
        } else {
            ReportOrder::Known
        }
    }

    /// Replaces what is known by a further report; returns the units used since the one before.
    pub(super) fn record(&mut self, now: ClockTime, report: &HostUse) -> f64 {
        let used = if self.is_restart(report) {
            report.total
        } else {
            // A lower total comes from refunds.
            report.total - self.total
        };
        let mut recent = self.recent;
        recent.record(now, used.max(0.0));
        let known = *self;
        *self = Self {
            used: known.used + used,
            recent,
            ..Self::new(now, report)
        };
        self.source = report.source.or(known.source);
        self.replaced = known.replaced;
        if self.source != known.source {
            self.replaced = known.source;
        }
        used
    }

    /// Records a total that is newer than the known one although the host was heard of since; returns
    /// the units used.
    pub(super) fn record_late(&mut self, now: ClockTime, report: &HostUse) -> f64 {
        let used = report.total - self.total;
        self.recent.record(now, used.max(0.0));
        self.used += used;
        self.total = report.total;
        self.age = report.age;
        used
    }

    /// Records that the process of the host is alive and has charged no further units.
    pub(super) fn record_unchanged(&mut self, now: ClockTime, source: u64, age: Duration) {
        if self.source.is_some_and(|known| known != source) {
            // A new process, whose total of the quota is still unknown.
            self.replaced = self.source;
            self.total = 0.0;
            self.age = Duration::ZERO;
        }
        self.source = Some(source);
        self.seen_age = age;
        self.mark_seen(now);
    }

    /// Records that the host is alive.
    pub(super) const fn mark_seen(&mut self, now: ClockTime) {
        self.last_seen = now;
        self.assumed_until = now;
    }

    fn is_restart(&self, report: &HostUse) -> bool {
        match (self.source, report.source) {
            (Some(known), Some(source)) => known != source,
            _ => report.age < self.age,
        }
    }

    /// Bounds what is assumed beyond the host's part, unless the host started lately: its bucket began
    /// with a level of its own.
    pub(super) fn limit_headroom(&mut self, headroom: f64) {
        if self.age >= LAST_RATE_TIME {
            self.headroom = headroom;
        }
    }

    /// Returns whether the reports of the host are overdue.
    pub(super) fn is_overdue(&self, now: ClockTime) -> bool {
        now.since(self.last_seen) > REPORT_TIMEOUT
    }

    /// Assumes use since the last report, or since the last call; `part` is the use in units per
    /// second that is assumed at least. Returns the assumed units.
    pub(super) fn assume(&mut self, now: ClockTime, part: f64) -> f64 {
        let beyond = if now.since(self.last_seen) < LAST_RATE_TIME {
            (self.recent.last_rate() - part).max(0.0)
        } else {
            0.0
        };
        let elapsed = now.since(self.assumed_until).as_secs_f64();
        let beyond = (beyond * elapsed).min(self.headroom);
        self.headroom -= beyond;
        let used = part.mul_add(elapsed, beyond);
        self.assumed += used;
        self.assumed_until = now;
        used
    }
}

/// A moving average of the units charged, in units per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UseAverage {
    rate: f64,
    updated_at: ClockTime,
}

impl UseAverage {
    /// Records units that were used.
    pub(super) fn record(&mut self, now: ClockTime, units: f64) {
        self.rate = self.rate(now) + units / USE_AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the average at the time of the last use.
    pub(super) const fn last_rate(&self) -> f64 {
        self.rate
    }

    /// Returns the average at a time.
    pub(super) fn rate(&self, now: ClockTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / USE_AVERAGING_TIME.as_secs_f64()).exp()
    }
}
