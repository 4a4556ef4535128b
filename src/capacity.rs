//! Capacity limits of one host, and the shedding of waiting requests when they are reached.
//!
//! The victim is a waiting request of the lowest tier, and within that tier the one with the
//! earliest deadline, since it is the least likely to finish in time. A request is shed only for
//! one of a higher tier; if no lower tier waits, the new request itself is refused.

use std::time::Duration;

use crate::context::HostContext;
use crate::journal::RequestJournal;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::name::RequestId;
use crate::kernel::name::TierRank;
use crate::reply::CallerError;
use crate::request::PlacedRequest;

/// The Retry-After time of a request that was shed or refused for lack of capacity.
const SHED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The capacity limits of one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityLimits {
    /// The maximum number of waiting and running requests.
    pub max_requests: usize,
    /// The maximum total size of the bodies of waiting requests, in bytes.
    pub max_waiting_bytes: usize,
}

/// Sheds waiting requests of lower tiers until the host has capacity for a request.
///
/// # Errors
///
/// Returns the refusal of the request itself if no request of a lower tier is left to shed; those
/// shed before stay shed.
pub fn ensure_capacity(context: &HostContext, placed: &PlacedRequest) -> Result<(), CallerError> {
    let limits = CapacityLimits {
        max_requests: context.settings.limits.max_requests,
        max_waiting_bytes: context.settings.limits.max_waiting_bytes,
    };
    let bytes = placed.incoming.body.len();
    while !has_capacity(&context.journal.borrow(), limits, bytes) {
        let victim = shedding_victim(&context.journal.borrow(), placed.rank);
        let Some(victim) = victim else {
            return Err(CallerError::from(&refusal(placed.id)));
        };
        // The victim's own task ends its record later, so the capacity is released here.
        context.journal.borrow_mut().mark_shed(victim);
        context.cells.drop_ask(refusal(victim));
    }
    Ok(())
}

/// Returns whether the limits allow a further request with a body of the given length.
#[must_use]
pub fn has_capacity(journal: &RequestJournal, limits: CapacityLimits, bytes: usize) -> bool {
    journal.held_requests() < limits.max_requests
        && journal.waiting_bytes() + bytes <= limits.max_waiting_bytes
}

/// Returns the waiting request to shed for one of the given tier; `None` if no lower tier waits.
#[must_use]
pub fn shedding_victim(journal: &RequestJournal, rank: TierRank) -> Option<RequestId> {
    let lower = journal.waiting().filter(|record| record.rank > rank);
    let victim = lower.max_by_key(|record| (record.rank, std::cmp::Reverse(record.deadline)));
    victim.map(|record| record.request)
}

const fn refusal(request: RequestId) -> Refusal {
    Refusal {
        request,
        reason: RefusalReason::Capacity,
        retry_after: SHED_RETRY_AFTER,
    }
}
