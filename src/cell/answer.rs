//! The answer of a broker to an ask.

use crate::kernel::ask::Grant;
use crate::kernel::ask::Refusal;
use crate::kernel::clock::ClockTime;

/// The final answer of a broker to an ask; a request that waits has none yet.
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
