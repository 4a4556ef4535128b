//! Which workers a host can connect to by itself, and which other hosts can connect for it.
//!
//! A host can lose the path to all workers while other hosts keep theirs. It then opens connections
//! through a peer. Until it knows that, each connection is first tried directly for
//! [`TUNNEL_DELAY`]. Afterwards both ways are tried at once and the first connection is used, so
//! that the direct way is back in use as soon as it works again.
//!
//! Whether a failed connection is the fault of the worker or of the path is found out by
//! connections to a few other workers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::location::NetworkDistance;
use crate::name::HostName;
use crate::name::WorkerName;

/// The time for which a connection is tried directly before another host is asked too. It is longer
/// than a few round trips between regions.
pub const TUNNEL_DELAY: Duration = Duration::from_millis(150);

/// The maximum number of hosts that are asked for one connection.
pub const MAX_PEERS: usize = 3;

/// The number of hosts that must fail to connect to a worker before that counts as its failure.
pub const CONFIRMING_PEERS: usize = 2;

/// The time for which a failed connection counts.
const FAILURE_TIME: Duration = Duration::from_secs(2);

/// The time for which a peer that opened no connection is asked last.
const AVOIDANCE_TIME: Duration = Duration::from_secs(2);

/// The number of workers that a host must fail to connect to, and to no other since, before the
/// cause is sought at the host.
const ISOLATING_FAILURES: usize = 2;

/// The number of workers to which a host connects to find out whether it has lost its path.
pub const MAX_CHECKED_WORKERS: usize = 4;

/// A host that may open a connection for this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerCandidate {
    /// The name of the host.
    pub host: HostName,
    /// Its distance.
    pub distance: NetworkDistance,
}

/// The connections that a host failed to open lately, directly and through peers.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::reachability::ReachabilityTable;
/// use borageladder_kernel::reachability::TUNNEL_DELAY;
///
/// let mut table = ReachabilityTable::default();
/// let now = ClockTime::ZERO;
/// let (first, second) = ("drafter-1".parse()?, "drafter-2".parse()?);
/// assert_eq!(table.tunnel_delay(now, &first), TUNNEL_DELAY);
/// table.record_failure(now, &first);
/// table.record_failure(now, &second);
/// assert!(table.is_isolated(now));
/// table.record_opened(&first);
/// assert!(!table.is_isolated(now));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReachabilityTable {
    /// The workers to which no direct connection was opened, with the time of the last attempt.
    failures: BTreeMap<WorkerName, ClockTime>,
    /// The workers among them that failed since a direct connection was last opened to any worker.
    failures_in_row: BTreeMap<WorkerName, ClockTime>,
    /// The number of checks, by which they go over all workers.
    checks: usize,
    /// The peers that opened no connection, and until when they are asked last.
    avoided: BTreeMap<HostName, ClockTime>,
}

impl ReachabilityTable {
    /// Records that a direct connection to a worker was opened.
    pub fn record_opened(&mut self, worker: &WorkerName) {
        self.failures.remove(worker);
        self.failures_in_row.clear();
    }

    /// Records that no direct connection to a worker was opened in time.
    pub fn record_failure(&mut self, now: ClockTime, worker: &WorkerName) {
        for failures in [&mut self.failures, &mut self.failures_in_row] {
            failures.retain(|_, at| now.since(*at) < FAILURE_TIME);
            failures.insert(worker.clone(), now);
        }
    }

    /// Returns whether the host has probably lost the path to all workers.
    #[must_use]
    pub fn is_isolated(&self, now: ClockTime) -> bool {
        let recent = |at: &&ClockTime| now.since(**at) < FAILURE_TIME;
        self.failures_in_row.values().filter(recent).count() >= ISOLATING_FAILURES
    }

    /// Returns the workers to connect to in order to find out whether the host or the worker to which
    /// a connection failed is at fault: at most [`MAX_CHECKED_WORKERS`], none of which has failed
    /// lately. Returns none if the host is known to be isolated.
    pub fn choose_checks(&mut self, now: ClockTime, workers: Vec<WorkerName>) -> Vec<WorkerName> {
        if self.is_isolated(now) {
            return Vec::new();
        }
        self.checks += 1;
        let mut candidates = workers;
        candidates.retain(|worker| !self.failures.contains_key(worker));
        let start = self.checks % candidates.len().max(1);
        candidates.rotate_left(start);
        candidates.truncate(MAX_CHECKED_WORKERS);
        candidates
    }

    /// Returns how long a connection to a worker is tried directly before another host is asked.
    #[must_use]
    pub fn tunnel_delay(&self, now: ClockTime, worker: &WorkerName) -> Duration {
        let failed_at = self.failures.get(worker);
        let has_failed = failed_at.is_some_and(|at| now.since(*at) < FAILURE_TIME);
        if has_failed || self.is_isolated(now) {
            Duration::ZERO
        } else {
            TUNNEL_DELAY
        }
    }

    /// Records whether a peer opened a connection.
    pub fn record_peer(&mut self, now: ClockTime, host: &HostName, opened: bool) {
        self.avoided.retain(|_, until| now < *until);
        if opened {
            self.avoided.remove(host);
        } else {
            self.avoided.insert(host.clone(), now + AVOIDANCE_TIME);
        }
    }

    /// Returns the peers to ask for a connection to a worker, in this order: near ones before distant
    /// ones, but those that failed lately last. The load is spread by a hash of the asking host, the
    /// peer and the worker.
    #[must_use]
    pub fn choose_peers(
        &self,
        now: ClockTime,
        own: &HostName,
        worker: &WorkerName,
        mut candidates: Vec<PeerCandidate>,
    ) -> Vec<HostName> {
        self.sort_peers(now, own, worker, &mut candidates);
        first_peers(candidates)
    }

    /// Returns the peers to ask in a large deployment, where a data centre has so many hosts that
    /// asking each of them takes longer than one that failed is avoided.
    ///
    /// The order is that of [`Self::choose_peers`], but one of the peers is in another data centre,
    /// since all hosts of this one may be cut off: the last, or the first while several peers in this
    /// data centre have failed lately.
    #[must_use]
    pub fn choose_peers_of_many(
        &self,
        now: ClockTime,
        own: &HostName,
        worker: &WorkerName,
        mut candidates: Vec<PeerCandidate>,
    ) -> Vec<HostName> {
        self.sort_peers(now, own, worker, &mut candidates);
        let is_near = |peer: &&PeerCandidate| peer.distance == NetworkDistance::Datacenter;
        let near = candidates.iter().filter(is_near);
        let failed = near.filter(|peer| self.is_avoided(now, &peer.host)).count();
        let place = if failed < CONFIRMING_PEERS {
            MAX_PEERS - 1
        } else {
            0
        };
        let distant = candidates
            .iter()
            .position(|peer| !is_near(&peer) && !self.is_avoided(now, &peer.host));
        if let Some(position) = distant.filter(|position| *position > place) {
            let peer = candidates.remove(position);
            candidates.insert(place, peer);
        }
        first_peers(candidates)
    }

    fn sort_peers(
        &self,
        now: ClockTime,
        own: &HostName,
        worker: &WorkerName,
        candidates: &mut [PeerCandidate],
    ) {
        candidates.sort_by_cached_key(|candidate| {
            let host = &candidate.host;
            let rank = spread_rank(own, host, worker);
            (
                self.is_avoided(now, host),
                candidate.distance,
                Reverse(rank),
            )
        });
    }

    fn is_avoided(&self, now: ClockTime, host: &HostName) -> bool {
        self.avoided.get(host).is_some_and(|until| now < *until)
    }
}

fn first_peers(candidates: Vec<PeerCandidate>) -> Vec<HostName> {
    let hosts = candidates.into_iter().map(|candidate| candidate.host);
    hosts.take(MAX_PEERS).collect()
}

fn spread_rank(own: &HostName, peer: &HostName, worker: &WorkerName) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for name in [own.as_str(), peer.as_str(), worker.as_str()] {
        hasher.update(&name.len().to_le_bytes());
        hasher.update(name.as_bytes());
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
