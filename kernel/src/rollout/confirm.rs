//! Confirmation of a version by a data centre, and acceptance of a change.

use std::collections::BTreeSet;

use super::PeerVersions;
use super::PendingChange;
use super::Rollout;
use super::report::ChangeProgress;
use super::report::RolloutAction;
use super::report::UnconfirmedMember;
use crate::clock::ClockTime;
use crate::configuration::ConfigVersion;
use crate::name::DatacenterName;

/// The largest number of missing hosts with which a data centre still confirms versions; see
/// [`Rollout::missing_hosts`].
const MAX_MISSING_HOSTS: usize = 1;

impl Rollout {
    /// Confirms, for the local data centre, the highest version that all of its non-silent hosts
    /// have applied.
    ///
    /// Confirms nothing while this host is not fresh or too many other hosts are missing, nor
    /// within the heartbeat timeout after a start or a pause unless this host is the sole one.
    pub(super) fn confirm_own(&mut self, now: ClockTime) {
        // Before the timeout has passed, there may be live peers whose heartbeats have not arrived
        // yet.
        let peers_heard =
            now.since(self.running_since) >= self.times.heartbeat_timeout || self.sole_host;
        if !peers_heard || !self.is_fresh(now) {
            return;
        }
        if self.missing_hosts(now) > MAX_MISSING_HOSTS {
            return;
        }
        let peers = self.local_peers();
        let peers = peers.filter(|peer| !self.is_silent(now, peer));
        let lowest = peers.map(|peer| peer.report.applied).min();
        let version = lowest.map_or(self.applied, |lowest| lowest.min(self.applied));
        let confirmed = self.confirmed.entry(self.datacenter.clone()).or_default();
        *confirmed = version.max(*confirmed);
    }

    /// Returns the peers in the local data centre, silent ones included.
    fn local_peers(&self) -> impl Iterator<Item = &PeerVersions> {
        let peers = self.peers.values();
        peers.filter(|peer| peer.report.datacenter == self.datacenter)
    }

    /// Returns the number of local peers that are silent without having reported that they stop.
    fn missing_hosts(&self, now: ClockTime) -> usize {
        let missing = self.local_peers().filter(|peer| !peer.report.stopping);
        let missing = missing.filter(|peer| self.is_silent(now, peer));
        missing.count()
    }

    /// Removes the peers without a heartbeat for [`RolloutTimes::retention`].
    ///
    /// [`RolloutTimes::retention`]: super::RolloutTimes::retention
    pub(super) fn remove_expired_peers(&mut self, now: ClockTime) {
        let retention = self.times.retention;
        let running_since = self.running_since;
        self.peers
            .retain(|_, peer| now.since(peer.last_heartbeat.max(running_since)) < retention);
    }

    /// Reports, and stops tracking, the pending changes that are accepted or past their deadline.
    pub(super) fn report_changes(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
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

    /// Returns the progress to report, or `None` while the change stays pending; updates the time
    /// since which the version is confirmed.
    fn progress(
        &self,
        now: ClockTime,
        version: ConfigVersion,
        change: &mut PendingChange,
    ) -> Option<ChangeProgress> {
        let required = self.required_datacenters();
        let unconfirmed = required.into_iter();
        let unconfirmed = unconfirmed.filter(|datacenter| self.confirmed_by(datacenter) < version);
        let unconfirmed: Vec<DatacenterName> = unconfirmed.collect();
        if unconfirmed.is_empty() {
            let confirmed_since = *change.confirmed_since.get_or_insert(now);
            // Without other hosts, there is none that may still take work with an older version.
            let only_host = self.sole_host && self.peers.is_empty();
            if only_host || now.since(confirmed_since) >= self.times.acceptance_delay {
                return Some(ChangeProgress::Accepted);
            }
        } else {
            change.confirmed_since = None;
        }
        (now >= change.deadline).then(|| ChangeProgress::Recorded {
            unconfirmed: self.unconfirmed(version, unconfirmed),
        })
    }

    /// Returns the data centres that must confirm a version: the local one, those of the
    /// configuration, of all peers and of all earlier confirmations, except for the ones that are
    /// declared gone.
    fn required_datacenters(&self) -> BTreeSet<DatacenterName> {
        let mut required = self.required.clone();
        let peers = self.peers.values();
        required.extend(peers.map(|peer| peer.report.datacenter.clone()));
        required.extend(self.confirmed.keys().cloned());
        required.insert(self.datacenter.clone());
        required.retain(|datacenter| !self.gone.contains(datacenter));
        required
    }

    /// Returns the given data centres, each followed by its hosts other than this one that have not
    /// applied a version.
    fn unconfirmed(
        &self,
        version: ConfigVersion,
        datacenters: Vec<DatacenterName>,
    ) -> Vec<UnconfirmedMember> {
        let mut unconfirmed = Vec::new();
        for datacenter in datacenters {
            let hosts = self.peers.iter();
            let hosts = hosts.filter(|(_, peer)| peer.report.datacenter == datacenter);
            let hosts = hosts.filter(|(_, peer)| peer.report.applied < version);
            let hosts: Vec<UnconfirmedMember> = hosts
                .map(|(host, _)| UnconfirmedMember::Host {
                    datacenter: datacenter.clone(),
                    host: host.clone(),
                })
                .collect();
            unconfirmed.push(UnconfirmedMember::Datacenter(datacenter));
            unconfirmed.extend(hosts);
        }
        unconfirmed
    }
}
