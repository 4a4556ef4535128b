//! Exchange of the units that hosts charge to the quotas of workspaces.
//!
//! In a small deployment each host reports to all others. In a large one its reports reach the hosts of
//! its data centre only, by way of two of them, which send bundles of the reports they receive
//! ([`ReportExchange`]). One of these two, the reporter, also sends the sum of its data centre to the
//! reporters of the others, which pass it on with their bundles. Hosts of builds that know no bundles
//! or no sums report, and are reported to, directly.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::host::GatewayHost;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::quota::DatacenterUse;
use crate::kernel::quota::HostUse;
use crate::kernel::quota::PassedReport;
use crate::kernel::quota::ReportBundle;
use crate::kernel::quota::ReportBundler;
use crate::kernel::quota::ReportExchange;
use crate::kernel::quota::ReportPeer;
use crate::kernel::quota::ReportScope;
use crate::kernel::quota::WorkspaceUsage;
use crate::wire::LinkMessage;
use crate::wire::UsageReport;
use crate::wire::UsageSum;
use crate::wire::WireRevision;

/// What a host passes on of the use of quotas.
#[derive(Debug)]
pub struct UsageExchange {
    reports: RefCell<ReportExchange>,
    /// The sums of other data centres that are to be passed on with the next bundle.
    sums: RefCell<BTreeMap<DatacenterName, UsageSum>>,
}

impl UsageExchange {
    /// Creates the exchange of a host that has received nothing.
    #[must_use]
    pub fn new(host: HostName) -> Self {
        Self {
            reports: RefCell::new(ReportExchange::new(host)),
            sums: RefCell::default(),
        }
    }

    /// Queues a sum to be passed on; one of the same process adds to what is queued.
    fn queue_sum(&self, sum: &UsageSum) {
        let mut sums = self.sums.borrow_mut();
        let queued = sums.get_mut(&sum.datacenter);
        let Some(queued) = queued.filter(|queued| queued.source == sum.source) else {
            sums.insert(sum.datacenter.clone(), sum.clone());
            return;
        };
        queued.hosts = sum.hosts;
        let is_older = |usage: &WorkspaceUsage| {
            let mut newer = sum.uses.iter();
            !newer.any(|newer| newer.workspace == usage.workspace)
        };
        queued.uses.retain(is_older);
        queued.uses.extend_from_slice(&sum.uses);
    }
}

impl GatewayHost {
    /// Sends the units that this host has charged to the quota of each workspace whose use changed, or
    /// of every workspace if `include_unchanged` is set, to the hosts that pass them on, or to all;
    /// sends the sum of the data centre as well if this host is its reporter.
    pub fn report_usage(&self, include_unchanged: bool) {
        if !self.sums_usage() {
            self.forget_sums();
            let message = LinkMessage::Usage(self.own_usage(include_unchanged));
            self.links.broadcast(&message);
            return;
        }
        let now = self.clock.now();
        let bundlers = self.bundlers();
        let peers = self.report_peers();
        let mut exchange = self.usage.reports.borrow_mut();
        let plan = exchange.plan(now, &bundlers, &peers);
        let report = self.own_usage(include_unchanged || plan.is_full);
        let passed = PassedReport {
            host: self.settings.host.clone(),
            source: self.links.incarnation(),
            age: report.age,
            uses: report.uses.clone(),
        };
        exchange.collect(&passed);
        drop(exchange);
        self.send_to(plan.direct.into_iter(), &LinkMessage::Usage(report));
        let bundle = ReportBundle {
            wants_reports: true,
            reports: vec![passed],
        };
        let message = LinkMessage::UsageBundle(Arc::new(bundle));
        self.send_to(plan.asked.into_iter(), &message);
        if include_unchanged {
            self.forget_summed_peers();
        }
        self.report_sum(include_unchanged);
    }

    /// Sends the hosts of the data centre what was received since the last call, if this host passes
    /// reports on.
    pub fn pass_usage_on(&self) {
        let bundles = self.usage.reports.borrow_mut().take_bundles();
        let sums = self.usage.sums.take();
        if !self.sums_usage() || (bundles.is_empty() && sums.is_empty()) {
            return;
        }
        let near = self.report_peers();
        let near = near.into_iter().filter(|peer| peer.is_near);
        let near: Vec<ReportPeer> = near.filter(|peer| peer.takes_sums).collect();
        for bundle in bundles {
            let takers = near.iter().filter(|peer| peer.takes_bundles);
            let takers = takers.map(|peer| peer.host.clone());
            self.send_to(takers, &LinkMessage::UsageBundle(Arc::new(bundle)));
        }
        for sum in sums.into_values() {
            let takers = near.iter().map(|peer| peer.host.clone());
            self.send_to(takers, &LinkMessage::UsageSum(sum));
        }
    }

    /// Records the quota units charged by another host, which reports them itself.
    pub fn record_peer_usage(&self, from: &HostName, report: &UsageReport) {
        let is_summed = self.sums_usage() && self.takes_sums(from);
        let is_near = self.is_near(from);
        let scope = match is_summed {
            true if is_near => ReportScope::Datacenter,
            // The sum of its data centre covers this host.
            true => return,
            false => ReportScope::Deployment,
        };
        let Some(source) = self.links.peer_incarnation(from) else {
            // The link was closed meanwhile; the host reports again on the next one.
            return;
        };
        let report = PassedReport {
            host: from.clone(),
            source,
            age: report.age,
            uses: report.uses.clone(),
        };
        self.apply_report(scope, &report);
        if is_near && self.takes_bundles(from) {
            self.usage.reports.borrow_mut().collect(&report);
        }
    }

    /// Records the reports of hosts of this data centre that one of them passes on.
    pub fn record_usage_bundle(&self, from: &HostName, bundle: &ReportBundle) {
        if !self.is_near(from) {
            return;
        }
        let scope = if self.sums_usage() {
            ReportScope::Datacenter
        } else {
            ReportScope::Deployment
        };
        let own = &self.settings.host;
        for report in bundle.reports.iter().filter(|report| report.host != *own) {
            self.apply_report(scope, report);
        }
        let now = self.clock.now();
        let source = self.links.incarnation();
        let mut exchange = self.usage.reports.borrow_mut();
        exchange.record_bundle(now, from, source, bundle);
    }

    /// Records the sum of another data centre, which is passed on to the hosts of this one if this host
    /// is the reporter and `from` is in another data centre.
    pub fn record_usage_sum(&self, from: &HostName, sum: &UsageSum) {
        let own = &self.settings.datacenter;
        if sum.datacenter == *own || !self.sums_usage() {
            return;
        }
        self.apply_sum(self.clock.now(), sum);
        if !self.is_near(from) && self.reporter(own).as_ref() == Some(&self.settings.host) {
            self.usage.queue_sum(sum);
        }
    }

    fn report_sum(&self, include_unchanged: bool) {
        let own = &self.settings.datacenter;
        if self.reporter(own).as_ref() != Some(&self.settings.host) {
            return;
        }
        let message = LinkMessage::UsageSum(self.own_sum(include_unchanged));
        let others = self.settings.datacenters.keys();
        let others = others.filter(|datacenter| *datacenter != own);
        let reporters = others.filter_map(|datacenter| self.reporter(datacenter));
        for reporter in reporters {
            if self.links.send(&reporter, message.clone()).is_err() {
                // The next sum uses the link that is dialed here.
                self.members.dial(&reporter);
            }
        }
    }

    fn apply_report(&self, scope: ReportScope, report: &PassedReport) {
        let now = self.clock.now();
        let PassedReport {
            host, source, age, ..
        } = report;
        for (workspace, quota) in self.state.quotas.borrow_mut().iter_mut() {
            let mut uses = report.uses.iter();
            let reported = uses.find(|reported| reported.workspace == *workspace);
            if let Some(reported) = reported {
                let host_use = HostUse {
                    scope,
                    source: Some(*source),
                    age: *age,
                    total: reported.units,
                };
                quota.record_report(now, host, &host_use);
            } else {
                quota.record_unchanged(now, host, *source, *age);
            }
        }
    }

    fn apply_sum(&self, now: ClockTime, sum: &UsageSum) {
        for (workspace, quota) in self.state.quotas.borrow_mut().iter_mut() {
            let mut uses = sum.uses.iter();
            let reported = uses.find(|reported| reported.workspace == *workspace);
            if let Some(reported) = reported {
                let sum_use = DatacenterUse {
                    source: sum.source,
                    hosts: sum.hosts,
                    total: reported.units,
                };
                quota.record_sum(now, &sum.datacenter, &sum_use);
            } else {
                quota.record_sum_liveness(now, &sum.datacenter, sum.source);
            }
        }
    }

    fn own_usage(&self, include_unchanged: bool) -> UsageReport {
        let mut quotas = self.state.quotas.borrow_mut();
        let uses = quotas.iter_mut().filter_map(|(workspace, quota)| {
            let units = quota.usage_report(include_unchanged)?;
            let workspace = workspace.clone();
            Some(WorkspaceUsage { workspace, units })
        });
        UsageReport {
            age: self.clock.now().since(ClockTime::ZERO),
            // A report without uses is sent too: it shows that no further units were charged.
            uses: uses.collect(),
        }
    }

    fn own_sum(&self, include_unchanged: bool) -> UsageSum {
        let now = self.clock.now();
        let count = self.host_count();
        let near = self.links.connected().into_iter();
        let near = near.filter(|peer| self.is_near(peer) && self.takes_sums(peer));
        let hosts = u32::try_from(near.count()).unwrap_or(u32::MAX);
        let mut quotas = self.state.quotas.borrow_mut();
        let uses = quotas.iter_mut().filter_map(|(workspace, quota)| {
            let units = quota.sum_report(now, count, include_unchanged)?;
            let workspace = workspace.clone();
            Some(WorkspaceUsage { workspace, units })
        });
        UsageSum {
            datacenter: self.settings.datacenter.clone(),
            source: self.links.incarnation(),
            hosts: hosts.saturating_add(1),
            uses: uses.collect(),
        }
    }

    /// Returns whether hosts report to those of their data centre only.
    fn sums_usage(&self) -> bool {
        self.host_count() > self.settings.direct_hosts
    }

    fn is_near(&self, peer: &HostName) -> bool {
        let datacenter = self.members.datacenter(peer);
        datacenter.as_ref() == Some(&self.settings.datacenter)
    }

    fn takes_sums(&self, peer: &HostName) -> bool {
        let revision = self.links.peer_revision(peer);
        revision.is_some_and(|revision| revision >= WireRevision::SUMS)
    }

    fn takes_bundles(&self, peer: &HostName) -> bool {
        let revision = self.links.peer_revision(peer);
        revision.is_some_and(|revision| revision >= WireRevision::BUNDLED_USE)
    }

    /// Returns the linked hosts, as far as it matters for reports.
    fn report_peers(&self) -> Vec<ReportPeer> {
        let peers = self.links.connected().into_iter();
        let peers = peers.map(|host| ReportPeer {
            is_near: self.is_near(&host),
            takes_sums: self.takes_sums(&host),
            takes_bundles: self.takes_bundles(&host),
            host,
        });
        peers.collect()
    }

    /// Returns the hosts of this data centre that pass reports on: its reporter, and the one that would
    /// be in its place, among those that know bundles.
    fn bundlers(&self) -> Vec<ReportBundler> {
        let own = &self.settings.host;
        let passes = |host: &HostName| host == own || self.takes_bundles(host);
        let datacenter = &self.settings.datacenter;
        let Some(first) = self.members.reporter(datacenter, passes) else {
            return Vec::new();
        };
        let second = |host: &HostName| *host != first && passes(host);
        let second = self.members.reporter(datacenter, second);
        let bundlers = [first].into_iter().chain(second);
        let bundlers = bundlers.map(|host| ReportBundler {
            source: if host == *own {
                Some(self.links.incarnation())
            } else {
                self.links.peer_incarnation(&host)
            },
            host,
        });
        bundlers.collect()
    }

    /// Returns the host that reports the sum of a data centre.
    fn reporter(&self, datacenter: &DatacenterName) -> Option<HostName> {
        let own = &self.settings.host;
        let is_own = *datacenter == self.settings.datacenter;
        self.members.reporter(datacenter, |host| {
            // Hosts that take no sums are linked with all others.
            let is_unlinked = !is_own && !self.links.is_connected(host);
            host == own || is_unlinked || self.takes_sums(host)
        })
    }

    /// Drops hosts from the quotas that a sum covers, which reported to all hosts before.
    fn forget_summed_peers(&self) {
        for quota in self.state.quotas.borrow_mut().values_mut() {
            if !quota.has_sums() {
                continue;
            }
            let sums = quota.summed_datacenters();
            quota.retain_peers(|peer| {
                let datacenter = self.members.datacenter(peer);
                let is_covered = datacenter.is_some_and(|datacenter| sums.contains(&datacenter));
                !(is_covered && self.takes_sums(peer))
            });
        }
    }

    fn forget_sums(&self) {
        for quota in self.state.quotas.borrow_mut().values_mut() {
            quota.forget_sums();
        }
    }

    /// Sends a message to hosts; one that can't be sent is replaced by the next report.
    fn send_to(&self, hosts: impl Iterator<Item = HostName>, message: &LinkMessage) {
        for host in hosts {
            let _ = self.links.send(&host, message.clone());
        }
    }
}
