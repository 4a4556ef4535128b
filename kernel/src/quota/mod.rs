//! Workspace quotas that hold over all hosts together.
//!
//! Each host keeps a token bucket for the whole quota. Units charged to the host's own callers are
//! deducted at once, units charged on other hosts as soon as those hosts report them. What the other
//! hosts charge meanwhile, at their recent rates, is kept in reserve. A host from
//! which nothing is received is assumed to charge units at its last rate, and at no less than an
//! equal part of the quota; after [`LAST_RATE_TIME`], at that part. Hosts on both sides of a network
//! partition thus exceed the quota together only by what they charge before the silence is noticed,
//! and after [`PEER_EXPIRY`], when a silent host counts as gone.
//!
//! In large deployments the reports of a host reach the hosts of its data centre only, by way of two of
//! them ([`ReportExchange`]), and one of these reports the sum of the data centre to all others
//! ([`ReportScope`]).

mod bounds;
mod bucket;
mod exchange;
mod peer;
mod reports;
mod view;

pub use bounds::QuotaBounds;
pub use bounds::QuotaTolerance;
pub use bucket::PEER_EXPIRY;
pub use bucket::QuotaBucket;
pub use exchange::BUNDLE_INTERVAL;
pub use exchange::BUNDLES_PER_REPORT;
pub use exchange::PassedReport;
pub use exchange::REPORT_INTERVAL;
pub use exchange::ReportBundle;
pub use exchange::ReportBundler;
pub use exchange::ReportExchange;
pub use exchange::ReportPeer;
pub use exchange::ReportPlan;
pub use exchange::WorkspaceUsage;
pub use peer::DatacenterUse;
pub use peer::HostUse;
pub use peer::LAST_RATE_TIME;
pub use peer::ReportScope;
pub use view::QuotaShortage;
pub use view::QuotaView;
