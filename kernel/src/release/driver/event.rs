//! The events that a driver processes, and the actions that it requests.

use std::time::Duration;

use crate::clock::ClockTime;
use crate::name::HostName;
use crate::release::evidence::ReleaseEvidence;
use crate::release::order::ReleaseOrder;
use crate::release::state::ReleaseState;
use crate::roster::StoreEra;
use crate::roster::StoreRevision;

/// The interval at which a driver must get [`ReleaseEvent::Tick`] while an order exists.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A state in the store, with the revision of its row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRelease {
    /// The state.
    pub state: ReleaseState,
    /// The revision at which its row was last written.
    pub revision: StoreRevision,
}

/// What the store holds of a service's release.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReleaseReading {
    /// The time of the read on the store's steady clock.
    pub store_time: Duration,
    /// The era of the store.
    pub era: StoreEra,
    /// The order; `None` if there is none.
    pub order: Option<ReleaseOrder>,
    /// The store time of the last read, by any host, that did not show this order; `None` if it is not
    /// known.
    pub order_absent_at: Option<Duration>,
    /// The state; `None` if there is none, or none that can be decoded.
    pub state: Option<StoredRelease>,
    /// The revision of the row of the state; zero if there is no row. It is that of `state`, unless the
    /// state can't be decoded.
    pub state_revision: StoreRevision,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The rows were written.
    Committed,
    /// Nothing was written, because a row had changed.
    Conflict,
    /// The answer was lost, or the store is down: the rows may have been written, or may yet be.
    Unknown,
}

/// What a release needs of the workers and hosts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetReadiness {
    /// Whether the target has a ready worker.
    pub target: bool,
    /// Whether all live hosts know releases.
    pub hosts: bool,
}

/// An event that a driver processes.
#[derive(Clone, Debug)]
pub enum ReleaseEvent {
    /// This host has become the driver, or is it no longer.
    RoleChanged {
        /// Whether it is the driver.
        leading: bool,
    },
    /// The rows of the release were read.
    StoreRead {
        /// The time at which the read began.
        began: ClockTime,
        /// What was read.
        reading: Box<ReleaseReading>,
    },
    /// The rows could not be read.
    ReadFailed,
    /// A write that the driver asked for has ended.
    WriteEnded(WriteOutcome),
    /// Another host sent a state, or this host learned of it by a state update.
    StateReceived(Box<ReleaseState>),
    /// A host sent its counts; also sent for the counts of this host.
    EvidenceReceived {
        /// The host.
        host: HostName,
        /// The run of its process.
        incarnation: u64,
        /// Its counts.
        evidence: Box<ReleaseEvidence>,
    },
    /// The workers or the live hosts have changed, or the driver is created.
    FleetChanged(FleetReadiness),
    /// Time has passed; due every [`TICK_INTERVAL`].
    Tick,
}

/// A write of a state, and of the status that belongs to it, on two conditions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateWrite {
    /// The state; [`ReleasePhase::status`](crate::release::ReleasePhase::status) gives the status.
    pub state: ReleaseState,
    /// The revision that the order's row must have; zero if there must be none.
    pub order_revision: StoreRevision,
    /// The revision that the state's row must have; zero if there must be none.
    pub state_revision: StoreRevision,
}

/// An action that the owner of a [`ReleaseDriver`](crate::release::ReleaseDriver) must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReleaseAction {
    /// Read the rows of the order and the state.
    Read,
    /// Write a state and its status in one transaction.
    Write(Box<StateWrite>),
    /// Send a state, whose target is bad, to all hosts at once.
    Announce(Box<ReleaseState>),
}
