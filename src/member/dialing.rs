//! The addresses of hosts, and the dialing of those that links are missing to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::MemberSettings;
use crate::kernel::clock::ClockTime;
use crate::kernel::membership::HostClass;
use crate::kernel::membership::LinkCandidate;
use crate::kernel::membership::LinkPlan;
use crate::kernel::membership::LinkView;
use crate::kernel::membership::Membership;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::link::LinkSet;
use crate::wire::MemberEntry;
use crate::wire::MemberList;

/// The largest number of addresses of one other data centre that a host sends to its peers.
const MAX_HINTS: usize = 3;

/// The largest number of hosts whose addresses are stored for one data centre.
const MAX_ADDRESSES: usize = 256;

/// The number of seed peers that a host of a large deployment dials at once.
const SEED_BATCH: usize = 4;

/// The number of links below which a host of a large deployment dials further seed peers.
const MIN_LINKS: usize = 8;

/// The time after which further seed peers are dialed while links are few.
const SEED_INTERVAL: Duration = Duration::from_secs(1);

/// The time after which the number of known hosts counts as settled.
const SETTLING_TIME: Duration = Duration::from_millis(400);

/// The time for which the same hosts are dialed of those that are not known to be alive, in microseconds.
const DIAL_ROUND_MICROS: u64 = 2_000_000;

/// The time after which the address of a host that is not alive is removed.
const DEAD_HOST_RETENTION: Duration = Duration::from_mins(1);

/// The known addresses of hosts and the choice of those to dial.
#[derive(Debug)]
pub struct PeerDialer {
    datacenter: DatacenterName,
    own_address: SocketAddr,
    plan: LinkPlan,
    small_hosts: usize,
    max_seeds: usize,
    /// The number of known hosts at the last choice of links, and when it last grew.
    settled_count: usize,
    grown_at: ClockTime,
    seeds_dialed_at: ClockTime,
    /// The seed peers that are dialed.
    seed_peers: BTreeSet<SocketAddr>,
    /// The seed peers that are dialed only while links are few.
    spare_seeds: Vec<SocketAddr>,
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
        let mut spare_seeds: Vec<SocketAddr> = settings.seed_peers.clone();
        spare_seeds.retain(|address| *address != own_address);
        Self {
            datacenter: settings.datacenter.clone(),
            own_address,
            plan: settings.links,
            small_hosts: settings.small_hosts,
            max_seeds: settings.max_seeds,
            settled_count: 0,
            grown_at: ClockTime::ZERO,
            seeds_dialed_at: ClockTime::ZERO,
            unresolved_seeds: spare_seeds.iter().copied().collect(),
            seed_peers: BTreeSet::new(),
            spare_seeds,
            local_peer_seen: false,
            addresses: BTreeMap::new(),
            dead_since: BTreeMap::new(),
        }
    }

    /// Dials seed peers: all of them, or a few taken at random if there are many.
    pub fn dial_seeds(&mut self, links: &LinkSet) {
        let are_many = self.spare_seeds.len() > self.max_seeds;
        let count = if are_many { SEED_BATCH } else { usize::MAX };
        for _ in 0..count.min(self.spare_seeds.len()) {
            let position = rand::random_range(0..self.spare_seeds.len());
            let address = self.spare_seeds.swap_remove(position);
            self.seed_peers.insert(address);
            links.dial(address);
        }
    }

    /// Returns whether the deployment is a large one, by the known hosts.
    pub fn is_large(&self) -> bool {
        let known = self.addresses.values().map(BTreeMap::len);
        let registered = self.seed_peers.len() + self.spare_seeds.len();
        known.sum::<usize>().max(registered) >= self.small_hosts
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

    /// Returns the addresses of a few live hosts of every other data centre, taken at random.
    pub fn random_hints(&self, membership: &Membership) -> Vec<MemberList> {
        let others = self.addresses.iter();
        let others = others.filter(|(datacenter, _)| **datacenter != self.datacenter);
        let lists = others.map(|(datacenter, addresses)| {
            let alive = addresses.iter();
            let alive = alive.filter(|(host, _)| membership.others().contains_key(*host));
            let mut alive: Vec<_> = alive.collect();
            let mut members = Vec::new();
            while members.len() < MAX_HINTS && !alive.is_empty() {
                members.push(hint(alive.swap_remove(rand::random_range(0..alive.len()))));
            }
            MemberList {
                datacenter: datacenter.clone(),
                members,
            }
        });
        lists.filter(|list| !list.members.is_empty()).collect()
    }

    /// Dials hosts to which links are missing and removes hosts that have not been alive for
    /// `DEAD_HOST_RETENTION`.
    pub fn maintain(&mut self, now: ClockTime, links: &LinkSet, membership: &Membership) {
        self.record_live_hosts(membership);
        let are_seeds_due = now.since(self.seeds_dialed_at) >= SEED_INTERVAL;
        if links.connected().len() < MIN_LINKS && are_seeds_due {
            self.seeds_dialed_at = now;
            self.dial_seeds(links);
        }
        let known = self.candidates(links, membership);
        let count = known.len();
        let has_grown = count > self.settled_count;
        let view = LinkView {
            is_settled: !has_grown && now.since(self.grown_at) >= SETTLING_TIME,
            round: now.as_micros() / DIAL_ROUND_MICROS,
        };
        let missing = self
            .plan
            .missing(links.host(), &self.datacenter, &known, view);
        let addresses = self.addresses.values();
        for host in missing {
            let address = addresses.clone().find_map(|addresses| addresses.get(host));
            if let Some(address) = address {
                links.dial(*address);
            }
        }
        if has_grown {
            self.grown_at = now;
        }
        self.settled_count = count;
        self.remove_dead(now, links, membership);
    }

    fn candidates(&self, links: &LinkSet, membership: &Membership) -> Vec<LinkCandidate<'_>> {
        let known = self.addresses.iter().flat_map(|(datacenter, addresses)| {
            let others = addresses.iter();
            let others = others.filter(|(_, address)| **address != self.own_address);
            others.map(move |(host, _)| (host, datacenter))
        });
        let candidates = known.map(|(host, datacenter)| LinkCandidate {
            host,
            datacenter,
            is_alive: membership.others().contains_key(host),
            is_linked: links.is_connected(host),
        });
        candidates.collect()
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
        host_class: HostClass::default(),
    }
}
