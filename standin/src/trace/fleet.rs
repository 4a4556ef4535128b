//! The engines in front of which a trace is run.

use std::time::Duration;

use super::TraceRequest;
use crate::model::EngineProfile;

/// The engines of one cell; every other one is slow.
pub const FLEET_WORKERS: usize = 20;

/// The share of all shared prefixes that the cache of one engine holds, as a divisor.
const CACHE_DIVISOR: usize = 4;

/// The batch at which engine time is estimated.
const REFERENCE_BATCH: f64 = 8.0;

/// Returns the profiles of the engines for prefixes of `prefix_blocks` blocks together.
///
/// # Examples
///
/// ```
/// use borageladder_standin::trace::FLEET_WORKERS;
/// use borageladder_standin::trace::fleet_profiles;
///
/// let profiles = fleet_profiles(400);
/// assert_eq!(profiles.len(), FLEET_WORKERS);
/// assert_eq!(profiles[0].cache_blocks, 100);
/// assert!(profiles[0].decode_gap < profiles[1].decode_gap);
/// ```
#[must_use]
pub fn fleet_profiles(prefix_blocks: usize) -> Vec<EngineProfile> {
    let cache_blocks = prefix_blocks / CACHE_DIVISOR;
    (0..FLEET_WORKERS)
        .map(|index| {
            let slow = index % 2 == 1;
            EngineProfile {
                prefill_tokens_per_second: if slow { 3_000.0 } else { 6_000.0 },
                decode_gap: Duration::from_millis(if slow { 36 } else { 20 }),
                batch_slowdown: 0.06,
                max_batch: 16,
                cache_blocks,
            }
        })
        .collect()
}

/// Returns the time for which a request keeps the whole fleet busy, in seconds, nothing cached.
pub(super) fn engine_share(request: &TraceRequest) -> f64 {
    let rate: f64 = fleet_profiles(0)
        .iter()
        .map(|profile| 1.0 / engine_time(profile, request))
        .sum();
    1.0 / rate
}

fn engine_time(profile: &EngineProfile, request: &TraceRequest) -> f64 {
    let prefill = f64::from(request.prompt_tokens) / profile.prefill_tokens_per_second;
    let stretch = profile.batch_slowdown.mul_add(REFERENCE_BATCH - 1.0, 1.0);
    let gap = profile.decode_gap.as_secs_f64() * stretch / REFERENCE_BATCH;
    gap.mul_add(f64::from(request.answer_tokens), prefill)
}
