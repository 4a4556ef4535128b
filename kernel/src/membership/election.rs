//! The choice of brokers and reporters among the live hosts, which all hosts make alike.

use super::HostClass;
use super::Membership;
use crate::name::DatacenterName;
use crate::name::HostName;
use crate::name::ServiceName;

/// The broker of a cell and its deputy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BrokerPair<'a> {
    /// The broker; `None` if no host is alive in the data centres that share the cell.
    pub broker: Option<&'a HostName>,
    /// The host that takes over when the broker does not answer; `None` if there is no second host.
    pub deputy: Option<&'a HostName>,
}

/// Whether a host is not stopping, and its class; the highest is chosen.
type HostSuitability = (bool, HostClass);

impl Membership {
    /// Returns the live hosts of the data centres that `within` selects.
    fn candidates(
        &self,
        within: impl Fn(&DatacenterName) -> bool,
    ) -> impl Iterator<Item = (HostSuitability, &HostName)> {
        let own = ((!self.stopping, self.host_class), &self.host);
        let own = within(&self.datacenter).then_some(own);
        let others = self.alive.iter();
        let others = others.filter(move |(_, live)| within(&live.datacenter));
        let others = others.map(|(host, live)| ((!live.stopping, live.host_class), host));
        others.chain(own)
    }

    /// Returns the host that reports for a data centre to the others, chosen as brokers are among the
    /// live hosts that `may_report` selects.
    #[must_use]
    pub fn reporter(
        &self,
        datacenter: &DatacenterName,
        may_report: impl Fn(&HostName) -> bool,
    ) -> Option<&HostName> {
        let candidates = self.candidates(|other| other == datacenter);
        let eligible = candidates.filter(|(_, host)| may_report(host));
        let highest = eligible
            .max_by_key(|(suitability, host)| (*suitability, reporter_hash(datacenter, host)));
        highest.map(|(_, host)| host)
    }

    /// Returns the broker of the cell of a service in a data centre: among the live hosts there
    /// that are not stopping, the one with the highest class, with ties broken by the highest
    /// rendezvous hash.
    ///
    /// If all live hosts there are stopping, the broker is chosen among them in the same way.
    #[must_use]
    pub fn broker(&self, service: &ServiceName, datacenter: &DatacenterName) -> Option<&HostName> {
        let brokers = self.brokers(service, datacenter, |other| other == datacenter);
        brokers.broker
    }

    /// Returns the broker and the deputy of a service's cell that several data centres share;
    /// `cell_datacenter` is the data centre that the cell is named after, and `within` selects the
    /// data centres that share it.
    #[must_use]
    pub fn brokers(
        &self,
        service: &ServiceName,
        cell_datacenter: &DatacenterName,
        within: impl Fn(&DatacenterName) -> bool,
    ) -> BrokerPair<'_> {
        let eligible: Vec<(HostSuitability, &HostName)> = self.candidates(within).collect();
        let lowest = second_highest(eligible.iter().map(|(suitability, _)| *suitability));
        let mut pair = BrokerPair::default();
        let mut ranks = [None, None];
        // Hashing costs most here, so hosts below the two most suitable ones are left out.
        for (suitability, host) in eligible {
            if Some(suitability) < lowest {
                continue;
            }
            let hash = rendezvous_hash(service, cell_datacenter, host);
            let rank = Some((suitability, hash, host));
            if rank > ranks[0] {
                ranks = [rank, ranks[0]];
                pair = BrokerPair {
                    broker: Some(host),
                    deputy: pair.broker,
                };
            } else if rank > ranks[1] {
                ranks[1] = rank;
                pair.deputy = Some(host);
            }
        }
        pair
    }

    /// Returns the host that comes first in the choice of a broker among the live hosts of all data
    /// centres that `may_serve` selects.
    #[must_use]
    pub fn first_eligible(
        &self,
        service: &ServiceName,
        datacenter: &DatacenterName,
        may_serve: impl Fn(&HostName) -> bool,
    ) -> Option<&HostName> {
        let candidates = self.candidates(|_| true);
        let eligible = candidates.filter(|(_, host)| may_serve(host));
        let rank = |(suitability, host): &(HostSuitability, &HostName)| {
            let hash = rendezvous_hash(service, datacenter, host);
            (*suitability, hash, (*host).clone())
        };
        eligible.max_by_key(rank).map(|(_, host)| host)
    }
}

/// Returns the second highest value, which can equal the highest; `None` of fewer than two.
fn second_highest<T: Copy + Ord>(values: impl Iterator<Item = T>) -> Option<T> {
    let mut highest = [None, None];
    for value in values.map(Some) {
        if value > highest[0] {
            highest = [value, highest[0]];
        } else if value > highest[1] {
            highest[1] = value;
        }
    }
    highest[1]
}

/// Returns the rendezvous hash of a host for a cell.
fn rendezvous_hash(service: &ServiceName, datacenter: &DatacenterName, host: &HostName) -> u64 {
    hash_names(&[service.as_str(), datacenter.as_str(), host.as_str()])
}

/// Returns the rendezvous hash of a host for the reports of a data centre.
fn reporter_hash(datacenter: &DatacenterName, host: &HostName) -> u64 {
    hash_names(&[datacenter.as_str(), host.as_str()])
}

fn hash_names(names: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for name in names {
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
    }
    let hash = hasher.finalize();
    let leading = hash.as_bytes().first_chunk();
    leading.copied().map(u64::from_le_bytes).unwrap_or_default()
}
