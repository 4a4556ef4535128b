//! The rate of requests that a worker takes, and the pace that keeps to it.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::clock::ClockTime;
use crate::name::WorkerName;

/// The lowest rate at which requests are sent: an answer now and then shows whether a limit still
/// holds.
const MIN_RATE: RequestRate = RequestRate(200);

/// The number of requests that may be sent at once after a pause.
const BURST: u32 = 2;

/// Thousandths in one request a second.
const MILLI: f64 = 1_000.0;

/// Microseconds between two requests at a rate of a thousandth of a request a second.
const MICROS_AT_ONE_MILLI: u64 = 1_000_000_000;

/// A number of requests a second, in thousandths.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::pace::RequestRate;
///
/// let rate: RequestRate = "2.5".parse()?;
/// assert_eq!(rate.to_string(), "2.500");
/// assert!("-1".parse::<RequestRate>().is_err());
/// assert!("1e309".parse::<RequestRate>().is_err());
/// # Ok::<(), borageladder_kernel::pace::RateError>(())
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate(pub u32);

/// A text that is not a rate.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the rate is not a decimal number from 0 to 4 million")]
pub struct RateError;

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self, RateError> {
        let millis = (per_second * MILLI).round();
        // A comparison with a value that is no number is false.
        if !(0.0..=f64::from(u32::MAX)).contains(&millis) {
            return Err(RateError);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range was checked"
        )]
        let millis = millis as u32;
        Ok(Self(millis))
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let per_second: f64 = text.trim().parse().map_err(|_not_a_number| RateError)?;
        Self::try_from(per_second)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

impl RequestRate {
    /// Returns the time between two requests at this rate, or at [`MIN_RATE`] if that is higher.
    fn interval(self) -> Duration {
        let rate = self.max(MIN_RATE);
        Duration::from_micros(MICROS_AT_ONE_MILLI / u64::from(rate.0))
    }

    /// Returns how many requests at once a worker has at this rate if each takes the time, rounded
    /// up.
    #[must_use]
    pub fn concurrency(self, time: Duration) -> u32 {
        let intervals = time
            .as_micros()
            .div_ceil(self.interval().as_micros().max(1));
        u32::try_from(intervals).unwrap_or(u32::MAX)
    }
}

/// The rate that a worker named, as a host remembers it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NamedRate {
    /// The worker.
    pub worker: WorkerName,
    /// The rate.
    pub rate: RequestRate,
    /// The time since the answer that named it.
    pub age: Duration,
}

/// Spaces the requests to one worker by the rate that it named.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::pace::RequestPace;
/// use borageladder_kernel::pace::RequestRate;
///
/// let now = ClockTime::ZERO;
/// let mut pace = RequestPace::new(RequestRate(2_000), now);
/// assert_eq!(pace.wait(now), Duration::ZERO);
/// pace.sent(now);
/// pace.sent(now);
/// assert_eq!(pace.wait(now), Duration::from_millis(500));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RequestPace {
    rate: RequestRate,
    /// The time of the latest answer that named a rate.
    named_at: ClockTime,
    /// The time by which the requests sent so far are due at the rate.
    due_at: ClockTime,
}

impl RequestPace {
    /// Creates the pace of a worker that named a rate.
    #[must_use]
    pub const fn new(rate: RequestRate, named_at: ClockTime) -> Self {
        Self {
            rate,
            named_at,
            due_at: named_at,
        }
    }

    /// Returns the rate that was named last.
    #[must_use]
    pub const fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Returns the time of the latest answer that named a rate.
    #[must_use]
    pub const fn named_at(&self) -> ClockTime {
        self.named_at
    }

    /// Records a rate that the worker named at `named_at`; an older one is ignored.
    pub fn name(&mut self, rate: RequestRate, named_at: ClockTime) {
        if named_at < self.named_at {
            return;
        }
        let sent_ahead = self.due_at.since(named_at);
        let scale = rate.interval().div_duration_f64(self.rate.interval());
        self.due_at = named_at + sent_ahead.mul_f64(scale);
        self.rate = rate;
        self.named_at = named_at;
    }

    /// Records a request to the worker, whichever broker granted it.
    pub fn sent(&mut self, now: ClockTime) {
        self.due_at = self.due_at.max(now) + self.rate.interval();
    }

    /// Returns the time until a further request may be sent; zero if one may be sent now.
    #[must_use]
    pub fn wait(&self, now: ClockTime) -> Duration {
        let tolerance = self.rate.interval() * (BURST - 1);
        self.due_at.since(now + tolerance)
    }

    /// Returns the time until a request may be sent that has others before it.
    #[must_use]
    pub fn wait_behind(&self, now: ClockTime, ahead: u32) -> Duration {
        self.wait(now) + self.rate.interval().saturating_mul(ahead)
    }
}

/// What the head of an answer says about the rate of requests that its worker takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RateStatement {
    /// Nothing: the worker takes requests at any rate.
    #[default]
    Unlimited,
    /// A limit that can't be read, so that the one named before holds.
    Unreadable,
    /// The worker takes this many from all hosts together.
    Limited(RequestRate),
}
