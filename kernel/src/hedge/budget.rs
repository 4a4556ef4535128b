//! The share of hedges in the requests to a service.

/// The most hedges that a host may send at once after a time without any.
const BURST: f64 = 2.0;

/// The tolerance for sums of ratios that are not exact in binary, such as ten times 0.1.
const ROUNDING: f64 = 1e-9;

/// One host's budget of hedges to a service: a token bucket that requests fill.
///
/// It starts empty, so that hedges stay within their share however often hosts start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HedgeBudget {
    units: f64,
}

impl HedgeBudget {
    pub(super) fn add(&mut self, ratio: f64) {
        self.units = (self.units + ratio).min(BURST);
    }

    pub(super) fn has_unit(self) -> bool {
        self.units + ROUNDING >= 1.0
    }

    pub(super) fn take(&mut self) {
        self.units = (self.units - 1.0).max(0.0);
    }
}
