//! The messages that hosts send each other over links, and their encoding.

mod code;
mod codec;
mod error;
mod host;
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
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::configuration::Configuration;
use crate::kernel::delta::ConfigurationDelta;
use crate::kernel::membership::HostClass;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::RequestId;
use crate::kernel::name::ServiceName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::roster::UpstreamRecord;

pub use codec::FrameDecoder;
pub use codec::FrameEncoder;
pub use codec::MAX_FRAME_BYTES;
pub use codec::MAX_FRAME_MESSAGES;
pub use codec::MAX_MESSAGE_BYTES;
pub use error::CodecError;
pub use state::LinkIncarnations;

/// A message from one host to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LinkMessage {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// The live hosts of a data centre, as the sender knows them.
    Members(MemberList),
    /// The sender's entry asks the receiver's broker for a slot.
    Ask(Box<Ask>),
    /// The sender's entry no longer wants a slot.
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
    /// The sender's broker names another broker that can finish the request in time.
    Refer(Referral),
    /// The sender's entry reports about a grant.
    Report {
        /// The service of the cell.
        service: ServiceName,
        /// The report.
        report: WorkReport,
    },
    /// The sender's entry declares what it runs in a cell whose broker changed.
    Declare {
        /// The service of the cell.
        service: ServiceName,
        /// All of the sender's running work in the cell.
        running: Vec<RunningWork>,
    },
    /// The sender's broker describes the room in its cell to brokers of other data centres.
    Summary(CellSummary),
    /// A whole configuration version, which the receiver asked for.
    Configuration(Arc<Configuration>),
    /// The differences from the version that the receiver has to the one that the sender has.
    ConfigurationDeltas(Vec<Arc<ConfigurationDelta>>),
    /// The sender wants a configuration newer than the version.
    ConfigurationWanted(ConfigVersion),
    /// The number of worker crashes attributed to a request.
    #[serde(rename = "Strike")]
    Crash {
        /// The digest of the request's content.
        digest: u64,
        /// The crashes that the sender has recorded.
        #[serde(rename = "strikes")]
        crashes: u8,
    },
    /// The sender's broker has no slot yet for the receiver's request, which waits.
    Waiting(RequestId),
    /// What the sender has given out of the quotas that it used since its last such message.
    Usage(UsageReport),
    /// The sender wants to know what the receiver reads from the platform's store.
    StateWanted(StatePoll),
    /// What the sender has read from the platform's store.
    State(Box<StateUpdate>),
    /// The sender runs an operator's query and wants the receiver's rows.
    Query {
        /// The number by which the answer names the query.
        number: u64,
        /// The query, in the operators' language.
        text: String,
    },
    /// The rows of the sender for a query.
    QueryAnswer {
        /// The number of the query.
        number: u64,
        /// The rows, as JSON.
        rows: String,
    },
}

/// The sign of life of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The data centre of the sender.
    pub datacenter: DatacenterName,
    /// The random number that the sender drew when it started.
    pub incarnation: u64,
    /// The configuration version in force on the sender.
    pub applied: ConfigVersion,
    /// The highest configuration version that the sender knows to exist.
    pub known: ConfigVersion,
    /// The highest version that every live host of the sender's data centre has applied.
    pub confirmed: ConfigVersion,
    /// Whether the sender knows that its versions are not outdated.
    pub fresh: bool,
    /// Whether the sender is stopping and must get no broker role.
    pub stopping: bool,
    /// The class of the sender's processor share and network link.
    #[serde(rename = "strength")]
    pub host_class: HostClass,
    /// The sender's clock when it sent this heartbeat, in whole milliseconds.
    pub sent: ClockTime,
    /// The receiver's own `sent` of the last heartbeat that the sender got from it.
    pub echo: Option<ClockTime>,
}

/// A host's question for what another one reads from the platform's store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatePoll {
    /// The number of the question.
    pub number: u64,
    /// The version of the configuration that the asking host has.
    pub version: u64,
    /// The state of the roster that the asking host has from the answering one.
    pub roster: u64,
}

/// What a host has read from the platform's store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StateUpdate {
    /// The question that is answered by reads that began after it came; `None` for news that were
    /// not asked for, which prove nothing about the time.
    pub number: Option<u64>,
    /// The configuration, if it is newer than the asking host's.
    pub configuration: Option<Arc<ServingConfiguration>>,
    /// All workers, if they are others than the asking host knows.
    pub workers: Option<Vec<UpstreamRecord>>,
    /// The state of the answering host's roster.
    pub roster: u64,
}

/// What a host has given out of the quotas of workspaces.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageReport {
    /// The time since the start of the host.
    pub age: Duration,
    /// The workspaces whose use changed, or all.
    pub uses: Vec<WorkspaceUsage>,
}

/// What a host has given out of the quota of a workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceUsage {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// All units that the host has given out since its start.
    pub units: f64,
}

/// The live hosts of one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberList {
    /// The data centre.
    pub datacenter: DatacenterName,
    /// Its live hosts, or a few of them if the sender is elsewhere.
    pub members: Vec<MemberEntry>,
}

/// One live host in a list of members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberEntry {
    /// The name of the host.
    pub host: HostName,
    /// The address at which it accepts links.
    pub address: SocketAddr,
    /// The random number that it drew when it started.
    pub incarnation: u64,
    /// Whether it is stopping and must get no broker role.
    pub stopping: bool,
}

/// The broker of another data centre that has room for a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Referral {
    /// The request that is referred.
    pub request: RequestId,
    /// The data centre of the other broker.
    pub datacenter: DatacenterName,
    /// The host of the other broker.
    pub host: HostName,
}

/// The room in a cell, as its broker tells brokers of other data centres.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CellSummary {
    /// The service of the cell.
    pub service: ServiceName,
    /// The data centre of the cell.
    pub datacenter: DatacenterName,
    /// The slots that are free now.
    pub free_slots: u32,
    /// The requests that wait, by tier rank.
    pub waiting: Vec<u32>,
}
