//! The times that requests of a class take, and the time after which one of them counts as slow.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::ClockTime;

/// The number of times of a class below which none of its requests is hedged.
pub const MIN_SAMPLES: usize = 20;

/// The number of latest times that are kept for each class.
pub const DELAY_WINDOW: usize = 128;

/// The maximum number of classes; beyond it, the one without a time for longest is forgotten. With
/// [`DELAY_WINDOW`] times of 16 bytes each, they take at most 1 MB of a host's memory.
const MAX_CLASSES: usize = 512;

/// Requests that are expected to take similar times: those of one route whose prompts have similar
/// lengths.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestClass {
    hostname: String,
    prefix: String,
    /// The number of bits of the length of the prompt, in tokens.
    size: u32,
}

impl RequestClass {
    /// Returns the class of a request by the host name and prefix of its route and the tokens of its
    /// prompt, zero if they are not known.
    #[must_use]
    pub fn new(hostname: &str, prefix: &str, prompt_tokens: u32) -> Self {
        Self {
            hostname: hostname.to_owned(),
            prefix: prefix.to_owned(),
            size: u32::BITS - prompt_tokens.leading_zeros(),
        }
    }
}

/// The latest times of one class.
#[derive(Clone, Debug)]
struct TimeWindow {
    times: VecDeque<Duration>,
    recorded_at: ClockTime,
}

/// The latest times of all classes.
#[derive(Clone, Debug, Default)]
pub(super) struct DelayTable {
    classes: BTreeMap<RequestClass, TimeWindow>,
}

impl DelayTable {
    pub(super) fn record(&mut self, now: ClockTime, class: &RequestClass, time: Duration) {
        if let Some(window) = self.classes.get_mut(class) {
            if window.times.len() == DELAY_WINDOW {
                window.times.pop_front();
            }
            window.times.push_back(time);
            window.recorded_at = now;
            return;
        }
        if self.classes.len() == MAX_CLASSES {
            self.forget_oldest();
        }
        let window = TimeWindow {
            times: VecDeque::from([time]),
            recorded_at: now,
        };
        self.classes.insert(class.clone(), window);
    }

    /// Returns the shortest time that at least the share `quantile` of the times does not exceed;
    /// `None` below [`MIN_SAMPLES`].
    pub(super) fn quantile(&self, class: &RequestClass, quantile: f64) -> Option<Duration> {
        let window = self.classes.get(class)?;
        if window.times.len() < MIN_SAMPLES {
            return None;
        }
        let mut times: Vec<Duration> = window.times.iter().copied().collect();
        times.sort_unstable();
        let count = u32::try_from(times.len()).unwrap_or(u32::MAX);
        let needed = quantile * f64::from(count);
        let mut ranked = (1..=count).zip(times);
        let found = ranked.find(|(rank, _)| f64::from(*rank) >= needed);
        found.map(|(_, time)| time)
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .classes
            .iter()
            .min_by_key(|(_, window)| window.recorded_at);
        if let Some(class) = oldest.map(|(class, _)| class.clone()) {
            self.classes.remove(&class);
        }
    }
}
