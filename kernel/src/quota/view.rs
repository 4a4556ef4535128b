//! What a host knows of a quota, for operators and for callers that are refused.

use std::time::Duration;

use super::QuotaBounds;

/// What a host knows of the use of a workspace's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView {
    /// The bounds in force.
    pub bounds: QuotaBounds,
    /// The units available; negative if more were charged than the bounds allow.
    pub level: f64,
    /// The units that other hosts are expected to have charged without a report, beyond what the
    /// tolerance covers.
    pub reserve: f64,
    /// The recent use by this host, in units per second.
    pub own_use: f64,
    /// The recent use by the other hosts, in units per second.
    pub peer_use: f64,
    /// The units assumed for hosts from which nothing is received.
    pub assumed: f64,
}

/// The refusal of a request for which a quota does not suffice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaShortage {
    /// The time until the bucket is expected to hold enough units, or [`LAST_RATE_TIME`](super::LAST_RATE_TIME) if that
    /// time can't be represented.
    pub wait: Duration,
    /// The units of the request.
    pub units: u64,
    /// What the host knows of the quota's use.
    pub view: QuotaView,
}
