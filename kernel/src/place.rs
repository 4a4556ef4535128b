//! Where hosts and workers stand, and how far they are from each other.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::name::DatacenterName;
use crate::name::RegionName;

/// Where a host or a worker stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NetworkPlace {
    /// The data centre.
    pub datacenter: DatacenterName,
    /// The region of the data centre, if it is known.
    pub region: Option<RegionName>,
}

/// How far two places are from each other.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlaceDistance {
    /// Both are in the same data centre.
    Datacenter,
    /// Both are in the same region.
    Region,
    /// They are in different regions, or where they are is not known.
    BetweenRegions,
}

impl NetworkPlace {
    /// Returns the place of a data centre.
    #[must_use]
    pub fn of(configuration: &Configuration, datacenter: &DatacenterName) -> Self {
        let spec = configuration.datacenters.get(datacenter);
        Self {
            datacenter: datacenter.clone(),
            region: spec.map(|spec| spec.region.clone()),
        }
    }

    /// Returns how far another place is.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::place::NetworkPlace;
    /// use borageladder_kernel::place::PlaceDistance;
    ///
    /// let place = |datacenter: &str, region: &str| {
    ///     Ok::<_, borageladder_kernel::name::NameError>(NetworkPlace {
    ///         datacenter: datacenter.parse()?,
    ///         region: Some(region.parse()?),
    ///     })
    /// };
    /// let here = place("sapporo-a", "sapporo")?;
    /// assert_eq!(here.distance(&place("sapporo-b", "sapporo")?), PlaceDistance::Region);
    /// # Ok::<(), borageladder_kernel::name::NameError>(())
    /// ```
    #[must_use]
    pub fn distance(&self, other: &Self) -> PlaceDistance {
        if self.datacenter == other.datacenter {
            PlaceDistance::Datacenter
        } else if self.region.is_some() && self.region == other.region {
            PlaceDistance::Region
        } else {
            PlaceDistance::BetweenRegions
        }
    }
}

/// Which data centres share the cells of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CellSpan {
    /// None: each has its own.
    #[default]
    Datacenter,
    /// Those of one region.
    Region,
    /// All.
    Deployment,
}

impl CellSpan {
    /// Returns the data centre that names the cell of a data centre.
    #[must_use]
    pub fn home<'a>(
        self,
        configuration: &'a Configuration,
        datacenter: &'a DatacenterName,
    ) -> &'a DatacenterName {
        let all = &configuration.datacenters;
        let first = match self {
            Self::Datacenter => None,
            Self::Region => {
                let own = all.get(datacenter).map(|spec| &spec.region);
                let mut same = all.iter().filter(|(_, spec)| Some(&spec.region) == own);
                same.next().map(|(name, _)| name)
            }
            Self::Deployment => all.keys().next(),
        };
        first.unwrap_or(datacenter)
    }
}
