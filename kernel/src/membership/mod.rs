//! Detection of live hosts by heartbeats, and election of the broker of a cell among them.

mod announcement;
mod class;
mod election;
mod lateness;
mod mesh;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::name::DatacenterName;
use crate::name::HostName;

pub use self::announcement::ListSchedule;
pub use self::announcement::MAX_LIST_RECIPIENTS;
pub use self::class::HostClass;
pub use self::election::BrokerPair;
pub use self::lateness::LatenessAllowance;
pub use self::mesh::LinkCandidate;
pub use self::mesh::LinkPlan;
pub use self::mesh::LinkView;

/// The interval between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The time without a heartbeat after which a host is declared dead.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The part of a heartbeat that concerns the liveness of its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LivenessSignal {
    /// The data centre of the host.
    pub datacenter: DatacenterName,
    /// The random number that identifies this run of the host's process.
    pub incarnation: u64,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// The class of the host.
    pub host_class: HostClass,
    /// The address at which the host accepts links from other hosts.
    pub address: SocketAddr,
    /// The time at which the heartbeat was sent, by the clock of the sender.
    pub sent: ClockTime,
}

/// A live host as listed by another host of its data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedMember {
    /// The name of the host.
    pub host: HostName,
    /// The random number that identifies this run of the host's process.
    pub incarnation: u64,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// The class of the host; the lowest one if the list does not tell.
    pub host_class: HostClass,
    /// The address at which the host accepts links from other hosts.
    pub address: SocketAddr,
}

/// A live host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LiveMember {
    /// The data centre of the host.
    pub datacenter: DatacenterName,
    /// The random number that identifies this run of the host's process.
    pub incarnation: u64,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// The class of the host; the lowest one if the host is known only from lists that don't tell.
    pub host_class: HostClass,
    /// The address at which the host accepts links from other hosts.
    pub address: SocketAddr,
}

/// A change in the set of live hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// The host is alive; after a restart this follows [`MemberChange::HostLost`].
    HostAlive(HostName),
    /// The host was declared dead or has restarted.
    HostLost(HostName),
}

/// The members of a list by their names.
type MemberTable = BTreeMap<HostName, ListedMember>;

/// A live host with its name.
type LiveEntry = (HostName, LiveMember);

#[derive(Clone, Debug)]
struct DirectPeer {
    signal: LivenessSignal,
    received: ClockTime,
}

impl DirectPeer {
    fn live_member(&self) -> LiveMember {
        let signal = &self.signal;
        LiveMember {
            datacenter: signal.datacenter.clone(),
            incarnation: signal.incarnation,
            stopping: signal.stopping,
            host_class: signal.host_class,
            address: signal.address,
        }
    }
}

/// The membership view of one host.
///
/// A host counts as alive while its heartbeats are received. A host of another data centre also
/// counts as alive while it is in the member list of a host of that data centre whose heartbeats
/// are received.
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
    host_class: HostClass,
    /// The hosts whose heartbeats are received, with the last heartbeat of each.
    direct: BTreeMap<HostName, DirectPeer>,
    /// The last member lists received from hosts; those of hosts in `direct` count.
    lists: BTreeMap<HostName, MemberTable>,
    /// All live hosts other than this one.
    alive: BTreeMap<HostName, LiveMember>,
    /// A number that changes whenever the choice of brokers may.
    generation: u64,
    /// The time added to the heartbeat timeout, since this host runs late.
    allowance: Duration,
}

impl Membership {
    /// Creates a membership that holds only the host itself.
    #[must_use]
    pub fn new(host: HostName, datacenter: DatacenterName) -> Self {
        Self {
            host,
            datacenter,
            stopping: false,
            host_class: HostClass::default(),
            direct: BTreeMap::new(),
            lists: BTreeMap::new(),
            alive: BTreeMap::new(),
            generation: 0,
            allowance: Duration::ZERO,
        }
    }

    /// Records a heartbeat that was received from a host, and returns the changes that follow.
    pub fn record_heartbeat(
        &mut self,
        now: ClockTime,
        host: &HostName,
        signal: LivenessSignal,
    ) -> Vec<MemberChange> {
        if *host == self.host {
            return Vec::new();
        }
        let unchanged = self.alive.get(host).is_some_and(|live| {
            live.incarnation == signal.incarnation
                && live.stopping == signal.stopping
                && live.host_class == signal.host_class
                && live.address == signal.address
        });
        let peer = DirectPeer {
            signal,
            received: now,
        };
        let datacenter = peer.signal.datacenter.clone();
        let live = peer.live_member();
        let before = self.direct.insert(host.clone(), peer);
        if unchanged && before.is_some() {
            return Vec::new();
        }
        let is_heard_again = before.is_none() && self.lists.contains_key(host);
        let has_moved = before.is_some_and(|before| before.signal.datacenter != datacenter);
        if has_moved || is_heard_again {
            // The lists of a host are those of its data centre, and count while it is heard.
            return self.refresh(now);
        }
        self.generation += 1;
        let incarnation = live.incarnation;
        match self.alive.insert(host.clone(), live) {
            Some(known) if known.incarnation == incarnation => Vec::new(),
            Some(_) => vec![
                MemberChange::HostLost(host.clone()),
                MemberChange::HostAlive(host.clone()),
            ],
            None => vec![MemberChange::HostAlive(host.clone())],
        }
    }

    /// Records the live hosts of another host's data centre, as listed by that host, and returns the
    /// changes that follow.
    ///
    /// The list counts while heartbeats of that host are received, and is ignored if it is in the data
    /// centre of this host.
    pub fn record_member_list(
        &mut self,
        by: &HostName,
        members: Vec<ListedMember>,
    ) -> Vec<MemberChange> {
        let members: MemberTable = members
            .into_iter()
            .map(|member| (member.host.clone(), member))
            .collect();
        let datacenter = match self.direct.get(by) {
            Some(peer) if peer.signal.datacenter == self.datacenter => return Vec::new(),
            Some(peer) => peer.signal.datacenter.clone(),
            None => {
                self.lists.insert(by.clone(), members);
                return Vec::new();
            }
        };
        let before = self.lists.remove(by).unwrap_or_default();
        let decided = |host: &HostName| *host != self.host && !self.direct.contains_key(host);
        let listed = members
            .iter()
            .filter(|(host, member)| before.get(*host) != Some(*member) && decided(host));
        let listed: Vec<LiveEntry> = listed
            .map(|(host, member)| (host.clone(), live_member(&datacenter, member)))
            .collect();
        let others = &self.lists;
        let unlisted = before.keys().filter(|host| {
            let is_listed = || {
                let heard = others
                    .iter()
                    .filter(|(by, _)| self.direct.contains_key(*by));
                heard.into_iter().any(|(_, list)| list.contains_key(*host))
            };
            !members.contains_key(*host) && decided(host) && !is_listed()
        });
        let unlisted: Vec<HostName> = unlisted.cloned().collect();
        self.lists.insert(by.clone(), members);
        self.apply_list(listed, &unlisted)
    }

    /// Applies what is new in a list: hosts that it adds or changes, and hosts that no list has any more.
    fn apply_list(&mut self, listed: Vec<LiveEntry>, unlisted: &[HostName]) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        for host in unlisted {
            if self.alive.remove(host).is_some() {
                changes.push(MemberChange::HostLost(host.clone()));
                self.generation += 1;
            }
        }
        for (host, mut live) in listed {
            let known = self.alive.get(&host);
            if let Some(known) = known.filter(|known| known.incarnation == live.incarnation) {
                // Lists of earlier builds don't tell the class, which doesn't change in a run.
                live.host_class = live.host_class.max(known.host_class);
            }
            if known == Some(&live) {
                continue;
            }
            self.generation += 1;
            let incarnation = known.map(|known| known.incarnation);
            if incarnation != Some(live.incarnation) {
                if incarnation.is_some() {
                    changes.push(MemberChange::HostLost(host.clone()));
                }
                changes.push(MemberChange::HostAlive(host.clone()));
            }
            self.alive.insert(host, live);
        }
        changes
    }

    /// Sets the time that is added to [`HEARTBEAT_TIMEOUT`] while this host itself runs late.
    pub const fn set_allowance(&mut self, allowance: Duration) {
        self.allowance = allowance;
    }

    /// Declares hosts dead from which no heartbeat was received for [`HEARTBEAT_TIMEOUT`] and the
    /// allowance, and returns the changes.
    pub fn tick(&mut self, now: ClockTime) -> Vec<MemberChange> {
        let mut received = self.direct.values().map(|peer| peer.received);
        // The live hosts are computed from hundreds of member lists, so only after a change.
        if received.all(|received| now.since(received) < self.timeout()) {
            return Vec::new();
        }
        self.refresh(now)
    }

    /// Sets whether this host is stopping. While it is, its broker roles go to live hosts that
    /// are not stopping.
    pub fn set_stopping(&mut self, stopping: bool) {
        self.stopping = stopping;
        self.generation += 1;
    }

    /// Returns whether this host is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Sets the class of this host.
    pub fn set_host_class(&mut self, class: HostClass) {
        self.host_class = class;
        self.generation += 1;
    }

    /// Returns the class of this host.
    #[must_use]
    pub fn host_class(&self) -> HostClass {
        self.host_class
    }

    /// Returns the `sent` time of the last heartbeat of a host, to be echoed to the host; `None` if
    /// there is no heartbeat or it came from another incarnation of the host.
    #[must_use]
    pub fn last_sent(&self, host: &HostName, incarnation: u64) -> Option<ClockTime> {
        let peer = self.direct.get(host)?;
        (peer.signal.incarnation == incarnation).then_some(peer.signal.sent)
    }

    /// Returns the data centre of a live host, or of this one; `None` for an unknown host.
    #[must_use]
    pub fn datacenter(&self, host: &HostName) -> Option<&DatacenterName> {
        if *host == self.host {
            return Some(&self.datacenter);
        }
        let direct = self.direct.get(host).map(|peer| &peer.signal.datacenter);
        direct.or_else(|| self.alive.get(host).map(|live| &live.datacenter))
    }

    /// Returns the live hosts other than this one.
    #[must_use]
    pub fn others(&self) -> &BTreeMap<HostName, LiveMember> {
        &self.alive
    }

    /// Returns the names of the live hosts of a data centre, including this host if it is there, in
    /// ascending order.
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

    /// Returns the names of all live hosts, including this one, in ascending order.
    #[must_use]
    pub fn all_alive(&self) -> Vec<HostName> {
        let mut names: Vec<HostName> = self.alive.keys().cloned().collect();
        names.push(self.host.clone());
        names.sort();
        names
    }

    /// Returns a number that changes whenever the choice of brokers may.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the number of live hosts, including this one.
    #[must_use]
    pub fn alive_count(&self) -> usize {
        self.alive.len() + 1
    }

    fn timeout(&self) -> Duration {
        HEARTBEAT_TIMEOUT + self.allowance
    }

    /// Recomputes the live hosts and returns what changed.
    fn refresh(&mut self, now: ClockTime) -> Vec<MemberChange> {
        let timeout = self.timeout();
        self.direct
            .retain(|_, peer| now.since(peer.received) < timeout);
        let alive = self.live_members();
        // A host that isn't heard for a while but lives doesn't send its list again.
        let direct = &self.direct;
        self.lists
            .retain(|by, _| direct.contains_key(by) || alive.contains_key(by));
        self.generation += 1;
        let before = std::mem::replace(&mut self.alive, alive);
        self.changes(&before)
    }

    fn live_members(&self) -> BTreeMap<HostName, LiveMember> {
        let mut alive = BTreeMap::new();
        for (by, members) in &self.lists {
            let Some(peer) = self.direct.get(by) else {
                continue;
            };
            let datacenter = &peer.signal.datacenter;
            if *datacenter == self.datacenter {
                continue;
            }
            for member in members.values().filter(|member| member.host != self.host) {
                alive.insert(member.host.clone(), live_member(datacenter, member));
            }
        }
        for (host, peer) in &self.direct {
            alive.insert(host.clone(), peer.live_member());
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
        host_class: member.host_class,
        address: member.address,
    }
}
