//! The bounds on what one host holds, and who gives way when they are reached.
//!
//! The victim is a waiting request of the lowest tier, and within it the one that is least likely to
//! finish in time: the one with the least time left. A new request that is of that tier itself is
//! refused in its place, so no request gives way to one of its own or of a lower tier.

use std::time::Duration;

use crate::context::HostContext;
use crate::journal::RequestJournal;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::name::RequestId;
use crate::kernel::name::TierRank;
use crate::reply::CallerError;
use crate::request::PlacedRequest;

/// The time after which the caller of a request that found no room may come back.
const ROOM_RETRY: Duration = Duration::from_secs(2);

/// The bounds on what a host holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomLimits {
    /// The most requests.
    pub max_requests: usize,
    /// The most bytes of bodies of waiting requests.
    pub max_waiting_bytes: usize,
}

/// Makes room for a request by refusing waiting requests of lower tiers.
///
/// # Errors
///
/// Returns the refusal of the request itself if no lower tier waits.
pub fn make_room(context: &HostContext, placed: &PlacedRequest) -> Result<(), CallerError> {
    let limits = RoomLimits {
        max_requests: context.settings.limits.max_requests,
        max_waiting_bytes: context.settings.limits.max_waiting_bytes,
    };
    let bytes = placed.incoming.body.len();
    while !has_room(&context.journal.borrow(), limits, bytes) {
        let victim = victim(&context.journal.borrow(), placed.rank);
        let Some(victim) = victim else {
            return Err(CallerError::from(&refusal(placed.id)));
        };
        // Its task answers the caller later, so its room is taken out of the count here.
        context.journal.borrow_mut().give_way(victim);
        context.cells.drop_ask(refusal(victim));
    }
    Ok(())
}

/// Returns whether a further request with a body of the given length fits.
#[must_use]
pub fn has_room(journal: &RequestJournal, limits: RoomLimits, bytes: usize) -> bool {
    journal.held_requests() < limits.max_requests
        && journal.waiting_bytes() + bytes <= limits.max_waiting_bytes
}

/// Returns the waiting request that gives way to one of the given tier, if there is one.
#[must_use]
pub fn victim(journal: &RequestJournal, rank: TierRank) -> Option<RequestId> {
    let lower = journal.waiting().filter(|record| record.rank > rank);
    let victim = lower.max_by_key(|record| (record.rank, std::cmp::Reverse(record.deadline)));
    victim.map(|record| record.request)
}

const fn refusal(request: RequestId) -> Refusal {
    Refusal {
        request,
        reason: RefusalReason::Capacity,
        retry_after: ROOM_RETRY,
    }
}
