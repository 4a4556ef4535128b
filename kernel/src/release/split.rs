//! The choice between target and baseline for one request.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::state::ReleasePhase;
use super::state::ReleaseState;
use crate::name::ServiceName;

/// The age of a host's state from which on the host sends nothing to the target of a release in
/// progress, because the driver may have stopped the release since.
pub const MAX_STATE_AGE: Duration = Duration::from_secs(2);

/// The version that a request goes to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum VersionSide {
    /// The version that the order names.
    Target,
    /// All other versions that serve.
    Baseline,
}

/// Returns the hash of a request for the choice of its version, which all dispatches of the request
/// share.
///
/// It is independent of other hashes of the attempt's identifier, such as the one that selects the
/// service of a route.
#[must_use]
pub fn split_hash(service: &ServiceName, attempt_id: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(b"release\0");
    hasher.update(service.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(attempt_id.as_bytes());
    let hash = hasher.finalize();
    let leading = hash.as_bytes().first_chunk();
    leading.copied().map(u64::from_le_bytes).unwrap_or_default()
}

/// Returns the side that a new request with a hash goes to, by a state that was confirmed `age` ago.
///
/// A raised share keeps the requests of the lower one at the target.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::release::ReleaseOrder;
/// use borageladder_kernel::release::ReleasePhase;
/// use borageladder_kernel::release::ReleaseState;
/// use borageladder_kernel::release::TrafficShare;
/// use borageladder_kernel::release::VersionSide;
/// use borageladder_kernel::release::choose_side;
/// use borageladder_kernel::roster::StoreEra;
/// use borageladder_kernel::roster::StoreRevision;
///
/// let order = ReleaseOrder {
///     service: "drafter".parse()?,
///     revision: StoreRevision(7),
///     target: "v2".parse()?,
///     duration: Duration::from_secs(12),
/// };
/// let mut state = ReleaseState::begin(order, Duration::from_secs(100), StoreEra(1));
/// state.share = TrafficShare::from_ratio(0.25);
/// let fresh = Duration::from_millis(300);
/// assert_eq!(choose_side(&state, fresh, u64::MAX / 5), VersionSide::Target);
/// assert_eq!(choose_side(&state, fresh, u64::MAX / 3), VersionSide::Baseline);
/// let stale = Duration::from_secs(3);
/// assert_eq!(choose_side(&state, stale, u64::MAX / 5), VersionSide::Baseline);
/// state.phase = ReleasePhase::Completed;
/// assert_eq!(choose_side(&state, stale, u64::MAX), VersionSide::Target);
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[must_use]
pub fn choose_side(state: &ReleaseState, age: Duration, hash: u64) -> VersionSide {
    let to_target = match state.phase {
        ReleasePhase::Completed => true,
        ReleasePhase::Reverted => false,
        ReleasePhase::Canary | ReleasePhase::Shift => {
            age <= MAX_STATE_AGE && !state.is_halted() && state.share.covers(hash)
        }
    };
    if to_target {
        VersionSide::Target
    } else {
        VersionSide::Baseline
    }
}
