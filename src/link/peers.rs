//! What a host knows of the hosts that it is linked with.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::LinkSet;
use super::handshake::AuthenticatedPeer;
use crate::kernel::name::HostName;
use crate::wire::WireRevision;

impl LinkSet {
    /// Returns the names of the linked hosts, in ascending order.
    #[must_use]
    pub fn connected(&self) -> Vec<HostName> {
        self.links.borrow().keys().cloned().collect()
    }

    /// Returns whether a link to the host is established.
    #[must_use]
    pub fn is_connected(&self, host: &HostName) -> bool {
        self.links.borrow().contains_key(host)
    }

    /// Returns whether a linked host opened the link.
    #[must_use]
    pub fn is_dialed_by(&self, host: &HostName) -> bool {
        let links = self.links.borrow();
        links.get(host).is_some_and(|link| link.dialer == *host)
    }

    /// Returns the address at which a linked host accepts links; `None` without a link.
    #[must_use]
    pub fn address(&self, host: &HostName) -> Option<SocketAddr> {
        self.links.borrow().get(host).map(|link| link.address())
    }

    /// Returns the incarnation of a linked host; `None` without a link.
    #[must_use]
    pub fn peer_incarnation(&self, host: &HostName) -> Option<u64> {
        let links = self.links.borrow();
        links.get(host).map(|link| link.peer.incarnation)
    }

    /// Returns the revision of the messages that a linked host understands; `None` without a link.
    #[must_use]
    pub fn peer_revision(&self, host: &HostName) -> Option<WireRevision> {
        let links = self.links.borrow();
        links.get(host).map(|link| link.knowledge.revision())
    }

    /// Returns the number of linked hosts by the revision of the messages that they understand.
    #[must_use]
    pub fn peers_by_revision(&self) -> BTreeMap<WireRevision, u64> {
        let mut counts = BTreeMap::new();
        for link in self.links.borrow().values() {
            *counts.entry(link.knowledge.revision()).or_default() += 1;
        }
        counts
    }

    pub(super) fn is_earliest(&self, peer: &AuthenticatedPeer) -> bool {
        let peers = self.earliest_peers.borrow();
        peers.get(&peer.host) == Some(&peer.incarnation)
    }

    pub(super) fn record_earliest(&self, peer: &AuthenticatedPeer) {
        let mut peers = self.earliest_peers.borrow_mut();
        peers.insert(peer.host.clone(), peer.incarnation);
    }
}
