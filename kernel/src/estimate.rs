//! Estimates of answer lengths and worker speeds, learned as quantiles.
