//! The host that drives releases, and the hosts that know releases.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::host::GatewayHost;
use super::super::sync;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::HostName;
use crate::wire::WireRevision;

/// The time for which the roles are kept before they are derived again; with hundreds of hosts the
/// choice takes about as long as a request.
const ROLE_AGE: Duration = Duration::from_millis(250);

/// The host that drives releases, and the live hosts that know them.
///
/// In a large deployment not all hosts are linked, so a host is also known by its reports.
#[derive(Debug, Default)]
pub(super) struct ReleaseRoles {
    /// The hosts whose links or reports show that they know releases.
    aware: BTreeSet<HostName>,
    /// The linked hosts of builds that don't know releases.
    unaware: BTreeSet<HostName>,
    /// The time as of which the next two hold; `None` at first.
    as_of: Option<ClockTime>,
    driver: Option<HostName>,
    all_aware: bool,
}

impl ReleaseRoles {
    /// Records that a host has reported evidence.
    pub(super) fn record_report(&mut self, host: &HostName) {
        self.aware.insert(host.clone());
    }

    fn update(&mut self, host: &GatewayHost) {
        let now = host.clock.now();
        if self.as_of.is_some_and(|as_of| now.since(as_of) < ROLE_AGE) {
            return;
        }
        self.as_of = Some(now);
        let alive: BTreeSet<HostName> = host.members.all_alive().into_iter().collect();
        // A host that is back may run an earlier build.
        self.aware.retain(|host| alive.contains(host));
        self.unaware.clear();
        for peer in host.links.connected() {
            let revision = host.links.peer_revision(&peer);
            if revision.is_some_and(|revision| revision >= WireRevision::RELEASES) {
                self.aware.insert(peer);
            } else {
                self.aware.remove(&peer);
                self.unaware.insert(peer);
            }
        }
        let own = &host.settings.host;
        let mut others = alive.iter().filter(|host| *host != own);
        self.all_aware = others.all(|host| self.aware.contains(host));
        let may_drive = |host: &HostName| !self.unaware.contains(host);
        let first = host.settings.datacenters.keys().next();
        self.driver = first.and_then(|first| sync::first_eligible(host, first, may_drive));
    }
}

impl GatewayHost {
    /// Returns whether all live hosts know releases.
    pub(super) fn all_hosts_aware(&self) -> bool {
        let mut roles = self.releases.roles.borrow_mut();
        roles.update(self);
        roles.all_aware
    }

    /// Returns the host that drives releases: the first in rank among those that are not known to run
    /// an earlier build.
    pub(super) fn release_driver(&self) -> Option<HostName> {
        let mut roles = self.releases.roles.borrow_mut();
        roles.update(self);
        roles.driver.clone()
    }

    /// Returns whether this host drives releases.
    pub(super) fn drives_releases(&self) -> bool {
        self.release_driver().as_ref() == Some(&self.settings.host)
    }
}

/// Returns whether this host must read orders itself, since it drives releases and its source of the
/// state runs a build that doesn't know them.
pub(in super::super) fn drives_without_source(host: &GatewayHost) -> bool {
    let releases = &host.releases;
    releases.is_enabled() && !releases.source_knows.get() && host.drives_releases()
}
