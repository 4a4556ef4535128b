//! The kinds of reports, and the numbers that they carry on the link.

use std::time::Duration;

use super::error::CodecError;
use super::revision::WireRevision;
use crate::kernel::ask::WorkProgress;
use crate::kernel::pace::RequestRate;
use crate::kernel::pushback::RejectionTolerance;

/// The kinds of progress; their order gives their numbers on the link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgressKind {
    /// [`WorkProgress::Dispatched`].
    Dispatched,
    /// [`WorkProgress::FirstToken`], with the milliseconds since the dispatch.
    FirstToken,
    /// [`WorkProgress::Finished`], with the answer tokens and the mean token gap in microseconds.
    Finished,
    /// [`WorkProgress::Stopped`].
    Stopped,
    /// [`WorkProgress::Failed`].
    Failed,
    /// [`WorkProgress::Released`].
    Released,
    /// [`WorkProgress::Erred`].
    Erred,
    /// [`WorkProgress::RateNamed`], with the rate in thousandths of a request a second.
    RateNamed,
    /// [`WorkProgress::Rejected`], with the rest in milliseconds.
    Rejected,
    /// [`WorkProgress::ToleranceNamed`], with the number of rejections.
    ToleranceNamed,
    /// [`WorkProgress::LeavingNamed`].
    LeavingNamed,
}

impl ProgressKind {
    /// All kinds; the index of a kind is its number.
    pub const ALL: [Self; 11] = [
        Self::Dispatched,
        Self::FirstToken,
        Self::Finished,
        Self::Stopped,
        Self::Failed,
        Self::Released,
        Self::Erred,
        Self::RateNamed,
        Self::Rejected,
        Self::ToleranceNamed,
        Self::LeavingNamed,
    ];

    /// Returns the kind by which a progress is numbered on the link.
    pub const fn of(progress: WorkProgress) -> Self {
        match progress {
            WorkProgress::Dispatched => Self::Dispatched,
            WorkProgress::FirstToken { .. } => Self::FirstToken,
            WorkProgress::Finished { .. } => Self::Finished,
            WorkProgress::Stopped => Self::Stopped,
            WorkProgress::Failed => Self::Failed,
            WorkProgress::Released => Self::Released,
            WorkProgress::Erred => Self::Erred,
            WorkProgress::RateNamed { .. } => Self::RateNamed,
            WorkProgress::Rejected { .. } => Self::Rejected,
            WorkProgress::ToleranceNamed { .. } => Self::ToleranceNamed,
            WorkProgress::LeavingNamed => Self::LeavingNamed,
        }
    }

    /// Returns the revision that brought the kind.
    pub const fn revision(self) -> WireRevision {
        match self {
            Self::Dispatched
            | Self::FirstToken
            | Self::Finished
            | Self::Stopped
            | Self::Failed
            | Self::Released
            | Self::Erred
            | Self::RateNamed => WireRevision::EARLIEST,
            Self::Rejected | Self::ToleranceNamed | Self::LeavingNamed => WireRevision::UNSTATED,
        }
    }

    /// Returns the progress of this kind with the given numbers; a kind with fewer numbers ignores
    /// the rest.
    pub(super) fn progress(self, first: u64, second: u64) -> Result<WorkProgress, CodecError> {
        Ok(match self {
            Self::Dispatched => WorkProgress::Dispatched,
            Self::FirstToken => WorkProgress::FirstToken {
                after: Duration::from_millis(first),
            },
            Self::Finished => {
                let tokens = u32::try_from(first);
                WorkProgress::Finished {
                    answer_tokens: tokens
                        .map_err(|_large| CodecError::Field { field: "tokens" })?,
                    token_gap: Duration::from_micros(second),
                }
            }
            Self::Stopped => WorkProgress::Stopped,
            Self::Failed => WorkProgress::Failed,
            Self::Released => WorkProgress::Released,
            Self::Erred => WorkProgress::Erred,
            Self::Rejected => WorkProgress::Rejected {
                rest: Duration::from_millis(first),
            },
            Self::LeavingNamed => WorkProgress::LeavingNamed,
            Self::ToleranceNamed => {
                let rejections = u32::try_from(first);
                WorkProgress::ToleranceNamed {
                    tolerance: rejections
                        .map(RejectionTolerance)
                        .map_err(|_large| CodecError::Field { field: "tolerance" })?,
                }
            }
            Self::RateNamed => {
                let rate = u32::try_from(first);
                WorkProgress::RateNamed {
                    rate: rate
                        .map(RequestRate)
                        .map_err(|_large| CodecError::Field { field: "rate" })?,
                }
            }
        })
    }
}
