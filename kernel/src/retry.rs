//! Retry budgets, which bound how often requests are sent to workers again.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::ClockTime;

/// The divisor by which the budget is reduced. The margin covers sliding windows and changes in the
/// number of hosts.
const MARGIN_DIVISOR: f64 = 2.0;

/// The number of slices in which a window is counted.
const SLICES_PER_WINDOW: u32 = 10;

/// The bounds of a retry budget over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// The retries allowed per request, as a fraction.
    pub ratio: f64,
    /// The retries allowed in a window in addition to the ratio, in all hosts together.
    pub headroom: f64,
    /// The length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct TrafficSlice {
    begin: ClockTime,
    requests: u32,
    retries: u32,
}

/// One host's part of a service's retry budget.
///
/// Each host counts its own requests; the headroom is divided evenly among the hosts. A host uses
/// half of the retries that result, and the other half is a margin.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::retry::RetryBounds;
/// use borageladder_kernel::retry::RetryBudget;
///
/// let bounds = RetryBounds { ratio: 0.2, headroom: 16.0, window: Duration::from_secs(10) };
/// let mut budget = RetryBudget::new(bounds);
/// assert!(budget.take(ClockTime::ZERO, 4));
/// assert!(budget.take(ClockTime::ZERO, 4));
/// assert!(!budget.take(ClockTime::ZERO, 4));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    slices: VecDeque<TrafficSlice>,
}

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub const fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request for the service, to which the ratio applies.
    pub fn record_request(&mut self, now: ClockTime) {
        self.slice(now).requests += 1;
    }

    /// Takes one retry from the budget of this host, one of `hosts`; returns false if it is used
    /// up.
    pub fn take(&mut self, now: ClockTime, hosts: usize) -> bool {
        // Drops the slices that have left the window.
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let headroom = self.bounds.headroom / f64::from(hosts);
        let limit = (f64::from(requests) * self.bounds.ratio + headroom) / MARGIN_DIVISOR;
        if f64::from(retries) + 1.0 > limit {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

    /// Returns the current slice, beginning a new one if needed, and drops those that have left the
    /// window.
    fn slice(&mut self, now: ClockTime) -> &mut TrafficSlice {
        let window = self.bounds.window;
        while let Some(first) = self.slices.front() {
            if now.since(first.begin) < window {
                break;
            }
            self.slices.pop_front();
        }
        let recent = self
            .slices
            .back()
            .is_some_and(|last| now.since(last.begin) < window / SLICES_PER_WINDOW);
        if !recent {
            self.slices.push_back(TrafficSlice {
                begin: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
