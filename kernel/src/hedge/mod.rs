//! Hedged requests: when a second dispatch of a slow request is sent, and how many there may be.
//!
//! The first usable answer is relayed and the other dispatch is cancelled. A hedge is extra work, so
//! it is sent only for requests that take longer than most of their class, within a budget, and not
//! while the host sees signs of overload.

mod budget;
mod delay;

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;

use self::budget::HedgeBudget;
pub use self::delay::DELAY_WINDOW;
use self::delay::DelayTable;
pub use self::delay::MIN_SAMPLES;
pub use self::delay::RequestClass;
use crate::attempt::DispatchTally;
use crate::attempt::RepeatLimits;
use crate::attempt::RetryPermit;
use crate::attempt::WorkKind;
use crate::clock::ClockTime;
use crate::name::ServiceName;

/// The time for which a hedge waits for a slot before its ask is withdrawn.
pub const SLOT_WAIT: Duration = Duration::from_millis(50);

/// The share of a class's requests that are answered before one of them counts as slow, if the
/// settings don't say.
pub const DEFAULT_QUANTILE: f64 = 0.95;

/// The time after a refusal for lack of capacity in which the host sends no hedges.
const OVERLOAD_TIME: Duration = Duration::from_secs(1);

/// The bounds on the hedges of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeBounds {
    ratio: f64,
    quantile: f64,
}

/// The reason why bounds on hedges are invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum HedgeBoundsError {
    /// The ratio is not between 0 and 1.
    #[error("ratio must be from 0 to 1, but is {0}")]
    Ratio(f64),
    /// The quantile is not between 0 and 1, or is one of these.
    #[error("quantile must be above 0 and below 1, but is {0}")]
    Quantile(f64),
}

impl Default for HedgeBounds {
    /// Returns bounds that allow no hedges.
    fn default() -> Self {
        Self {
            ratio: 0.0,
            quantile: DEFAULT_QUANTILE,
        }
    }
}

impl HedgeBounds {
    /// Returns the bounds; `ratio` is the number of hedges for each request, `quantile` that of the
    /// times after which a hedge is sent.
    ///
    /// # Errors
    ///
    /// Returns an error if a number is out of range.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::hedge::HedgeBounds;
    ///
    /// assert!(HedgeBounds::new(0.02, 0.95).is_ok());
    /// assert!(HedgeBounds::new(0.02, 1.0).is_err());
    /// ```
    pub fn new(ratio: f64, quantile: f64) -> Result<Self, HedgeBoundsError> {
        if !(0.0..=1.0).contains(&ratio) {
            return Err(HedgeBoundsError::Ratio(ratio));
        }
        if !(quantile > 0.0 && quantile < 1.0) {
            return Err(HedgeBoundsError::Quantile(quantile));
        }
        Ok(Self { ratio, quantile })
    }

    /// Returns whether hedges may be sent at all.
    #[must_use]
    pub fn is_enabled(self) -> bool {
        self.ratio > 0.0
    }
}

/// The reason why a request is not hedged although its answer is late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HedgeRefusal {
    /// Requests were refused for lack of capacity a moment ago.
    Overload,
    /// The request may crash its worker.
    Suspect,
    /// The route allows no further run.
    Runs,
    /// The share of hedges in the requests to the service is used up.
    Budget,
    /// The retry budget of the service is used up.
    Retries,
    /// The broker granted no slot in time.
    NoSlot,
    /// The granted slot could not be used.
    SlotUnused,
}

impl HedgeRefusal {
    /// Returns the name in log lines and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Suspect => "suspect",
            Self::Runs => "runs",
            Self::Budget => "budget",
            Self::Retries => "retries",
            Self::NoSlot => "no-slot",
            Self::SlotUnused => "slot-unused",
        }
    }
}

/// A request whose answer is late.
#[derive(Clone, Copy, Debug)]
pub struct HedgeCandidate<'a> {
    /// The service of the request.
    pub service: &'a ServiceName,
    /// What the route allows of repeats.
    pub limits: RepeatLimits,
    /// The dispatches so far.
    pub dispatches: DispatchTally,
    /// Whether the request may crash its worker.
    pub is_suspect: bool,
}

/// Decides for one host which requests are hedged, and when.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::attempt::WorkKind;
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::hedge::HedgeBounds;
/// use borageladder_kernel::hedge::HedgePlanner;
/// use borageladder_kernel::hedge::MIN_SAMPLES;
/// use borageladder_kernel::hedge::RequestClass;
///
/// let mut planner = HedgePlanner::new(HedgeBounds::new(0.02, 0.95)?);
/// let class = RequestClass::new("letters.example", "/look/", 300);
/// assert_eq!(planner.delay(WorkKind::Safe, &class), None);
/// for _ in 0..MIN_SAMPLES {
///     planner.record_time(ClockTime::ZERO, &class, Duration::from_millis(40));
/// }
/// assert_eq!(planner.delay(WorkKind::Safe, &class), Some(Duration::from_millis(40)));
/// assert_eq!(planner.delay(WorkKind::Unsafe, &class), None);
/// # Ok::<(), borageladder_kernel::hedge::HedgeBoundsError>(())
/// ```
#[derive(Clone, Debug)]
pub struct HedgePlanner {
    bounds: HedgeBounds,
    delays: DelayTable,
    budgets: BTreeMap<ServiceName, HedgeBudget>,
    last_refusal: Option<ClockTime>,
}

impl HedgePlanner {
    /// Creates a planner without samples and with empty budgets.
    #[must_use]
    pub fn new(bounds: HedgeBounds) -> Self {
        Self {
            bounds,
            delays: DelayTable::default(),
            budgets: BTreeMap::new(),
            last_refusal: None,
        }
    }

    /// Returns whether requests of a kind may be hedged at all.
    #[must_use]
    pub fn may_hedge(&self, kind: WorkKind) -> bool {
        self.bounds.is_enabled() && kind.retryable().is_some()
    }

    /// Counts a request to a service, of which hedges may be a share.
    pub fn record_request(&mut self, service: &ServiceName) {
        if !self.bounds.is_enabled() {
            return;
        }
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.add(self.bounds.ratio);
        } else {
            let mut budget = HedgeBudget::default();
            budget.add(self.bounds.ratio);
            self.budgets.insert(service.clone(), budget);
        }
    }

    /// Records the time from a first dispatch to the first event or the answer, or until the dispatch
    /// was cancelled since its hedge was faster.
    pub fn record_time(&mut self, now: ClockTime, class: &RequestClass, time: Duration) {
        self.delays.record(now, class, time);
    }

    /// Records that a request was refused for lack of capacity.
    pub const fn record_refusal(&mut self, now: ClockTime) {
        self.last_refusal = Some(now);
    }

    /// Returns the time from the dispatch of a request after which a hedge is sent; `None` if its kind
    /// is never hedged or too few times of its class are known.
    #[must_use]
    pub fn delay(&self, kind: WorkKind, class: &RequestClass) -> Option<Duration> {
        if !self.may_hedge(kind) {
            return None;
        }
        self.delays.quantile(class, self.bounds.quantile)
    }

    /// Permits a request whose answer is late to ask for a second slot. Nothing is taken from the
    /// budgets yet.
    ///
    /// # Errors
    ///
    /// Returns the reason if no hedge may be sent.
    pub fn permit(
        &self,
        now: ClockTime,
        candidate: &HedgeCandidate<'_>,
    ) -> Result<RetryPermit, HedgeRefusal> {
        if candidate.is_suspect {
            return Err(HedgeRefusal::Suspect);
        }
        let permit = candidate.dispatches.permit_retry(candidate.limits);
        let permit = permit.ok_or(HedgeRefusal::Runs)?;
        let is_recent = |refused: ClockTime| now.since(refused) < OVERLOAD_TIME;
        if self.last_refusal.is_some_and(is_recent) {
            return Err(HedgeRefusal::Overload);
        }
        let budget = self.budgets.get(candidate.service);
        if !budget.is_some_and(|budget| budget.has_unit()) {
            return Err(HedgeRefusal::Budget);
        }
        Ok(permit)
    }

    /// Takes a hedge from the budget of a service once a slot is granted; `take_retry` takes a retry
    /// from that of the host.
    ///
    /// # Errors
    ///
    /// Returns the reason if the hedge may not be sent; nothing is taken then.
    pub fn take(
        &mut self,
        now: ClockTime,
        candidate: &HedgeCandidate<'_>,
        take_retry: impl FnOnce() -> bool,
    ) -> Result<(), HedgeRefusal> {
        self.permit(now, candidate)?;
        let budget = self.budgets.get_mut(candidate.service);
        let budget = budget.ok_or(HedgeRefusal::Budget)?;
        if !take_retry() {
            return Err(HedgeRefusal::Retries);
        }
        budget.take();
        Ok(())
    }
}
