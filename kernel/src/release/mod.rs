//! Releases: moving the requests of a service from the versions that serve it to a new one.
//!
//! An operator's [`ReleaseOrder`] names the new version, the target, and the time within which the
//! release is due. One host, the driver, decides by a [`ReleaseDriver`]: it raises the share of the
//! requests that go to the target as far as the [`ReleaseSchedule`] allows, compares the answers of the
//! target with those of the other versions, the baseline ([`ReleaseVerdict`]), and completes or reverts
//! the release. Its decisions stand in a [`ReleaseState`] in the store, so another host can take over at
//! any time, and two drivers at once do no harm.
//!
//! Every host keeps the newest state that it has learned as a [`KnownRelease`], chooses the side of each
//! request by it, and counts the answers of both sides as [`ReleaseEvidence`].

mod driver;
mod evidence;
mod known;
mod order;
mod schedule;
mod split;
mod state;
mod tally;
mod verdict;

pub use driver::FleetReadiness;
pub use driver::ReleaseAction;
pub use driver::ReleaseDriver;
pub use driver::ReleaseEvent;
pub use driver::ReleaseReading;
pub use driver::StateWrite;
pub use driver::StoredRelease;
pub use driver::TICK_INTERVAL;
pub use driver::WriteOutcome;
pub use evidence::EvidenceTable;
pub use evidence::ReleaseEvidence;
pub use evidence::TallyEntry;
pub use evidence::TallyKey;
pub use known::KnownRelease;
pub use order::ReleaseOrder;
pub use schedule::ReleaseBounds;
pub use schedule::ReleaseLoad;
pub use schedule::ReleaseSchedule;
pub use split::MAX_STATE_AGE;
pub use split::VersionSide;
pub use split::choose_side;
pub use split::split_hash;
pub use state::ReleaseCounts;
pub use state::ReleasePhase;
pub use state::ReleaseState;
pub use state::ReleaseStatus;
pub use state::TrafficShare;
pub use tally::LatencyHistogram;
pub use tally::VersionTally;
pub use verdict::BadMeasure;
pub use verdict::ReleaseVerdict;
pub use verdict::VerdictCounts;
