//! Revisions of the protocol between hosts, and the messages that each of them brought.
//!
//! Hosts of an older and a newer build serve side by side while they are replaced one after the
//! other. Each host states its revision in the handshake of a link and is sent only messages that
//! this revision knows. `docs/WIRE.md` is the register of the revisions.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::LinkMessage;
use super::progress::ProgressKind;
use crate::kernel::ask::WorkProgress;
use crate::kernel::ask::WorkReport;

/// A revision of the protocol between hosts.
///
/// # Examples
///
/// ```
/// use borageladder::kernel::ask::WorkProgress;
/// use borageladder::kernel::ask::WorkReport;
/// use borageladder::kernel::name::GrantId;
/// use borageladder::kernel::name::RequestId;
/// use borageladder::wire::LinkMessage;
/// use borageladder::wire::WireRevision;
///
/// let report = WorkReport {
///     request: RequestId { incarnation: 7, sequence: 1 },
///     grant: GrantId { broker: 3, sequence: 1 },
///     worker: "drafter-1".parse()?,
///     progress: WorkProgress::LeavingNamed,
/// };
/// let message = LinkMessage::Report { service: "drafter".parse()?, report };
/// assert_eq!(message.revision(), WireRevision::UNSTATED);
/// assert_eq!(message.clone().for_revision(WireRevision::CURRENT), Some(message.clone()));
/// let earliest = message.for_revision(WireRevision::EARLIEST);
/// assert!(matches!(earliest, Some(LinkMessage::Report { report, .. })
///     if report.progress == WorkProgress::Failed));
/// # Ok::<(), borageladder::kernel::name::NameError>(())
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct WireRevision(pub u16);

impl WireRevision {
    /// The earliest revision that hosts of this build work with.
    pub const EARLIEST: Self = Self(1);

    /// The last revision that hosts don't state: rejections, tolerances and leaving workers in
    /// reports, and tunnels.
    pub const UNSTATED: Self = Self(2);

    /// The revision of this build; hosts state their revisions and skip messages of unknown kinds.
    pub const CURRENT: Self = Self(7);

    /// The revision from which on hosts know releases.
    pub const RELEASES: Self = Self(7);
    /// The revision from which on hosts take declarations of the workspaces of running work.
    pub const DECLARED_WORKSPACES: Self = Self(7);
    /// The revision from which on brokers grant slots for hedges.
    pub const HEDGES: Self = Self(7);

    /// The revision from which on member lists tell the classes of hosts, so that hosts need no links
    /// with all others.
    pub const CLASSED_MEMBERS: Self = Self(6);

    /// The revision from which on hosts take reports of the use of quotas in bundles.
    pub const BUNDLED_USE: Self = Self(6);

    /// The revision from which on hosts tell streams that have begun from dispatched ones.
    pub const BEGUN_STREAMS: Self = Self(5);

    /// The revision from which on hosts are told when a sound answer began.
    pub const SOUND_ANSWERS: Self = Self(4);

    /// The revision from which on hosts write the streams of others to the store.
    pub const STREAM_RECORDS: Self = Self(4);

    /// The revision from which on hosts take the sum of a data centre in place of the reports of its
    /// hosts.
    pub const SUMS: Self = Self(3);

    /// The revision from which on hosts open tunnels for others.
    pub const TUNNELS: Self = Self(2);
}

impl fmt::Display for WireRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl LinkMessage {
    /// Returns the revision that brought the kind of the message.
    #[must_use]
    pub const fn revision(&self) -> WireRevision {
        match self {
            Self::Report { report, .. } => ProgressKind::of(report.progress).revision(),
            Self::Ask(ask) if ask.hedged_worker.is_some() => WireRevision::HEDGES,
            Self::ClassedMembers(_) => WireRevision::CLASSED_MEMBERS,
            Self::BegunStreams(_) | Self::StreamBegun { .. } => WireRevision::BEGUN_STREAMS,
            Self::SoundAnswer { .. } => WireRevision::SOUND_ANSWERS,
            Self::StreamRecords(_) => WireRevision::STREAM_RECORDS,
            Self::UsageSum(_) => WireRevision::SUMS,
            Self::ReleaseEvidence(_) => WireRevision::RELEASES,
            Self::Workspaces { .. } => WireRevision::DECLARED_WORKSPACES,
            Self::UsageBundle(_) => WireRevision::BUNDLED_USE,
            _ => WireRevision::EARLIEST,
        }
    }

    /// Returns the message in the form that a host of the revision understands, or `None` if there
    /// is none.
    #[must_use]
    pub fn for_revision(self, revision: WireRevision) -> Option<Self> {
        if self.revision() <= revision {
            return Some(self);
        }
        match self {
            Self::Report { service, report } => {
                let progress = earlier_progress(report.progress)?;
                let report = WorkReport { progress, ..report };
                Some(Self::Report { service, report })
            }
            Self::ClassedMembers(list) => Some(Self::Members(list)),
            Self::BegunStreams(batch) => Self::StreamRecords(batch).for_revision(revision),
            Self::SoundAnswer { parts, .. } => Some(Self::SoundParts(parts)),
            Self::StreamBegun { stream, version } => Some(Self::StreamVersion {
                stream,
                version: Some(version),
            }),
            _ => None,
        }
    }
}

/// Returns what a host that doesn't know a progress is told instead. The end of a request must be
/// reported in any case, since it frees the slot. A worker that asked for rest or is leaving is
/// reported as failed, since only that keeps the broker from granting it at once again.
const fn earlier_progress(progress: WorkProgress) -> Option<WorkProgress> {
    match progress {
        WorkProgress::Rejected { rest } if rest.is_zero() => Some(WorkProgress::Stopped),
        WorkProgress::Rejected { .. } | WorkProgress::LeavingNamed => Some(WorkProgress::Failed),
        _ => None,
    }
}
