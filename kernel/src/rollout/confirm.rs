//! When a data centre confirms a version and when a change is accepted.

use std::collections::BTreeSet;

use super::PeerVersions;
use super::PendingChange;
use super::Rollout;
use super::report::ChangeProgress;
use super::report::RolloutAction;
use super::report::RolloutLack;
use crate::clock::ClockTime;
use crate::configuration::ConfigVersion;
use crate::name::DatacenterName;

/// The most hosts of a data centre that may be silent while it confirms a version.
const MAX_MISSING_HOSTS: usize = 1;

impl Rollout {
    /// Confirms for the own data centre what all of its hosts have applied that are not silent.
    pub(super) fn confirm_own(&mut self, now: ClockTime) {
        let settled = now.since(self.awake) >= self.times.silence || self.alone;
        if !settled || !self.is_fresh(now) {
            return;
        }
        if self.missing_hosts(now) > MAX_MISSING_HOSTS {
            return;
        }
        let peers = self.members();
        let peers = peers.filter(|peer| !self.is_silent(now, peer));
        let lowest = peers.map(|peer| peer.report.applied).min();
        let version = lowest.map_or(self.applied, |lowest| lowest.min(self.applied));
        let confirmed = self.confirmed.entry(self.datacenter.clone()).or_default();
        *confirmed = version.max(*confirmed);
    }

    /// Returns the hosts that were heard in the own data centre.
    fn members(&self) -> impl Iterator<Item = &PeerVersions> {
        let peers = self.peers.values();
        peers.filter(|peer| peer.report.datacenter == self.datacenter)
    }

    /// Returns the number of hosts of the own data centre that fell silent without having stopped.
    fn missing_hosts(&self, now: ClockTime) -> usize {
        let missing = self.members().filter(|peer| !peer.report.stopping);
        let missing = missing.filter(|peer| self.is_silent(now, peer));
        missing.count()
    }

    pub(super) fn forget_dead(&mut self, now: ClockTime) {
        let memory = self.times.memory;
        let awake = self.awake;
        self.peers
            .retain(|_, peer| now.since(peer.heard.max(awake)) < memory);
    }

    pub(super) fn settle(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain(|version, change| {
            let progress = self.progress(now, *version, change);
            let Some(progress) = progress else {
                return true;
            };
            let version = *version;
            actions.push(RolloutAction::Report { version, progress });
            false
        });
        self.pending = pending;
    }

    fn progress(
        &self,
        now: ClockTime,
        version: ConfigVersion,
        change: &mut PendingChange,
    ) -> Option<ChangeProgress> {
        let needed = self.needed();
        let missing = needed.into_iter();
        let missing = missing.filter(|datacenter| self.confirmed_by(datacenter) < version);
        let missing: Vec<DatacenterName> = missing.collect();
        if missing.is_empty() {
            let complete = *change.complete.get_or_insert(now);
            let only_host = self.alone && self.peers.is_empty();
            if only_host || now.since(complete) >= self.times.settle {
                return Some(ChangeProgress::Accepted);
            }
        } else {
            change.complete = None;
        }
        (now >= change.deadline).then(|| ChangeProgress::Recorded {
            lacking: self.lacking(version, missing),
        })
    }

    /// Returns the data centres that must confirm: all that are configured or were heard and that
    /// are not declared gone.
    fn needed(&self) -> BTreeSet<DatacenterName> {
        let mut needed = self.required.clone();
        let heard = self.peers.values();
        needed.extend(heard.map(|peer| peer.report.datacenter.clone()));
        needed.extend(self.confirmed.keys().cloned());
        needed.insert(self.datacenter.clone());
        needed.retain(|datacenter| !self.gone.contains(datacenter));
        needed
    }

    fn lacking(&self, version: ConfigVersion, missing: Vec<DatacenterName>) -> Vec<RolloutLack> {
        let mut lacking = Vec::new();
        for datacenter in missing {
            let hosts = self.peers.iter();
            let hosts = hosts.filter(|(_, peer)| peer.report.datacenter == datacenter);
            let hosts = hosts.filter(|(_, peer)| peer.report.applied < version);
            let hosts: Vec<RolloutLack> = hosts
                .map(|(host, _)| RolloutLack::Host {
                    datacenter: datacenter.clone(),
                    host: host.clone(),
                })
                .collect();
            lacking.push(RolloutLack::Datacenter(datacenter));
            lacking.extend(hosts);
        }
        lacking
    }
}
