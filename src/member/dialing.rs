//! Which hosts to dial: all of the own data centre and a few of every other.

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

/// The links that a host keeps to every other data centre unless its settings say otherwise.
pub const REMOTE_LINKS: usize = 2;

/// The addresses of another data centre that a host passes on.
const MAX_HINTS: usize = 3;

/// The most hosts whose addresses are remembered for one data centre.
const MAX_ADDRESSES: usize = 256;

/// The time after which the address of a host that is not alive is forgotten.
const FORGET_TIMEOUT: Duration = Duration::from_mins(1);

/// The known addresses and the choice among them.
#[derive(Debug)]
pub struct PeerDialer {
    datacenter: DatacenterName,
    own_address: SocketAddr,
    remote_links: usize,
    first_peers: BTreeSet<SocketAddr>,
    unresolved: BTreeSet<SocketAddr>,
    joined: bool,
    addresses: BTreeMap<DatacenterName, BTreeMap<HostName, SocketAddr>>,
    dead_since: BTreeMap<HostName, ClockTime>,
}

impl PeerDialer {
    /// Creates the state of a host that knows only its first peers.
    pub fn new(settings: &MemberSettings, own_address: SocketAddr) -> Self {
        let mut first_peers: BTreeSet<SocketAddr> = settings.first_peers.iter().copied().collect();
        first_peers.remove(&own_address);
        Self {
            datacenter: settings.datacenter.clone(),
            own_address,
            remote_links: settings.remote_links,
            unresolved: first_peers.clone(),
            first_peers,
            joined: false,
            addresses: BTreeMap::new(),
            dead_since: BTreeMap::new(),
        }
    }

    /// Returns whether no other host of the data centre was ever known.
    pub fn is_alone(&self) -> bool {
        !self.joined && self.unresolved.is_empty()
    }

    /// Remembers the address of a host.
    pub fn note(&mut self, datacenter: &DatacenterName, host: &HostName, address: SocketAddr) {
        self.joined |= *datacenter == self.datacenter;
        self.unresolved.remove(&address);
        let addresses = self.addresses.entry(datacenter.clone()).or_default();
        if addresses.len() < MAX_ADDRESSES || addresses.contains_key(host) {
            addresses.insert(host.clone(), address);
        }
    }

    /// Returns the addresses of a few live hosts of every other data centre, to be passed on.
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

    /// Dials what is missing and forgets hosts that are dead for long.
    pub fn maintain(&mut self, now: ClockTime, links: &LinkSet, membership: &Membership) {
        self.note_live(membership);
        for (datacenter, addresses) in &self.addresses {
            let missing = if *datacenter == self.datacenter {
                usize::MAX
            } else {
                let linked = addresses.keys().filter(|host| links.is_connected(host));
                self.remote_links.saturating_sub(linked.count())
            };
            let mut candidates: Vec<(&HostName, &SocketAddr)> = addresses.iter().collect();
            candidates.retain(|(host, address)| {
                !links.is_connected(host) && **address != self.own_address
            });
            // Each host prefers others, so that links are spread over the data centre.
            candidates.sort_by_key(|(host, _)| preference(links.host(), host));
            for (_, address) in candidates.into_iter().take(missing) {
                links.dial(*address);
            }
        }
        self.forget_dead(now, links, membership);
    }

    fn note_live(&mut self, membership: &Membership) {
        for (host, live) in membership.others() {
            self.note(&live.datacenter, host, live.address);
        }
    }

    fn forget_dead(&mut self, now: ClockTime, links: &LinkSet, membership: &Membership) {
        let alive = membership.others();
        self.dead_since.retain(|host, _| !alive.contains_key(host));
        for addresses in self.addresses.values_mut() {
            addresses.retain(|host, address| {
                if alive.contains_key(host) {
                    return true;
                }
                let since = *self.dead_since.entry(host.clone()).or_insert(now);
                if now.since(since) < FORGET_TIMEOUT {
                    return true;
                }
                self.dead_since.remove(host);
                if !self.first_peers.contains(address) {
                    links.stop_dialing(*address);
                }
                false
            });
        }
    }
}

fn hint((host, address): (&HostName, &SocketAddr)) -> MemberEntry {
    MemberEntry {
        host: host.clone(),
        address: *address,
        incarnation: 0,
        stopping: false,
    }
}

fn preference(own: &HostName, other: &HostName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(own.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(other.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
