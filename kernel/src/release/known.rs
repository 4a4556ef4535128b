//! The newest state of a release that a host knows.

use std::time::Duration;

use super::split::VersionSide;
use super::split::choose_side;
use super::state::ReleaseState;
use crate::clock::ClockTime;

/// The newest state of the release of one service, out of those that a host gets from the store, from
/// state updates and from the driver.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::release::KnownRelease;
/// use borageladder_kernel::release::ReleaseOrder;
/// use borageladder_kernel::release::ReleasePhase;
/// use borageladder_kernel::release::ReleaseState;
/// use borageladder_kernel::roster::StoreEra;
/// use borageladder_kernel::roster::StoreRevision;
///
/// let order = ReleaseOrder {
///     service: "drafter".parse()?,
///     revision: StoreRevision(7),
///     target: "v2".parse()?,
///     duration: Duration::from_secs(12),
/// };
/// let first = ReleaseState::begin(order, Duration::from_secs(100), StoreEra(1));
/// let mut reverted = first.clone();
/// reverted.phase = ReleasePhase::Reverted;
/// let mut known = KnownRelease::new(reverted.clone(), ClockTime::ZERO);
/// // The store is back from an older copy.
/// let mut older = first;
/// older.era = StoreEra(2);
/// assert!(!known.learn(older, ClockTime::from_millis(300)));
/// assert_eq!(known.state(), &reverted);
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct KnownRelease {
    state: ReleaseState,
    confirmed: ClockTime,
}

impl KnownRelease {
    /// Creates the knowledge of a host that has learned a state which held at `confirmed`.
    #[must_use]
    pub const fn new(state: ReleaseState, confirmed: ClockTime) -> Self {
        Self { state, confirmed }
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> &ReleaseState {
        &self.state
    }

    /// Returns the time since which the state may have changed in the store.
    #[must_use]
    pub const fn age(&self, now: ClockTime) -> Duration {
        now.since(self.confirmed)
    }

    /// Records a state which held at `confirmed`; returns whether the known state changes.
    ///
    /// A final phase is kept against a store that is back from an older copy, and a state by which the
    /// target was found bad against all states of the order that are not final.
    pub fn learn(&mut self, state: ReleaseState, confirmed: ClockTime) -> bool {
        if !supersedes(&state, &self.state) {
            if state == self.state {
                self.confirmed = self.confirmed.max(confirmed);
            }
            return false;
        }
        self.confirmed = confirmed;
        self.state = state;
        true
    }

    /// Returns the side that a new request with a hash goes to.
    #[must_use]
    pub fn choose_side(&self, now: ClockTime, hash: u64) -> VersionSide {
        choose_side(&self.state, self.age(now), hash)
    }
}

/// Returns whether a state replaces a known one.
pub(super) fn supersedes(state: &ReleaseState, known: &ReleaseState) -> bool {
    if state.era != known.era {
        let is_kept = known.phase.is_final() || known.is_halted();
        let undoes = !state.phase.is_final() && state.order.asks_same(&known.order);
        return state.era > known.era && !(is_kept && undoes);
    }
    if state.order.revision != known.order.revision {
        return state.order.revision > known.order.revision;
    }
    if known.phase.is_final() {
        return false;
    }
    if state.phase.is_final() || (state.is_halted() && !known.is_halted()) {
        return true;
    }
    state.sequence > known.sequence && (state.is_halted() || !known.is_halted())
}
