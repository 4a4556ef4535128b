//! The engine fleet that serves a trace, and estimates of the engine time of its requests.

use std::time::Duration;

use super::TraceRequest;
use crate::model::EngineProfile;

/// Number of engines in one cell; every second engine is slow.
pub const FLEET_WORKERS: usize = 20;

/// Ratio of the size of all shared prefixes to the cache size of one engine.
const PREFIX_CACHE_RATIO: usize = 4;

/// Batch size assumed in estimates of engine time, in requests.
const REFERENCE_BATCH: f64 = 8.0;

/// Returns the profiles of the engines for a trace whose shared prefixes have `prefix_blocks`
/// blocks in total.
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
    let cache_blocks = prefix_blocks / PREFIX_CACHE_RATIO;
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

/// Returns the time that a request adds to the busy time of the whole fleet, in seconds, with cold
/// caches: the inverse of the rate at which all engines together complete such requests.
pub(super) fn fleet_seconds(request: &TraceRequest) -> f64 {
    let rate: f64 = fleet_profiles(0)
        .iter()
        .map(|profile| 1.0 / engine_seconds(profile, request))
        .sum();
    1.0 / rate
}

/// Returns the time for which a request occupies one engine, in seconds, with a cold cache.
fn engine_seconds(profile: &EngineProfile, request: &TraceRequest) -> f64 {
    let prefill = f64::from(request.prompt_tokens) / profile.prefill_tokens_per_second;
    let stretch = profile.batch_slowdown.mul_add(REFERENCE_BATCH - 1.0, 1.0);
    let gap = profile.decode_gap.as_secs_f64() * stretch / REFERENCE_BATCH;
    gap.mul_add(f64::from(request.answer_tokens), prefill)
}
