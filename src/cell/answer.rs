//! The answer to an ask.

use crate::kernel::ask::Grant;
use crate::kernel::ask::Refusal;
use crate::kernel::clock::ClockTime;

/// The final answer to an ask, from a broker or, for some refusals, from this host; a request that
/// waits has none yet.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotAnswer {
    /// A slot is granted.
    Granted {
        /// The grant.
        grant: Grant,
        /// The time at which this host received the grant.
        received: ClockTime,
    },
    /// The request is refused.
    Refused(Refusal),
}
