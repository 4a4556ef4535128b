//! The faults that an experiment causes.

use std::fmt;
use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use serde::Serialize;
use thiserror::Error;

use super::event::ExperimentEvent;
use crate::trace::BurstWindow;

/// The factor on the arrivals in a burst.
const BURST_FACTOR: f64 = 4.0;

/// The length of a burst.
const BURST_LENGTH: Duration = Duration::from_secs(10);

/// The workers that become stragglers or die: one of each speed.
const FAULTY_WORKERS: [usize; 2] = [4, 7];

/// The factor on the step times of a straggler.
const STRAGGLER_SLOWDOWN: f64 = 4.0;

/// The lag of load reports and cache events while reports are late.
const LATE_LAG: Duration = Duration::from_secs(10);

/// The lag of load reports.
const LOAD_LAG: Duration = Duration::from_secs(2);

/// The lag of cache events.
const CACHE_LAG: Duration = Duration::from_secs(1);

/// The share of cache batches that are lost.
const CACHE_LOSS: f64 = 0.02;

/// The share of cache batches that are lost while there are gaps.
const GAP_LOSS: f64 = 0.3;

/// A fault, or none.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nothing fails.
    Calm,
    /// Four times the arrivals for ten seconds.
    Burst,
    /// Two workers run at a quarter of their speed for half of the time.
    Straggler,
    /// Two workers die and come back later with empty caches.
    WorkerDeath,
    /// Load reports and cache events are ten seconds late.
    LateReports,
    /// Three in ten batches of cache events are lost.
    CacheGaps,
    /// A request crashes each worker that runs it, and its caller sends it again.
    CrashingRequest,
    /// The broker dies, and another takes over the cell.
    BrokerDeath,
    /// An entry dies with its requests.
    HostDeath,
}

/// The text names no fault.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{name:?} is not a fault; the faults are {}", FaultKind::names())]
pub struct FaultError {
    /// The rejected text.
    pub name: String,
}

impl FaultKind {
    /// All faults, the calm case first.
    pub const ALL: [Self; 9] = [
        Self::Calm,
        Self::Burst,
        Self::Straggler,
        Self::WorkerDeath,
        Self::LateReports,
        Self::CacheGaps,
        Self::CrashingRequest,
        Self::BrokerDeath,
        Self::HostDeath,
    ];

    /// Returns the name, as it stands in tables and arguments.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_standin::experiment::FaultKind;
    ///
    /// assert_eq!(FaultKind::try_from("straggler"), Ok(FaultKind::Straggler));
    /// assert_eq!(FaultKind::Straggler.name(), "straggler");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Burst => "burst",
            Self::Straggler => "straggler",
            Self::WorkerDeath => "worker-death",
            Self::LateReports => "late-reports",
            Self::CacheGaps => "cache-gaps",
            Self::CrashingRequest => "crashing-request",
            Self::BrokerDeath => "broker-death",
            Self::HostDeath => "host-death",
        }
    }

    fn names() -> String {
        Self::ALL.map(Self::name).join(", ")
    }

    /// Returns the lag of load reports.
    pub(super) const fn load_lag(self) -> Duration {
        match self {
            Self::LateReports => LATE_LAG,
            _ => LOAD_LAG,
        }
    }

    /// Returns the lag of cache events.
    pub(super) const fn cache_lag(self) -> Duration {
        match self {
            Self::LateReports => LATE_LAG,
            _ => CACHE_LAG,
        }
    }

    /// Returns the share of cache batches that are lost.
    pub(super) const fn cache_loss(self) -> f64 {
        match self {
            Self::CacheGaps => GAP_LOSS,
            _ => CACHE_LOSS,
        }
    }

    /// Returns the burst that the trace gets.
    pub(super) fn burst(self, length: Duration) -> Option<BurstWindow> {
        let start = at_share(length, 0.5);
        (self == Self::Burst).then_some(BurstWindow {
            start,
            end: start + BURST_LENGTH,
            factor: BURST_FACTOR,
        })
    }

    /// Returns the events that cause the fault, with their times.
    pub(super) fn events(self, length: Duration) -> Vec<FaultEvent> {
        let at = |share, event| FaultEvent {
            at: at_share(length, share),
            event,
        };
        let each = |share, event: fn(usize) -> ExperimentEvent| {
            FAULTY_WORKERS.map(|worker| at(share, event(worker)))
        };
        match self {
            Self::Calm | Self::Burst | Self::LateReports | Self::CacheGaps => Vec::new(),
            Self::Straggler => {
                let slow = |worker| ExperimentEvent::WorkerSlowed {
                    worker,
                    factor: STRAGGLER_SLOWDOWN,
                };
                let heal = |worker| ExperimentEvent::WorkerSlowed {
                    worker,
                    factor: 1.0,
                };
                [each(0.25, slow), each(0.75, heal)].concat()
            }
            Self::WorkerDeath => {
                let died = each(0.4, ExperimentEvent::WorkerDied);
                let back = each(0.7, ExperimentEvent::WorkerRevived);
                [died, back].concat()
            }
            Self::CrashingRequest => vec![at(0.3, ExperimentEvent::PoisonSent { attempt: 0 })],
            Self::BrokerDeath => vec![at(0.5, ExperimentEvent::BrokerDied)],
            Self::HostDeath => vec![at(0.5, ExperimentEvent::HostDied(2))],
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl TryFrom<&str> for FaultKind {
    type Error = FaultError;

    fn try_from(name: &str) -> Result<Self, FaultError> {
        Self::ALL
            .into_iter()
            .find(|fault| fault.name() == name)
            .ok_or_else(|| FaultError {
                name: name.to_owned(),
            })
    }
}

/// An event of a fault and its time.
#[derive(Clone, Debug)]
pub(super) struct FaultEvent {
    pub(super) at: ClockTime,
    pub(super) event: ExperimentEvent,
}

fn at_share(length: Duration, share: f64) -> ClockTime {
    ClockTime::ZERO + length.mul_f64(share)
}
