//! Arrival times with exponential inter-arrival times and periodic bursts.

use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use rand::Rng;
use rand::RngExt;
use rand_distr::Exp1;

/// Interval between the starts of two periodic bursts.
const BURST_CYCLE: Duration = Duration::from_secs(40);

/// Duration of a periodic burst.
const BURST_LENGTH: Duration = Duration::from_secs(4);

/// Arrival rate during a periodic burst, as a multiple of the mean rate.
const BURST_FACTOR: f64 = 3.0;

/// A single time window with a changed arrival rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurstWindow {
    /// Start of the window (inclusive).
    pub start: ClockTime,
    /// End of the window (exclusive).
    pub end: ClockTime,
    /// Multiplier of the arrival rate within the window.
    pub factor: f64,
}

/// Generates arrival times in ascending order.
///
/// The phase of the periodic bursts is random.
pub(super) struct ArrivalClock {
    rate: f64,
    phase: Duration,
    burst: Option<BurstWindow>,
    now: ClockTime,
}

impl ArrivalClock {
    /// Creates a clock with a mean rate in arrivals per second.
    pub(super) fn new(rate: f64, burst: Option<BurstWindow>, random: &mut impl Rng) -> Self {
        Self {
            rate,
            phase: BURST_CYCLE.mul_f64(random.random::<f64>()),
            burst,
            now: ClockTime::ZERO,
        }
    }

    pub(super) fn next(&mut self, random: &mut impl Rng) -> ClockTime {
        let wait: f64 = random.sample(Exp1);
        let rate = self.rate * self.cycle_factor() * self.window_factor();
        self.now = self.now + Duration::from_secs_f64(wait / rate);
        self.now
    }

    /// Returns the rate factor of the periodic bursts.
    ///
    /// The rate between bursts is lowered so that the mean over a cycle is 1.
    fn cycle_factor(&self) -> f64 {
        let cycle = BURST_CYCLE.as_secs_f64();
        let burst = BURST_LENGTH.as_secs_f64();
        let position = (self.now + self.phase).since(ClockTime::ZERO).as_secs_f64() % cycle;
        if position < burst {
            BURST_FACTOR
        } else {
            (cycle - burst * BURST_FACTOR) / (cycle - burst)
        }
    }

    fn window_factor(&self) -> f64 {
        self.burst
            .filter(|window| (window.start..window.end).contains(&self.now))
            .map_or(1.0, |window| window.factor)
    }
}
