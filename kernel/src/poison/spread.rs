//! How reports reach the hosts that have no link to the one that made them.

use crate::name::DatacenterName;

/// Where a host stands that receives reports of crashes and of cleared parts.
///
/// The host that makes a report sends it to all hosts that it is linked with: those of its data centre
/// and a few of each other one. Each of the latter passes on what is new to it to the hosts of its own
/// data centre. What came from there is never passed on, so a report takes two steps at most.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::name::DatacenterName;
/// use borageladder_kernel::poison::ReportSpread;
///
/// # fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let [own, other] = ["sapporo-a", "kushiro-a"].map(str::parse::<DatacenterName>);
/// let (own, other) = (own?, other?);
/// let spread = ReportSpread {
///     datacenter: &own,
///     live_hosts: 295,
///     direct_hosts: 100,
/// };
/// assert!(spread.passes_on(Some(&other)));
/// assert!(!spread.passes_on(Some(&own)));
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReportSpread<'a> {
    /// The data centre of the host.
    pub datacenter: &'a DatacenterName,
    /// The number of live hosts, itself included.
    pub live_hosts: usize,
    /// The number of live hosts up to which all of them are linked with each other.
    pub direct_hosts: usize,
}

impl ReportSpread<'_> {
    /// Returns whether the host passes on what it received to the linked hosts of its data centre.
    /// `from` is the data centre of the sender; `None` if it is not known.
    #[must_use]
    pub fn passes_on(&self, from: Option<&DatacenterName>) -> bool {
        self.live_hosts > self.direct_hosts && from != Some(self.datacenter)
    }
}
