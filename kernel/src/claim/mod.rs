//! The claim protocol, which lets a non-idempotent request run at most once.
//!
//! Before an entry dispatches such a request, it writes a claim into the platform's table under
//! the workspace and the idempotency key, on condition that no other claim stands there. A claim
//! has no expiry and is never taken over, so a holder that is paused or dead can't cause a second
//! run. A claim that is given back stays as a released row, over which the next one is written on
//! condition of its revision; so a write that arrives late finds its condition gone.

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
pub use self::attempt::ClaimEnd;
pub use self::attempt::ClaimStep;
pub use self::attempt::ReleaseAttempt;
pub use self::attempt::ReleaseEnd;
pub use self::attempt::ReleaseStep;
pub use self::change::ChangeEnd;
pub use self::change::ChangeStep;
pub use self::change::ClaimChange;
pub use self::change::MAX_TABLE_CALLS;
pub use self::change::TableCall;
pub use self::change::TableReply;
pub use self::settlement::SettleError;
pub use self::settlement::Settlement;
pub use self::ticket::ClaimTicket;
pub use self::ticket::DispatchedClaim;

/// The random number that tells a claim from every other one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimNumber(pub u64);

impl fmt::Display for ClaimNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The digest of what a request asks for, by which a repeat is told from other content.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ContentDigest(pub u64);

/// Where the claims of one idempotency key of one workspace stand.
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
    /// Creates the place for an idempotency key, of which only the digest is kept.
    #[must_use]
    pub fn new(workspace: &WorkspaceName, key: &str) -> Self {
        Self {
            workspace: workspace.clone(),
            digest: blake3::hash(key.as_bytes()).to_hex().to_string(),
        }
    }

    /// Returns the workspace.
    #[must_use]
    pub const fn workspace(&self) -> &WorkspaceName {
        &self.workspace
    }

    /// Returns the key of the claim's row.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!("claims/{}/{}", self.workspace, self.digest)
    }

    /// Returns the key of the object that keeps the answer to a claim.
    #[must_use]
    pub fn object_key(&self, number: ClaimNumber) -> String {
        format!("{}/{number}", self.row_key())
    }

    /// Returns the key of the audit record of a claim that operators settled.
    #[must_use]
    pub fn audit_key(&self, number: ClaimNumber) -> String {
        format!("audit/{}/{number}", self.row_key())
    }
}

/// How far the request of a claim came.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// The holder may run the request, or has run it and not said so yet.
    Claimed,
    /// The request did not run, and the next claim may be written over this one.
    Released,
    /// The request ran, and its answer is kept.
    Answered {
        /// The key of the object that keeps the answer.
        object: String,
    },
    /// The holder dispatched the request and does not know what became of it.
    Unknown,
}

/// The value of a claim's row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimRow {
    /// The number of the claim.
    pub number: ClaimNumber,
    /// The content of the request.
    pub content: ContentDigest,
    /// The host that holds the claim.
    pub host: HostName,
    /// The request that the holder read.
    pub request: RequestId,
    /// The time of the claim, in milliseconds since 1970.
    pub since_ms: u64,
    /// How far the request came.
    #[serde(flatten)]
    pub state: ClaimState,
}

impl ClaimRow {
    /// Returns the same claim in another state.
    #[must_use]
    pub fn with_state(&self, state: ClaimState) -> Self {
        let mut row = self.clone();
        row.state = state;
        row
    }
}

/// A claim as it stands in the table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoredClaim {
    /// The claim.
    pub row: ClaimRow,
    /// The revision that wrote it.
    pub revision: RowRevision,
}
