//! The budget for sending requests to workers once more.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::ClockTime;

/// The part of the budget that hosts use, as a divisor of it: windows slide, and hosts come and go.
const USED_DIVISOR: f64 = 2.0;

/// The slices into which a window is divided.
const SLICES: u32 = 10;

/// The bounds of a retry budget over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// The retries allowed for each request.
    pub ratio: f64,
    /// The retries allowed in a window beside the ratio.
    pub headroom: f64,
    /// The length of a window.
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
/// Each host counts its own requests; the headroom is divided evenly among the hosts.
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
    /// Creates a budget that nothing was taken from.
    #[must_use]
    pub const fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request for the service.
    pub fn request(&mut self, now: ClockTime) {
        self.slice(now).requests += 1;
    }

    /// Takes one retry for a host among `hosts`; returns false if the host's part is used up.
    pub fn take(&mut self, now: ClockTime, hosts: usize) -> bool {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let headroom = self.bounds.headroom / f64::from(hosts);
        let most = (f64::from(requests) * self.bounds.ratio + headroom) / USED_DIVISOR;
        if f64::from(retries) + 1.0 > most {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

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
            .is_some_and(|last| now.since(last.begin) < window / SLICES);
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
