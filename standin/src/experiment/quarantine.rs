//! The strikes of requests that crash workers, as entries share them.

/// The crashes after which a request is refused.
const MAX_STRIKES: u32 = 2;

/// The strikes of the one request that crashes workers in an experiment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StrikeCount(u32);

impl StrikeCount {
    pub(super) const fn add(&mut self) {
        self.0 += 1;
    }

    /// Returns whether the request must run alone.
    pub(super) const fn suspects(self) -> bool {
        self.0 > 0
    }

    /// Returns whether the request must not run again.
    pub(super) const fn refuses(self) -> bool {
        self.0 >= MAX_STRIKES
    }
}
