//! Exchange of the units that hosts charge to the quotas of workspaces.
//!
//! In a small deployment each host reports to all others. In a large one it reports to the hosts of
//! its data centre only. One host of each data centre, the reporter, sends the sum of its data centre
//! to the reporters of the others, which pass it on to their hosts. Hosts of builds that know no sums
//! report to all hosts and are reported to by all.

use super::host::GatewayHost;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::quota::DatacenterUse;
use crate::kernel::quota::ReportScope;
use crate::wire::LinkMessage;
use crate::wire::UsageReport;
use crate::wire::UsageSum;
use crate::wire::WireRevision;
use crate::wire::WorkspaceUsage;

impl GatewayHost {
    /// Sends the other hosts the units that this host has charged to the quota of each workspace
    /// whose use changed, or of every workspace if `include_unchanged` is set; sends the sum of the
    /// data centre as well if this host is its reporter.
    pub fn report_usage(&self, include_unchanged: bool) {
        let report = self.own_usage(include_unchanged);
        let message = LinkMessage::Usage(report);
        if !self.sums_usage() {
            self.forget_sums();
            self.links.broadcast(&message);
            return;
        }
        let peers = self.links.connected().into_iter();
        self.send_to(
            peers.filter(|peer| self.is_near(peer) || !self.takes_sums(peer)),
            &message,
        );
        if include_unchanged {
            self.forget_summed_peers();
        }
        let own = &self.settings.datacenter;
        if self.reporter(own).as_ref() == Some(&self.settings.host) {
            let message = LinkMessage::UsageSum(self.own_sum(include_unchanged));
            let others = self.settings.datacenters.keys();
            let others = others.filter(|datacenter| *datacenter != own);
            let reporters = others.filter_map(|datacenter| self.reporter(datacenter));
            self.send_to(reporters, &message);
        }
    }

    /// Records the quota units charged by another host.
    pub fn record_peer_usage(&self, from: &HostName, report: &UsageReport) {
        let is_summed = self.sums_usage() && self.takes_sums(from);
        let scope = match is_summed {
            true if self.is_near(from) => ReportScope::Datacenter,
            // The sum of its data centre covers this host.
            true => return,
            false => ReportScope::Deployment,
        };
        let now = self.clock.now();
        for (workspace, quota) in self.state.quotas.borrow_mut().iter_mut() {
            let mut uses = report.uses.iter();
            match uses.find(|reported| reported.workspace == *workspace) {
                Some(reported) => {
                    quota.record_report(now, from, scope, reported.units, report.age);
                }
                None => quota.record_liveness(now, from),
            }
        }
    }

    /// Records the sum of another data centre, and passes it on to the hosts of this one if this host
    /// is the reporter and `from` is in another data centre.
    pub fn record_usage_sum(&self, from: &HostName, sum: &UsageSum) {
        let own = &self.settings.datacenter;
        if sum.datacenter == *own || !self.sums_usage() {
            return;
        }
        self.apply_sum(self.clock.now(), sum);
        if !self.is_near(from) && self.reporter(own).as_ref() == Some(&self.settings.host) {
            let peers = self.links.connected().into_iter();
            let near = peers.filter(|peer| self.is_near(peer) && self.takes_sums(peer));
            self.send_to(near, &LinkMessage::UsageSum(sum.clone()));
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

    /// Returns the host that reports the sum of a data centre.
    fn reporter(&self, datacenter: &DatacenterName) -> Option<HostName> {
        let own = &self.settings.host;
        self.members
            .reporter(datacenter, |host| host == own || self.takes_sums(host))
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
