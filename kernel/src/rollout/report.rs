//! Version reports exchanged in heartbeats, and the actions that a rollout requests.

use crate::clock::ClockTime;
use crate::configuration::ConfigVersion;
use crate::name::DatacenterName;
use crate::name::HostName;

/// The versions that another host reports in a heartbeat.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HostReport {
    /// The data centre of the sender.
    pub datacenter: DatacenterName,
    /// The version in force on the sender.
    pub applied: ConfigVersion,
    /// The highest version that the sender has seen, applied or not.
    pub known: ConfigVersion,
    /// The highest version that the data centre of the sender has confirmed.
    pub confirmed: ConfigVersion,
    /// Whether the sender verified within its freshness bound that `known` is up to date.
    pub fresh: bool,
    /// The send time, on this host's clock, of this host's last heartbeat that the sender received;
    /// `None` if it received none from this process.
    pub echo: Option<ClockTime>,
    /// Whether the sender is stopping and takes no new callers.
    pub stopping: bool,
}

/// The versions that this host reports in its heartbeats.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OwnReport {
    /// The version in force on this host.
    pub applied: ConfigVersion,
    /// The highest version that this host has seen, applied or not.
    pub known: ConfigVersion,
    /// The highest version that the data centre of this host has confirmed.
    pub confirmed: ConfigVersion,
    /// Whether this host verified within the freshness bound that `known` is up to date.
    pub fresh: bool,
}

/// A data centre that has not confirmed a version, or a host that has not applied it, when its
/// change is reported as recorded.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum UnconfirmedMember {
    /// The data centre has not confirmed the version.
    Datacenter(DatacenterName),
    /// The host has not applied the version.
    Host {
        /// The data centre of the host.
        datacenter: DatacenterName,
        /// The name of the host.
        host: HostName,
    },
}

/// The state of a configuration change when it is reported to the operator.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChangeProgress {
    /// Every host that takes work has the version in force.
    Accepted,
    /// The version is written to the platform's table and will come into force, but was not accepted
    /// before the deadline of the change.
    Recorded {
        /// The data centres and hosts that have not confirmed the version; empty if only the
        /// acceptance delay has not passed.
        unconfirmed: Vec<UnconfirmedMember>,
    },
}

/// An action that the owner of a [`Rollout`](super::Rollout) must carry out.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RolloutAction {
    /// Send a heartbeat with the new versions to every linked host now.
    Announce,
    /// Request the configuration from this host.
    FetchFrom(HostName),
    /// Read the configuration from the platform's table.
    FetchFromTable,
    /// Report the progress of a change to the operator; the change is no longer tracked.
    Report {
        /// The version that the change created.
        version: ConfigVersion,
        /// The state of the change.
        progress: ChangeProgress,
    },
}
