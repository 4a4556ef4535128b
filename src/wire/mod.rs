//! The messages between hosts and their encoding on links.
//!
//! Hosts of several builds exchange them, so each new kind has a revision ([`WireRevision`]) and a row
//! in `docs/WIRE.md`.

mod bundle;
mod code;
mod codec;
mod error;
mod host;
mod kind;
mod progress;
mod revision;
mod state;
mod work;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::ServingConfiguration;
use crate::kernel::ask::Ask;
use crate::kernel::ask::Grant;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RunningWork;
use crate::kernel::ask::WorkReport;
use crate::kernel::ask::WorkspaceWork;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::configuration::Configuration;
use crate::kernel::delta::ConfigurationDelta;
use crate::kernel::membership::HostClass;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::RequestId;
use crate::kernel::name::ServiceName;
use crate::kernel::name::WorkerVersion;
use crate::kernel::pace::NamedRate;
use crate::kernel::poison::PartReport;
use crate::kernel::prompt::PartDigest;
use crate::kernel::quarantine::CrashCount;
use crate::kernel::quota::ReportBundle;
use crate::kernel::release::ReleaseEvidence;
use crate::kernel::release::ReleaseOrder;
use crate::kernel::release::ReleaseState;
use crate::kernel::roster::StoreEra;
use crate::kernel::roster::UpstreamRecord;
use crate::kernel::stream::StreamKey;
use crate::kernel::stream_log::StreamBatch;

pub use crate::kernel::quota::WorkspaceUsage;
pub use codec::FrameDecoder;
pub use codec::FrameEncoder;
pub use codec::MAX_FRAME_BYTES;
pub use codec::MAX_FRAME_MESSAGES;
pub use codec::MAX_MESSAGE_BYTES;
pub use error::CodecError;
pub use kind::MessageKind;
pub use revision::WireRevision;
pub use state::LinkIncarnations;

/// A message from one host to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LinkMessage {
    /// The sender is alive; sent periodically.
    Heartbeat(Heartbeat),
    /// The live hosts of a data centre in the sender's view, without their classes; sent to and by
    /// hosts that don't know [`Self::ClassedMembers`].
    Members(MemberList),
    /// The live hosts of a data centre in the sender's view.
    ClassedMembers(MemberList),
    /// The sender's entry asks the receiver's broker for a slot.
    Ask(Box<Ask>),
    /// The sender's entry withdraws its ask for a slot.
    Withdraw {
        /// The service of the cell.
        service: ServiceName,
        /// The request.
        request: RequestId,
    },
    /// The sender's broker grants a slot.
    Grant(Grant),
    /// The sender's broker refuses a request.
    Refuse(Refusal),
    /// The sender's broker refers a request to the broker of another data centre that has a free
    /// slot for it.
    Refer(Referral),
    /// The sender's entry reports the progress of the work under a grant.
    Report {
        /// The service of the cell.
        service: ServiceName,
        /// The progress of the request.
        report: WorkReport,
    },
    /// The sender's entry declares its running work to the broker or deputy of a cell: when that
    /// host has just taken over, and periodically.
    Declare {
        /// The service of the cell.
        service: ServiceName,
        /// All requests of the sender that hold a slot of the cell.
        running: Vec<RunningWork>,
    },
    /// The sender's entry declares the rates that workers named to it, to the broker or deputy of a
    /// cell that has just taken over.
    Rates {
        /// The service of the cell.
        service: ServiceName,
        /// The rates.
        rates: Vec<NamedRate>,
    },
    /// The sender's entry declares the workspaces of its running work, to the broker or deputy of a
    /// cell that has just taken over and computes the shares of workspaces.
    Workspaces {
        /// The service of the cell.
        service: ServiceName,
        /// The workspaces of the sender's requests that hold a slot of the cell.
        running: Vec<WorkspaceWork>,
    },
    /// The sender's broker publishes the free slots and the queue of its cell to the brokers of
    /// other data centres.
    Summary(CellSummary),
    /// A complete configuration version, which the receiver requested.
    Configuration(Arc<Configuration>),
    /// The deltas that lead from the receiver's configuration version to the sender's.
    ConfigurationDeltas(Vec<Arc<ConfigurationDelta>>),
    /// The sender requests the configuration if the receiver has a newer version than this one.
    ConfigurationWanted(ConfigVersion),
    /// The worker crashes attributed to requests with equal content.
    #[serde(rename = "Strike")]
    Crash(CrashCount),
    /// Crashes of workers under requests with certain prompt parts: a new one, or those on the
    /// sender's record when a link is opened.
    CrashedParts(Vec<PartReport>),
    /// Prompt parts with crashes on record that a worker has completed a request with; sent by and
    /// to hosts that don't know [`Self::SoundAnswer`].
    SoundParts(Vec<PartDigest>),
    /// A sound answer to a request with prompt parts that have crashes on record.
    SoundAnswer {
        /// The time since the answer began.
        age: Duration,
        /// The parts.
        parts: Vec<PartDigest>,
    },
    /// The sender's broker has queued the receiver's request until a slot is free.
    Waiting(RequestId),
    /// The sender's quota usage, for the workspaces whose usage changed since its last report or
    /// for all of them.
    Usage(UsageReport),
    /// The use of quotas by the hosts of the sender's data centre that report to each other only.
    UsageSum(UsageSum),
    /// Reports of the hosts of the sender's data centre, which it passes on to all of them.
    UsageBundle(Arc<ReportBundle>),
    /// The counts of answers by which the driver of a release judges its target, of the sender or of
    /// hosts of its data centre.
    ReleaseEvidence(Vec<EvidenceReport>),
    /// The version of the worker that began a stream: sent to the replicas of its record, and in
    /// answer to [`Self::StreamWanted`].
    StreamBegun {
        /// The stream.
        stream: StreamKey,
        /// The version.
        version: WorkerVersion,
    },
    /// The version of a worker to which a stream was dispatched, which may have written no event: sent
    /// to and by hosts that don't know [`Self::StreamBegun`], and in answer to [`Self::StreamWanted`].
    StreamVersion {
        /// The stream.
        stream: StreamKey,
        /// The version; `None` in an answer if the sender does not know the stream.
        version: Option<WorkerVersion>,
    },
    /// Streams that have begun at the sender, or at hosts of its data centre, for the log in the store.
    BegunStreams(StreamBatch),
    /// Streams that hosts which don't know [`Self::BegunStreams`] dispatched, for the same log.
    StreamRecords(StreamBatch),
    /// The sender queries the version of the worker that began a stream.
    StreamWanted(StreamKey),
    /// The sender polls the receiver for the state of the platform's store.
    StateWanted(StatePoll),
    /// The state of the platform's store, as the sender has read or received it.
    State(Box<StateUpdate>),
    /// The sender runs an operator's query and requests the rows of the receiver, or those of all
    /// hosts of the receiver's data centre if the sender is in another one.
    Query {
        /// The number that the answer to this query carries.
        number: u64,
        /// The query in the text form that [`HostQuery::to_text`] returns.
        ///
        /// [`HostQuery::to_text`]: crate::rows::HostQuery::to_text
        text: String,
    },
    /// The rows for a query of the receiver.
    QueryAnswer {
        /// The number of the query that is answered.
        number: u64,
        /// The JSON text of a list of [`HostRows`](crate::query::HostRows).
        rows: String,
    },
}

/// The periodic message by which peers detect that a host is alive.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The data centre of the sender.
    pub datacenter: DatacenterName,
    /// The random number that the sender's process drew at its start.
    pub incarnation: u64,
    /// The configuration version in force on the sender; this and the next two versions are 0 on a
    /// host without a configuration agent.
    pub applied: ConfigVersion,
    /// The highest configuration version that the sender has seen, applied or not.
    pub known: ConfigVersion,
    /// The highest version that the sender's data centre has confirmed, as far as the sender knows.
    pub confirmed: ConfigVersion,
    /// Whether the sender verified within the freshness bound of the rollout that `known` is up to
    /// date.
    pub fresh: bool,
    /// Whether the sender is stopping; it is then elected broker only if all others are too.
    pub stopping: bool,
    /// The class of the sender's processor share and network link.
    #[serde(rename = "strength")]
    pub host_class: HostClass,
    /// The sender's clock when it sent this heartbeat, in whole milliseconds.
    pub sent: ClockTime,
    /// The `sent` field of the last heartbeat from the receiver; `None` if there is none from its
    /// present incarnation.
    pub echo: Option<ClockTime>,
}

/// A poll of the state of the platform's store, sent to the reader or a relay.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatePoll {
    /// The number that the answer to this poll carries.
    pub number: u64,
    /// The configuration version of the polling host; 0 without a configuration.
    pub version: u64,
    /// The revision of the polling host's roster, as numbered by the polled host; 0 if the roster
    /// does not come from that host.
    pub roster: u64,
}

/// The state of the platform's store, as the reader has read it or a relay has received it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StateUpdate {
    /// The number of the answered poll. The state was read from the store after the poll arrived.
    ///
    /// `None` for an update that was not polled for, which doesn't count as a read of the
    /// store.
    pub number: Option<u64>,
    /// The configuration, if it is newer than that of the poll; without a poll, if it has changed.
    pub configuration: Option<Arc<ServingConfiguration>>,
    /// All workers, if the roster revision differs from that of the poll; `None` without a poll.
    pub workers: Option<Vec<UpstreamRecord>>,
    /// The roster revision of the sending host, a number that changes with each change of its
    /// roster.
    pub roster: u64,
    /// The era of the store in which the sender knows its workers; unknown to earlier builds.
    #[serde(default, skip_serializing_if = "StoreEra::is_unknown")]
    pub era: StoreEra,
    /// The orders and states of all releases; `None` if the sender knows nothing of releases, as those
    /// of earlier builds do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub releases: Option<Vec<ReleaseUpdate>>,
}

/// The order and the state of the release of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReleaseUpdate {
    /// The order; `None` if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<ReleaseOrder>,
    /// The state; `None` if it is not known or may have changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<ReleaseState>,
}

/// The evidence of one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EvidenceReport {
    /// The host that counted.
    pub host: HostName,
    /// The random number that its process drew at its start.
    pub incarnation: u64,
    /// The counts.
    pub evidence: ReleaseEvidence,
}

/// The units that a host has charged to the quotas of workspaces.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageReport {
    /// The time since the start of the sending host.
    pub age: Duration,
    /// The workspaces whose usage changed since the last report, or all workspaces.
    pub uses: Vec<WorkspaceUsage>,
}

/// The use of quotas by the hosts of one data centre, reported by one of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageSum {
    /// The data centre.
    pub datacenter: DatacenterName,
    /// The random number that the sender's process drew at its start.
    pub source: u64,
    /// The number of hosts that the sum speaks for.
    pub hosts: u32,
    /// The units that they charged to each workspace, on top of a number that the sender has chosen.
    pub uses: Vec<WorkspaceUsage>,
}

/// The live hosts of one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberList {
    /// The data centre.
    pub datacenter: DatacenterName,
    /// Its live hosts, or a few of them if the sender is in another data centre.
    pub members: Vec<MemberEntry>,
}

/// One live host in a list of members.
///
/// In the list of a data centre other than the sender's only the name and the address are set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberEntry {
    /// The name of the host.
    pub host: HostName,
    /// The address at which the host accepts links.
    pub address: SocketAddr,
    /// The random number that the host's process drew at its start; 0 if not set.
    pub incarnation: u64,
    /// Whether the host is stopping; false if not set.
    pub stopping: bool,
    /// The class of the host; the lowest one if not set.
    pub host_class: HostClass,
}

/// The broker to which a request is referred.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Referral {
    /// The request that is referred.
    pub request: RequestId,
    /// The data centre of the other broker.
    pub datacenter: DatacenterName,
    /// The host of the other broker.
    pub host: HostName,
}

/// The free slots and the queue of a cell, as its broker publishes them to other data centres.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CellSummary {
    /// The service of the cell.
    pub service: ServiceName,
    /// The data centre of the cell.
    pub datacenter: DatacenterName,
    /// The slots that are free now.
    pub free_slots: u32,
    /// The number of waiting requests; the index is the tier rank.
    pub waiting: Vec<u32>,
}
