//! A load tool that measures goodput by tier.
