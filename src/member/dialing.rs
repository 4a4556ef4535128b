//! The choice of hosts to dial: all of this data centre and a few of every other one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::MemberSettings;
use crate::kernel::clock::ClockTime;
use crate::kernel::membership::Membership;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::link::LinkSet;
use crate::wire::MemberEntry;
use crate::wire::MemberList;

/// The default of [`MemberSettings::remote_links`].
pub const REMOTE_LINKS: usize = 2;

/// The largest number of addresses of one other data centre that a host sends to its peers.
const MAX_HINTS: usize = 3;

/// The largest number of hosts whose addresses are stored for one data centre.
const MAX_ADDRESSES: usize = 256;

/// The time after which the address of a host that is not alive is removed.
const DEAD_HOST_RETENTION: Duration = Duration::from_mins(1);

/// The known addresses of hosts and the choice of those to dial.
#[derive(Debug)]
pub struct PeerDialer {
    datacenter: DatacenterName,
    own_address: SocketAddr,
    remote_links: usize,
    seed_peers: BTreeSet<SocketAddr>,
    /// The seed peers whose host and data centre are not known yet.
    unresolved_seeds: BTreeSet<SocketAddr>,
    /// Whether another host of this data centre was ever seen.
    local_peer_seen: bool,
    addresses: BTreeMap<DatacenterName, BTreeMap<HostName, SocketAddr>>,
    /// The time at which each host that is not alive was first seen to be so.
    dead_since: BTreeMap<HostName, ClockTime>,
}

impl PeerDialer {
    /// Creates a dialer that has only the addresses of the seed peers.
    pub fn new(settings: &MemberSettings, own_address: SocketAddr) -> Self {
        let mut seed_peers: BTreeSet<SocketAddr> = settings.seed_peers.iter().copied().collect();
        seed_peers.remove(&own_address);
        Self {
            datacenter: settings.datacenter.clone(),
            own_address,
            remote_links: settings.remote_links,
            unresolved_seeds: seed_peers.clone(),
            seed_peers,
            local_peer_seen: false,
            addresses: BTreeMap::new(),
            dead_since: BTreeMap::new(),
        }
    }

    /// Returns whether no other host of this data centre was ever seen and every seed peer was
    /// found to be in another one.
    pub fn is_sole_host(&self) -> bool {
        !self.local_peer_seen && self.unresolved_seeds.is_empty()
    }

    /// Stores the address of a host, unless `MAX_ADDRESSES` others are stored for its data centre;
    /// returns whether the address is new.
    pub fn record_address(
        &mut self,
        datacenter: &DatacenterName,
        host: &HostName,
        address: SocketAddr,
    ) -> bool {
        self.local_peer_seen |= *datacenter == self.datacenter;
        self.unresolved_seeds.remove(&address);
        let addresses = self.addresses.entry(datacenter.clone()).or_default();
        let is_new = match addresses.get(host) {
            Some(known) => *known != address,
            None => addresses.len() < MAX_ADDRESSES,
        };
        if is_new {
            addresses.insert(host.clone(), address);
        }
        is_new
    }

    /// Returns the addresses of a few live hosts of every other data centre, to be sent to peers.
    pub fn hints(&self, membership: &Membership) -> Vec<MemberList> {
        let others = self.addresses.iter();
        let others = others.filter(|(datacenter, _)| **datacenter != self.datacenter);
        let lists = others.map(|(datacenter, addresses)| {
            let alive = addresses.iter();
            let alive = alive.filter(|(host, _)| membership.others().contains_key(*host));
            MemberList {
                datacenter: datacenter.clone(),
                members: alive.take(MAX_HINTS).map(hint).collect(),
            }
        });
        lists.filter(|list| !list.members.is_empty()).collect()
    }

    /// Dials hosts to which links are missing and removes hosts that have not been alive for
    /// `DEAD_HOST_RETENTION`.
    pub fn maintain(&mut self, now: ClockTime, links: &LinkSet, membership: &Membership) {
        self.record_live_hosts(membership);
        for (datacenter, addresses) in &self.addresses {
            let max_dials = if *datacenter == self.datacenter {
                usize::MAX
            } else {
                let linked = addresses.keys().filter(|host| links.is_connected(host));
                self.remote_links.saturating_sub(linked.count())
            };
            let mut candidates: Vec<(&HostName, &SocketAddr)> = addresses.iter().collect();
            candidates.retain(|(host, address)| {
                !links.is_connected(host) && **address != self.own_address
            });
            // The order differs from host to host, so that links are spread over the data centre.
            candidates.sort_by_cached_key(|(host, _)| preference(links.host(), host));
            for (_, address) in candidates.into_iter().take(max_dials) {
                links.dial(*address);
            }
        }
        self.remove_dead(now, links, membership);
    }

    fn record_live_hosts(&mut self, membership: &Membership) {
        for (host, live) in membership.others() {
            self.record_address(&live.datacenter, host, live.address);
        }
    }

    fn remove_dead(&mut self, now: ClockTime, links: &LinkSet, membership: &Membership) {
        let alive = membership.others();
        self.dead_since.retain(|host, _| !alive.contains_key(host));
        for addresses in self.addresses.values_mut() {
            addresses.retain(|host, address| {
                if alive.contains_key(host) {
                    return true;
                }
                let since = *self.dead_since.entry(host.clone()).or_insert(now);
                if now.since(since) < DEAD_HOST_RETENTION {
                    return true;
                }
                self.dead_since.remove(host);
                if !self.seed_peers.contains(address) {
                    links.stop_dialing(*address);
                }
                false
            });
        }
    }
}

/// Returns a member of a list from which the receiver uses only the name and the address.
fn hint((host, address): (&HostName, &SocketAddr)) -> MemberEntry {
    MemberEntry {
        host: host.clone(),
        address: *address,
        incarnation: 0,
        stopping: false,
    }
}

/// Returns the hash by which a host orders the other hosts of a data centre for dialing.
fn preference(own: &HostName, other: &HostName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(own.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(other.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
