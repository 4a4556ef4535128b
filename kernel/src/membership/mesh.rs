//! The choice of hosts that a host keeps links with.

use std::collections::BTreeMap;

use crate::name::DatacenterName;
use crate::name::HostName;

/// A known host other than the own one.
#[derive(Clone, Copy, Debug)]
pub struct LinkCandidate<'a> {
    /// The host.
    pub host: &'a HostName,
    /// Its data centre.
    pub datacenter: &'a DatacenterName,
    /// Whether it is known to be alive.
    pub is_alive: bool,
    /// Whether a link with it is established.
    pub is_linked: bool,
}

/// What else the choice of links depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkView {
    /// Whether the number of known hosts has stopped growing.
    pub is_settled: bool,
    /// A number that changes which hosts are tried of those that are not known to be alive, so that a host
    /// isn't left with those that have ended.
    pub round: u64,
}

/// How many links a host keeps by itself: to all hosts of its data centre, and to a few of each other
/// one.
///
/// What hosts at rest exchange grows with their links, so in a large deployment it grows with the size of
/// a data centre and the number of data centres only. Hosts without a link know each other by the member
/// lists of those in between.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::membership::LinkCandidate;
/// use borageladder_kernel::membership::LinkPlan;
/// use borageladder_kernel::membership::LinkView;
///
/// let plan = LinkPlan { full_mesh_hosts: 3, remote_links: 1 };
/// let (own, other) = ("d1".parse()?, "d2".parse()?);
/// let hosts = ["h2".parse()?, "h3".parse()?, "h4".parse()?];
/// let candidate = |host, datacenter| LinkCandidate {
///     host,
///     datacenter,
///     is_alive: true,
///     is_linked: false,
/// };
/// let known = [
///     candidate(&hosts[0], &own),
///     candidate(&hosts[1], &other),
///     candidate(&hosts[2], &other),
/// ];
/// let host = "h1".parse()?;
/// let view = LinkView { is_settled: true, round: 0 };
/// assert_eq!(plan.missing(&host, &own, &known, view).len(), 2);
/// assert_eq!(plan.missing(&host, &own, &known[1..], view).len(), 2);
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkPlan {
    /// The number of hosts up to which each is linked with all others.
    pub full_mesh_hosts: usize,
    /// The number of links to every other data centre below which a host opens further ones, in a
    /// deployment with more hosts.
    pub remote_links: usize,
}

impl LinkPlan {
    /// The plan of a deployment whose hosts need few links to other data centres at any size.
    pub const SPARSE: Self = Self {
        full_mesh_hosts: 0,
        remote_links: 2,
    };

    /// Returns whether only some of that many hosts, the own one included, are linked with each other.
    #[must_use]
    pub const fn is_partial(&self, hosts: usize) -> bool {
        hosts > self.full_mesh_hosts
    }

    /// Returns the hosts to open links with.
    ///
    /// In other data centres, hosts that are known to be alive come first. While the known hosts become more,
    /// links to those are few at any size, since nobody knows yet how many hosts there will be.
    #[must_use]
    pub fn missing<'a>(
        &self,
        own: &HostName,
        datacenter: &DatacenterName,
        known: &[LinkCandidate<'a>],
        view: LinkView,
    ) -> Vec<&'a HostName> {
        let is_partial = !view.is_settled || self.is_partial(known.len() + 1);
        let mut missing = Vec::new();
        for (name, candidates) in by_datacenter(known) {
            let linked = candidates.iter().filter(|candidate| candidate.is_linked);
            let wanted = if !is_partial || name == datacenter {
                usize::MAX
            } else {
                self.remote_links.saturating_sub(linked.count())
            };
            if wanted == 0 {
                continue;
            }
            let unlinked = candidates.iter().filter(|candidate| !candidate.is_linked);
            let mut unlinked: Vec<&LinkCandidate<'_>> = unlinked.copied().collect();
            // The order differs from host to host, so that links are spread over the data centre.
            unlinked.sort_by_cached_key(|candidate| {
                let round = if candidate.is_alive { 0 } else { view.round };
                (!candidate.is_alive, preference(own, candidate.host, round))
            });
            missing.extend(unlinked.iter().take(wanted).map(|candidate| candidate.host));
        }
        missing
    }
}

fn by_datacenter<'a, 'b>(
    known: &'b [LinkCandidate<'a>],
) -> BTreeMap<&'a DatacenterName, Vec<&'b LinkCandidate<'a>>> {
    let mut datacenters: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for candidate in known {
        let candidates = datacenters.entry(candidate.datacenter).or_default();
        candidates.push(candidate);
    }
    datacenters
}

/// Returns the hash by which a host orders the other hosts of a data centre.
fn preference(own: &HostName, other: &HostName, round: u64) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(own.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(other.as_str().as_bytes());
    hasher.update(&round.to_le_bytes());
    *hasher.finalize().as_bytes()
}
