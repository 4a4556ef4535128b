//! The claim protocol, which ensures that a non-idempotent request runs at most once.
//!
//! Before an entry dispatches such a request, it writes a claim into the platform's table under the
//! workspace and the idempotency key, on condition that no other claim exists there. A claim does
//! not expire and is never taken over, so a holder that is paused or dead can't cause a second run.
//! Releasing a claim keeps its row and marks it as released; the next claim overwrites the row only
//! if its revision is unchanged, so a delayed write of an earlier claim fails its revision check.

mod attempt;
mod change;
mod settlement;
mod ticket;

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::name::HostName;
use crate::name::RequestId;
use crate::name::WorkspaceName;
use crate::table::RowRevision;

pub use self::attempt::ClaimAttempt;
pub use self::attempt::ClaimAttemptOutcome;
pub use self::attempt::ClaimStep;
pub use self::attempt::ReleaseAttempt;
pub use self::attempt::ReleaseOutcome;
pub use self::attempt::ReleaseStep;
pub use self::change::ChangeStep;
pub use self::change::ClaimChange;
pub use self::change::ClaimChangeOutcome;
pub use self::change::MAX_TABLE_CALLS;
pub use self::change::TableCall;
pub use self::change::TableReply;
pub use self::settlement::SettleError;
pub use self::settlement::Settlement;
pub use self::ticket::ClaimTicket;
pub use self::ticket::DispatchedTicket;

/// A random number that identifies a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimNumber(pub u64);

impl fmt::Display for ClaimNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The digest of a request's content, which distinguishes a repeat of the request from the reuse of
/// its idempotency key for other content.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ContentDigest(pub u64);

/// The storage key of the claims for one idempotency key of one workspace.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::claim::ClaimKey;
///
/// let workspace = "union-7".parse()?;
/// let key = ClaimKey::new(&workspace, "filing-1");
/// assert!(key.row_key().starts_with("claims/union-7/"));
/// assert_ne!(key, ClaimKey::new(&workspace, "filing-2"));
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    workspace: WorkspaceName,
    digest: String,
}

impl ClaimKey {
    /// Creates the storage key for an idempotency key, of which only the digest is kept.
    #[must_use]
    pub fn new(workspace: &WorkspaceName, key: &str) -> Self {
        Self {
            workspace: workspace.clone(),
            digest: blake3::hash(key.as_bytes()).to_hex().to_string(),
        }
    }

    /// Returns the workspace in which the idempotency key applies.
    #[must_use]
    pub const fn workspace(&self) -> &WorkspaceName {
        &self.workspace
    }

    /// Returns the key of the claim's row in the platform's table.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!("claims/{}/{}", self.workspace, self.digest)
    }

    /// Returns the key of the object that stores the answer to a claim's request.
    #[must_use]
    pub fn object_key(&self, number: ClaimNumber) -> String {
        format!("{}/{number}", self.row_key())
    }

    /// Returns the key, in the platform's table, of the audit record of a claim that an operator
    /// settled.
    #[must_use]
    pub fn audit_key(&self, number: ClaimNumber) -> String {
        format!("audit/{}/{number}", self.row_key())
    }
}

/// The state of a claim and of its request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// The holder may run the request, or has run it without having recorded the outcome.
    Claimed,
    /// The request did not run, and the next claim may overwrite this one.
    Released,
    /// The request ran, and its answer is stored.
    Answered {
        /// The key of the object that stores the answer.
        object: String,
    },
    /// The holder dispatched the request, and its outcome is unknown.
    Unknown,
}

/// The value of a claim's row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimRow {
    /// The number of the claim.
    pub number: ClaimNumber,
    /// The digest of the content of the request.
    pub content: ContentDigest,
    /// The host that holds the claim.
    pub host: HostName,
    /// The identifier under which the holder received the request.
    pub request: RequestId,
    /// The time at which the claim was made, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// The state of the claim.
    #[serde(flatten)]
    pub state: ClaimState,
}

impl ClaimRow {
    /// Returns a copy of the claim with another state.
    #[must_use]
    pub fn with_state(&self, state: ClaimState) -> Self {
        let mut row = self.clone();
        row.state = state;
        row
    }
}

/// A claim's row as read from the platform's table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoredClaim {
    /// The value of the row.
    pub row: ClaimRow,
    /// The revision of the row.
    pub revision: RowRevision,
}
