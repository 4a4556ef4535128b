//! What may be sent to a worker once more.
//!
//! A permit for a further attempt is made from a [`Repeatable`], which only the kinds of work that
//! may run twice give out, or from [`NotExecuted`], a worker's own word. There is no other way to
//! write down a second dispatch.

use serde::Deserialize;
use serde::Serialize;

/// What may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum WorkKind {
    /// Work that may run any number of times.
    Safe,
    /// Work that runs at most once.
    Unsafe,
    /// A stream of events.
    Stream {
        /// Whether another worker may go on after the last event.
        resumable: bool,
    },
}

impl WorkKind {
    /// Returns the right to repeat the work, if its kind has it.
    #[must_use]
    pub const fn repeatable(self) -> Option<Repeatable> {
        match self {
            Self::Safe | Self::Stream { resumable: true } => Some(Repeatable(())),
            Self::Unsafe | Self::Stream { resumable: false } => None,
        }
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The right to run work again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Repeatable(());

/// A worker's statement that it did not run what it was sent.
#[derive(Debug, Eq, PartialEq)]
pub struct NotExecuted(());

impl NotExecuted {
    /// Notes that the worker that was sent the work stated that it did not run it.
    #[must_use]
    pub const fn stated() -> Self {
        Self(())
    }
}

/// The permission for one further dispatch.
#[derive(Debug, Eq, PartialEq)]
pub struct RepeatPermit(());

/// Counts the runs and the sends of one request.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::attempt::AttemptLedger;
/// use borageladder_kernel::attempt::WorkKind;
///
/// let mut attempts = AttemptLedger::new(2);
/// attempts.sent();
/// let right = WorkKind::Safe.repeatable().expect("safe work may be repeated");
/// assert!(attempts.again(right).is_some());
/// attempts.sent();
/// assert!(attempts.again(right).is_none());
/// assert!(WorkKind::Unsafe.repeatable().is_none());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptLedger {
    most: u32,
    runs: u32,
    sends: u32,
}

/// The most times that one request is sent to workers that reject it.
const MAX_SENDS: u32 = 4;

impl AttemptLedger {
    /// Creates the ledger of a request that may run on `most` workers.
    #[must_use]
    pub const fn new(most: u32) -> Self {
        Self {
            most,
            runs: 0,
            sends: 0,
        }
    }

    /// Counts a dispatch, which is a run until the worker says otherwise.
    pub const fn sent(&mut self) {
        self.runs += 1;
        self.sends += 1;
    }

    /// Returns the number of dispatches.
    #[must_use]
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns whether this is the first dispatch.
    #[must_use]
    pub const fn is_first(&self) -> bool {
        self.sends == 0
    }

    /// Returns whether a dispatch may have run.
    #[must_use]
    pub const fn has_run(&self) -> bool {
        self.runs > 0
    }

    /// Permits a further run of repeatable work, within the most workers.
    pub const fn again(&mut self, _right: Repeatable) -> Option<RepeatPermit> {
        if self.runs < self.most && self.sends < MAX_SENDS {
            Some(RepeatPermit(()))
        } else {
            None
        }
    }

    /// Permits a further dispatch after a worker stated that it ran nothing.
    pub const fn not_executed(&mut self, _proof: &NotExecuted) -> Option<RepeatPermit> {
        self.runs = self.runs.saturating_sub(1);
        if self.sends < MAX_SENDS {
            Some(RepeatPermit(()))
        } else {
            None
        }
    }
}
