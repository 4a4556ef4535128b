//! The faults that an experiment injects.

use std::fmt;
use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use serde::Serialize;
use thiserror::Error;

use super::event::ExperimentEvent;
use crate::trace::BurstWindow;

/// Multiplier of the arrival rate during a burst.
const BURST_FACTOR: f64 = 4.0;

/// Duration of a burst.
const BURST_LENGTH: Duration = Duration::from_secs(10);

/// Indices of the workers that become stragglers or fail: one fast and one slow worker.
const FAULTY_WORKERS: [usize; 2] = [4, 7];

/// Multiplier of the step times of a straggler.
const STRAGGLER_SLOWDOWN: f64 = 4.0;

/// Delay of load reports and cache events under [`FaultKind::LateReports`].
const LATE_REPORT_LAG: Duration = Duration::from_secs(10);

/// Delay of load reports without a fault.
const LOAD_LAG: Duration = Duration::from_secs(2);

/// Delay of cache events without a fault.
const CACHE_LAG: Duration = Duration::from_secs(1);

/// Probability that a batch of cache events is lost without a fault.
const CACHE_LOSS: f64 = 0.02;

/// Probability that a batch of cache events is lost under [`FaultKind::CacheGaps`].
const GAP_LOSS: f64 = 0.3;

/// The fault that an experiment injects, if any.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// No fault.
    Calm,
    /// The arrival rate is four times as high for 10 s.
    Burst,
    /// Two workers run at a quarter of their speed for half of the trace.
    Straggler,
    /// Two workers fail and restart later with empty caches.
    WorkerDeath,
    /// Load reports and cache events are delayed by 10 s.
    LateReports,
    /// 30 % of the batches of cache events are lost.
    CacheGaps,
    /// A request crashes each worker that runs it, and its caller resends it.
    CrashingRequest,
    /// The broker fails, and another broker takes over the cell.
    BrokerDeath,
    /// A host fails, and the requests of its entry are lost.
    HostDeath,
}

/// Error for a text that is not the name of a fault.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{name:?} is not a fault; the faults are {}", FaultKind::names())]
pub struct FaultError {
    /// Rejected text.
    pub name: String,
}

impl FaultKind {
    /// All faults, starting with [`FaultKind::Calm`].
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

    /// Returns the name used in tables and command-line arguments.
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

    /// Returns the delay of load reports.
    pub(super) const fn load_lag(self) -> Duration {
        match self {
            Self::LateReports => LATE_REPORT_LAG,
            _ => LOAD_LAG,
        }
    }

    /// Returns the delay of cache events.
    pub(super) const fn cache_lag(self) -> Duration {
        match self {
            Self::LateReports => LATE_REPORT_LAG,
            _ => CACHE_LAG,
        }
    }

    /// Returns the probability that a batch of cache events is lost.
    pub(super) const fn cache_loss(self) -> f64 {
        match self {
            Self::CacheGaps => GAP_LOSS,
            _ => CACHE_LOSS,
        }
    }

    /// Returns the additional burst of the trace, or `None` for every other fault.
    pub(super) fn burst(self, length: Duration) -> Option<BurstWindow> {
        let start = at_fraction(length, 0.5);
        (self == Self::Burst).then_some(BurstWindow {
            start,
            end: start + BURST_LENGTH,
            factor: BURST_FACTOR,
        })
    }

    /// Returns the scheduled events that inject the fault into a trace of the given length.
    pub(super) fn events(self, length: Duration) -> Vec<FaultEvent> {
        let at = |share, event| FaultEvent {
            at: at_fraction(length, share),
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
                let recover = |worker| ExperimentEvent::WorkerSlowed {
                    worker,
                    factor: 1.0,
                };
                [each(0.25, slow), each(0.75, recover)].concat()
            }
            Self::WorkerDeath => {
                let died = each(0.4, ExperimentEvent::WorkerDied);
                let restarted = each(0.7, ExperimentEvent::WorkerRestarted);
                [died, restarted].concat()
            }
            Self::CrashingRequest => {
                vec![at(0.3, ExperimentEvent::CrashingRequestSent { attempt: 0 })]
            }
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

/// An event that injects a fault, and its time.
#[derive(Clone, Debug)]
pub(super) struct FaultEvent {
    pub(super) at: ClockTime,
    pub(super) event: ExperimentEvent,
}

/// Returns the time at which the given fraction of the trace has passed.
fn at_fraction(length: Duration, share: f64) -> ClockTime {
    ClockTime::ZERO + length.mul_f64(share)
}
