//! The interface of the platform's store.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use thiserror::Error;

use super::document::ConfigurationReading;
use super::document::HostRecord;
use super::document::RegistrationOutcome;
use crate::kernel::name::ServiceName;
use crate::kernel::release::ReleaseState;
use crate::kernel::roster::RosterUpdate;
use crate::kernel::roster::StoreEra;
use crate::kernel::roster::StoreRevision;

/// The reason why a call to the store failed.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The store can't be reached or did not answer in time.
    #[error("the store is unreachable: {reason}")]
    Unreachable {
        /// The cause, such as a connection error or a timeout.
        reason: String,
    },
    /// The store rejected the call.
    #[error("the store rejected the call with status {status}")]
    Rejected {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The store no longer holds the changes since the revision; a complete read is needed.
    #[error("the store no longer holds the changes since the revision")]
    HistoryGone,
    /// The answer is invalid.
    #[error("invalid answer of the store: {reason}")]
    InvalidAnswer {
        /// Why the answer is invalid.
        reason: String,
    },
}

impl StoreError {
    /// Returns whether the store did not serve the call, so that entries may lapse meanwhile.
    #[must_use]
    pub const fn is_outage(&self) -> bool {
        matches!(self, Self::Rejected { .. } | Self::Unreachable { .. })
    }
}

/// An entry of a log that hosts keep in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEntry {
    /// The key, at most 100 bytes of ASCII.
    pub key: String,
    /// The value, at most 64 KiB.
    pub value: Vec<u8>,
}

/// A value that hosts keep in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// The value; `None` if there is none.
    pub value: Option<Vec<u8>>,
    /// The revision at which it was last written; 0 if there is none.
    pub revision: StoreRevision,
    /// The time of the read on the store's steady clock; zero if it has none.
    pub read_at: Duration,
    /// The era of the store in which it was read.
    pub era: StoreEra,
}

/// A write of the state of a release, which also sets the status that the operators read.
#[derive(Clone, Debug)]
pub struct ReleaseChange {
    /// The state.
    pub state: ReleaseState,
    /// The state as it is stored, at most 64 KiB.
    pub value: Vec<u8>,
    /// The revision that the row of the order must have; 0 if there must be none.
    pub order_revision: StoreRevision,
    /// The revision that the row of the state must have; 0 if there must be none.
    pub state_revision: StoreRevision,
}

/// The calls to the platform's store that a gateway host makes.
///
/// Every call ends within a bounded time.
pub trait FleetStore {
    /// Reads the configuration if it changed since the revision, waiting up to `wait` for a change;
    /// without a revision, reads it at once.
    fn configuration(
        &self,
        since: Option<StoreRevision>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<ConfigurationReading, StoreError>>;

    /// Reads the workers that changed since the revision; without a revision, reads all workers.
    fn workers(
        &self,
        since: Option<StoreRevision>,
    ) -> LocalBoxFuture<'_, Result<RosterUpdate, StoreError>>;

    /// Registers this host, and reads the registered hosts and the key shared by all hosts. The
    /// proposed key is stored if there is none yet.
    fn register_host(
        &self,
        host: HostRecord,
        proposed_key: [u8; 32],
    ) -> LocalBoxFuture<'_, Result<RegistrationOutcome, StoreError>>;

    /// Reads all entries of the log of streams, in the order in which they were written.
    fn stream_log(&self) -> LocalBoxFuture<'_, Result<Vec<LogEntry>, StoreError>>;

    /// Adds an entry to the log of streams, and removes those with the keys in `expired`.
    fn append_stream_log(
        &self,
        entry: LogEntry,
        expired: Vec<String>,
    ) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Reads the record of crashes that the hosts keep.
    fn crash_record(&self) -> LocalBoxFuture<'_, Result<StoredValue, StoreError>>;

    /// Replaces the record of crashes if it was last written at the revision; returns whether that is
    /// the case.
    fn replace_crash_record(
        &self,
        value: Vec<u8>,
        revision: StoreRevision,
    ) -> LocalBoxFuture<'_, Result<bool, StoreError>>;

    /// Reads the state of the release of a service.
    fn release_state<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> LocalBoxFuture<'a, Result<StoredValue, StoreError>>;

    /// Replaces the state of a release and its status together, on the conditions that the change
    /// names; returns whether these hold.
    fn replace_release_state(
        &self,
        change: ReleaseChange,
    ) -> LocalBoxFuture<'_, Result<bool, StoreError>>;
}
