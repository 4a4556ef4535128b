//! Locations of hosts and workers, and the distance between them.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::name::DatacenterName;
use crate::name::RegionName;

/// The location of a host or a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NetworkLocation {
    /// The data centre.
    pub datacenter: DatacenterName,
    /// The region of the data centre; `None` if the configuration does not name the data centre.
    pub region: Option<RegionName>,
}

/// The distance between two locations, in increasing order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NetworkDistance {
    /// Both are in the same data centre.
    Datacenter,
    /// They are in different data centres of the same region.
    Region,
    /// They are in different regions, or a region is not known.
    BetweenRegions,
}

impl NetworkLocation {
    /// Returns the location of a data centre.
    #[must_use]
    pub fn of(configuration: &Configuration, datacenter: &DatacenterName) -> Self {
        let spec = configuration.datacenters.get(datacenter);
        Self {
            datacenter: datacenter.clone(),
            region: spec.map(|spec| spec.region.clone()),
        }
    }

    /// Returns the distance to another location.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::location::NetworkDistance;
    /// use borageladder_kernel::location::NetworkLocation;
    ///
    /// let location = |datacenter: &str, region: &str| {
    ///     Ok::<_, borageladder_kernel::name::NameError>(NetworkLocation {
    ///         datacenter: datacenter.parse()?,
    ///         region: Some(region.parse()?),
    ///     })
    /// };
    /// let here = location("sapporo-a", "sapporo")?;
    /// assert_eq!(here.distance(&location("sapporo-b", "sapporo")?), NetworkDistance::Region);
    /// # Ok::<(), borageladder_kernel::name::NameError>(())
    /// ```
    #[must_use]
    pub fn distance(&self, other: &Self) -> NetworkDistance {
        if self.datacenter == other.datacenter {
            NetworkDistance::Datacenter
        } else if self.region.is_some() && self.region == other.region {
            NetworkDistance::Region
        } else {
            NetworkDistance::BetweenRegions
        }
    }
}

/// The data centres that share the cell of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CellSpan {
    /// Each data centre has a cell of its own.
    #[default]
    Datacenter,
    /// All data centres of a region share one cell.
    Region,
    /// All data centres of the deployment share one cell.
    Deployment,
}

impl CellSpan {
    /// Returns the data centre that identifies the cell to which `datacenter` belongs.
    ///
    /// This is the first by name of the data centres that share the cell, or `datacenter` itself if
    /// the configuration names none of them.
    #[must_use]
    pub fn cell_datacenter<'a>(
        self,
        configuration: &'a Configuration,
        datacenter: &'a DatacenterName,
    ) -> &'a DatacenterName {
        let datacenters = &configuration.datacenters;
        let first = match self {
            Self::Datacenter => None,
            Self::Region => {
                let region = datacenters.get(datacenter).map(|spec| &spec.region);
                let mut same_region = datacenters
                    .iter()
                    .filter(|(_, spec)| Some(&spec.region) == region);
                same_region.next().map(|(name, _)| name)
            }
            Self::Deployment => datacenters.keys().next(),
        };
        first.unwrap_or(datacenter)
    }
}
