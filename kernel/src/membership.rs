//! Which hosts are alive and which of them is the broker of a cell.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockTime;
use crate::name::DatacenterName;
use crate::name::HostName;
use crate::name::ServiceName;

/// The time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The time without a heartbeat after which a host is declared dead.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How much a host can do beside its own callers' work: one of four classes.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::membership::HostStrength;
///
/// let small = HostStrength::of(0.12, 10.0);
/// let large = HostStrength::of(0.5, 200.0);
/// assert!(small < large);
/// // A slow link holds a fast processor back.
/// assert_eq!(HostStrength::of(4.0, 10.0), small);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HostStrength(u8);

/// The processor cores from which on a host is of the next class.
const CORE_CLASSES: [f64; 3] = [0.2, 0.4, 0.8];

/// The highest class.
const HIGHEST_CLASS: u8 = 3;

/// The megabits a second from which on a link carries what a broker of many hosts sends and gets.
const BROKER_MEGABITS: f64 = 50.0;

impl HostStrength {
    /// Returns the class of a host with a share of processor cores and a link in megabits a second.
    #[must_use]
    pub fn of(cores: f64, megabits: f64) -> Self {
        if megabits < BROKER_MEGABITS {
            return Self::default();
        }
        let reached = CORE_CLASSES.iter().filter(|class| cores >= **class);
        Self(u8::try_from(reached.count()).unwrap_or_default())
    }

    /// Returns the number of the class, from nought to three.
    #[must_use]
    pub const fn class(self) -> u8 {
        self.0
    }

    /// Returns the strength of a class; a number above the highest class stands for that one.
    #[must_use]
    pub const fn of_class(class: u8) -> Self {
        Self(if class > HIGHEST_CLASS {
            HIGHEST_CLASS
        } else {
            class
        })
    }
}

/// What a heartbeat says about the life of its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LifeSign {
    /// The data centre of the host.
    pub datacenter: DatacenterName,
    /// The random number that the host drew when it started.
    pub incarnation: u64,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// How much the host can do beside its own callers' work.
    pub strength: HostStrength,
    /// The address at which the host accepts links.
    pub address: SocketAddr,
    /// The host's clock when it sent the heartbeat.
    pub sent: ClockTime,
}

/// A live host as another host lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedMember {
    /// The name of the host.
    pub host: HostName,
    /// The random number that the host drew when it started.
    pub incarnation: u64,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// The address at which the host accepts links.
    pub address: SocketAddr,
}

/// A live host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LiveMember {
    /// The data centre of the host.
    pub datacenter: DatacenterName,
    /// The random number that the host drew when it started.
    pub incarnation: u64,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// How much the host can do beside its own callers' work; nothing is known of a listed one.
    pub strength: HostStrength,
    /// The address at which the host accepts links.
    pub address: SocketAddr,
}

/// A change of the live hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// The host is alive now; after a restart this follows [`MemberChange::HostLost`].
    HostAlive(HostName),
    /// The host is dead, or was restarted.
    HostLost(HostName),
}

/// The host that is the broker of a cell and the one that takes over first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BrokerPair<'a> {
    /// The broker.
    pub first: Option<&'a HostName>,
    /// The host that takes over when the broker does not answer.
    pub deputy: Option<&'a HostName>,
}

#[derive(Clone, Debug)]
struct DirectPeer {
    sign: LifeSign,
    heard: ClockTime,
}

/// The live hosts, as one host knows them.
///
/// Hosts of the own data centre count as alive while their own heartbeats arrive. Hosts of another
/// data centre also count as alive while a live neighbour from there lists them.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::membership::Membership;
/// use borageladder_kernel::name::DatacenterName;
/// use borageladder_kernel::name::HostName;
/// use borageladder_kernel::name::ServiceName;
///
/// let host = HostName::try_from("h1")?;
/// let datacenter = DatacenterName::try_from("sapporo-a")?;
/// let members = Membership::new(host.clone(), datacenter.clone());
/// let service = ServiceName::try_from("drafter")?;
/// assert_eq!(members.broker(&service, &datacenter), Some(&host));
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    host: HostName,
    datacenter: DatacenterName,
    stopping: bool,
    strength: HostStrength,
    direct: BTreeMap<HostName, DirectPeer>,
    lists: BTreeMap<HostName, Vec<ListedMember>>,
    alive: BTreeMap<HostName, LiveMember>,
}

impl Membership {
    /// Creates the membership of a host that knows only itself.
    #[must_use]
    pub fn new(host: HostName, datacenter: DatacenterName) -> Self {
        Self {
            host,
            datacenter,
            stopping: false,
            strength: HostStrength::default(),
            direct: BTreeMap::new(),
            lists: BTreeMap::new(),
            alive: BTreeMap::new(),
        }
    }

    /// Notes a heartbeat that arrived from a host.
    pub fn heard(&mut self, now: ClockTime, host: &HostName, sign: LifeSign) -> Vec<MemberChange> {
        if *host == self.host {
            return Vec::new();
        }
        let known = self.alive.get(host).is_some_and(|live| {
            live.incarnation == sign.incarnation
                && live.stopping == sign.stopping
                && live.strength == sign.strength
                && live.address == sign.address
        });
        let peer = DirectPeer { sign, heard: now };
        let before = self.direct.insert(host.clone(), peer);
        if known && before.is_some() {
            return Vec::new();
        }
        self.refresh(now)
    }

    /// Notes the live hosts of another host's data centre, as that host lists them.
    pub fn listed(
        &mut self,
        now: ClockTime,
        by: &HostName,
        members: Vec<ListedMember>,
    ) -> Vec<MemberChange> {
        self.lists.insert(by.clone(), members);
        self.refresh(now)
    }

    /// Declares hosts dead whose heartbeats are overdue.
    pub fn tick(&mut self, now: ClockTime) -> Vec<MemberChange> {
        self.refresh(now)
    }

    /// Sets whether this host is stopping and gives up its broker roles.
    pub fn set_stopping(&mut self, stopping: bool) {
        self.stopping = stopping;
    }

    /// Returns whether this host is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Sets how much this host can do beside its own callers' work.
    pub fn set_strength(&mut self, strength: HostStrength) {
        self.strength = strength;
    }

    /// Returns how much this host can do beside its own callers' work.
    #[must_use]
    pub fn strength(&self) -> HostStrength {
        self.strength
    }

    /// Returns the `sent` time of the last heartbeat of a host, to be echoed to it, unless that
    /// heartbeat came from another incarnation of the host.
    #[must_use]
    pub fn last_sent(&self, host: &HostName, incarnation: u64) -> Option<ClockTime> {
        let peer = self.direct.get(host)?;
        (peer.sign.incarnation == incarnation).then_some(peer.sign.sent)
    }

    /// Returns the data centre of a host that was heard directly.
    #[must_use]
    pub fn datacenter(&self, host: &HostName) -> Option<&DatacenterName> {
        if *host == self.host {
            return Some(&self.datacenter);
        }
        let direct = self.direct.get(host).map(|peer| &peer.sign.datacenter);
        direct.or_else(|| self.alive.get(host).map(|live| &live.datacenter))
    }

    /// Returns the live hosts other than this one.
    #[must_use]
    pub fn others(&self) -> &BTreeMap<HostName, LiveMember> {
        &self.alive
    }

    /// Returns the names of the live hosts of a data centre, this one included.
    #[must_use]
    pub fn alive(&self, datacenter: &DatacenterName) -> Vec<HostName> {
        let others = self.alive.iter();
        let others = others.filter(|(_, live)| live.datacenter == *datacenter);
        let mut names: Vec<HostName> = others.map(|(host, _)| host.clone()).collect();
        if self.datacenter == *datacenter {
            names.push(self.host.clone());
            names.sort();
        }
        names
    }

    /// Returns the names of all live hosts, this one included.
    #[must_use]
    pub fn all_alive(&self) -> Vec<HostName> {
        let mut names: Vec<HostName> = self.alive.keys().cloned().collect();
        names.push(self.host.clone());
        names.sort();
        names
    }

    /// Returns the broker of the cell of a service in a data centre: among the live hosts there
    /// that are not stopping, of the strongest the one with the highest rendezvous hash.
    ///
    /// While all of them are stopping, one of these is the broker.
    #[must_use]
    pub fn broker(&self, service: &ServiceName, datacenter: &DatacenterName) -> Option<&HostName> {
        let brokers = self.brokers(service, datacenter, |place| place == datacenter);
        brokers.first
    }

    /// Returns the broker of the cell that a service has for several data centres, and its deputy;
    /// `home` names the cell, and `within` tells which data centres share it.
    #[must_use]
    pub fn brokers(
        &self,
        service: &ServiceName,
        home: &DatacenterName,
        within: impl Fn(&DatacenterName) -> bool,
    ) -> BrokerPair<'_> {
        let others = self.alive.iter();
        let others = others.filter(|(_, live)| within(&live.datacenter));
        let others = others.map(|(host, live)| (host, live.stopping, live.strength));
        let own = (&self.host, self.stopping, self.strength);
        let own = within(&self.datacenter).then_some(own);
        let mut pair = BrokerPair::default();
        let mut ranks = [None, None];
        for (host, stopping, strength) in others.chain(own) {
            let hash = rendezvous_hash(service, home, host);
            let rank = Some((!stopping, strength, hash, host));
            if rank > ranks[0] {
                ranks = [rank, ranks[0]];
                pair = BrokerPair {
                    first: Some(host),
                    deputy: pair.first,
                };
            } else if rank > ranks[1] {
                ranks[1] = rank;
                pair.deputy = Some(host);
            }
        }
        pair
    }

    fn refresh(&mut self, now: ClockTime) -> Vec<MemberChange> {
        self.direct
            .retain(|_, peer| now.since(peer.heard) < HEARTBEAT_TIMEOUT);
        let direct = &self.direct;
        self.lists.retain(|by, _| direct.contains_key(by));
        let alive = self.live_members();
        let before = std::mem::replace(&mut self.alive, alive);
        self.changes(&before)
    }

    fn live_members(&self) -> BTreeMap<HostName, LiveMember> {
        let mut alive = BTreeMap::new();
        for (by, members) in &self.lists {
            let datacenter = &self.direct[by].sign.datacenter;
            if *datacenter == self.datacenter {
                continue;
            }
            for member in members.iter().filter(|member| member.host != self.host) {
                alive.insert(member.host.clone(), live_member(datacenter, member));
            }
        }
        for (host, peer) in &self.direct {
            let sign = &peer.sign;
            let live = LiveMember {
                datacenter: sign.datacenter.clone(),
                incarnation: sign.incarnation,
                stopping: sign.stopping,
                strength: sign.strength,
                address: sign.address,
            };
            alive.insert(host.clone(), live);
        }
        alive
    }

    fn changes(&self, before: &BTreeMap<HostName, LiveMember>) -> Vec<MemberChange> {
        let same = |host: &HostName, live: &LiveMember, other: &BTreeMap<HostName, LiveMember>| {
            let other = other.get(host);
            other.is_some_and(|other| other.incarnation == live.incarnation)
        };
        let lost = before.iter();
        let lost = lost.filter(|(host, live)| !same(host, live, &self.alive));
        let lost = lost.map(|(host, _)| MemberChange::HostLost(host.clone()));
        let found = self.alive.iter();
        let found = found.filter(|(host, live)| !same(host, live, before));
        let found = found.map(|(host, _)| MemberChange::HostAlive(host.clone()));
        lost.chain(found).collect()
    }
}

fn live_member(datacenter: &DatacenterName, member: &ListedMember) -> LiveMember {
    LiveMember {
        datacenter: datacenter.clone(),
        incarnation: member.incarnation,
        stopping: member.stopping,
        strength: HostStrength::default(),
        address: member.address,
    }
}

/// Returns the rendezvous hash of a host for a cell; the live host with the highest is its broker.
fn rendezvous_hash(service: &ServiceName, datacenter: &DatacenterName, host: &HostName) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for name in [service.as_str(), datacenter.as_str(), host.as_str()] {
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
    }
    let hash = hasher.finalize();
    let leading = hash.as_bytes().first_chunk();
    leading.copied().map(u64::from_le_bytes).unwrap_or_default()
}
