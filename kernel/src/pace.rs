//! The rate of requests that a worker takes.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Thousandths in one request a second.
const MILLI: f64 = 1_000.0;

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
