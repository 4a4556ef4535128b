//! What hosts report about their versions, and what a rollout wants done.

use crate::clock::ClockTime;
use crate::configuration::ConfigVersion;
use crate::name::DatacenterName;
use crate::name::HostName;

/// What a heartbeat says about the versions of its sender.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HostReport {
    /// The data centre of the sender.
    pub datacenter: DatacenterName,
    /// The version in force on the sender.
    pub applied: ConfigVersion,
    /// The highest version that the sender knows to exist.
    pub known: ConfigVersion,
    /// The highest version that every live host of the sender's data centre has applied.
    pub confirmed: ConfigVersion,
    /// Whether the sender knows that `known` is not outdated.
    pub fresh: bool,
    /// The time of this host's last heartbeat that the sender received.
    pub echo: Option<ClockTime>,
    /// Whether the sender is stopping and takes no new callers.
    pub stopping: bool,
}

/// The versions that this host reports in its heartbeats.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OwnReport {
    /// The version in force on this host.
    pub applied: ConfigVersion,
    /// The highest version that this host knows to exist.
    pub known: ConfigVersion,
    /// The highest version that every live host of this data centre has applied.
    pub confirmed: ConfigVersion,
    /// Whether this host knows that `known` is not outdated.
    pub fresh: bool,
}

/// What a change still lacks when it is reported as recorded.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RolloutLack {
    /// The data centre has not confirmed the version.
    Datacenter(DatacenterName),
    /// The host has not applied the version.
    Host {
        /// The data centre of the host.
        datacenter: DatacenterName,
        /// The host.
        host: HostName,
    },
}

/// How far a change has come.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChangeProgress {
    /// The version is in force wherever work is taken.
    Accepted,
    /// The version is in the table and will come into force, but was not yet confirmed everywhere.
    Recorded {
        /// The data centres and hosts that have not confirmed it; empty if only the wait for
        /// silent hosts is not over.
        lacking: Vec<RolloutLack>,
    },
}

/// What the caller has to do.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RolloutAction {
    /// Send a heartbeat with the new versions to every linked host now.
    Announce,
    /// Ask a host for its configuration.
    FetchFrom(HostName),
    /// Read the configuration from the table.
    FetchFromTable,
    /// Tell the operator how far the change has come; it is not watched any more.
    Report {
        /// The version that the change made.
        version: ConfigVersion,
        /// How far it has come.
        progress: ChangeProgress,
    },
}
