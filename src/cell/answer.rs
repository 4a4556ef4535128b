//! What a broker answers to an ask.

use crate::kernel::ask::Grant;
use crate::kernel::ask::Refusal;
use crate::kernel::clock::ClockTime;

/// The answer of a broker to an ask.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotAnswer {
    /// A slot is granted.
    Granted {
        /// The grant.
        grant: Grant,
        /// The time at which the grant was read.
        received: ClockTime,
    },
    /// The request is refused.
    Refused(Refusal),
}
