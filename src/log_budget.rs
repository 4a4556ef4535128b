//! Rate limit on log lines: lines that give the reason of a failure are dropped last.

use std::collections::BTreeMap;
use std::fmt;
use std::mem;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use slog::Drain;
use slog::KV;
use slog::Key;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;
use slog::Serializer;

use crate::event::LogEvent;

/// The sustained log rate of a host, in lines per second. It is five times the rate of lines that a
/// host writes for its share of the request rate for which the deployment is designed.
pub const LINES_PER_SECOND: f64 = 400.0;

/// The number of lines that a host may write at once in excess of the sustained rate.
pub const BURST_LINES: f64 = 2_000.0;

/// The fraction of the burst that is reserved for lines that give the reason of a failure.
const FAILURE_RESERVE: f64 = 0.5;

/// A token bucket in which each log line costs one token.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder::event::LogEvent;
/// use borageladder::log_budget::BURST_LINES;
/// use borageladder::log_budget::LineBudget;
///
/// let mut budget = LineBudget::default();
/// let admitted = (0..5_000).filter(|_| budget.admits(Duration::ZERO, LogEvent::RequestSent));
/// assert!(admitted.count() as f64 <= BURST_LINES);
/// assert!(budget.admits(Duration::ZERO, LogEvent::WorkerFailed));
/// assert!(budget.take_dropped()[&LogEvent::RequestSent] > 0);
/// ```
#[derive(Clone, Debug)]
pub struct LineBudget {
    tokens: f64,
    refilled_at: Duration,
    dropped: BTreeMap<LogEvent, u64>,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self {
            tokens: BURST_LINES,
            refilled_at: Duration::ZERO,
            dropped: BTreeMap::new(),
        }
    }
}

impl LineBudget {
    /// Returns whether a line may be written, and takes its token or counts it as dropped.
    ///
    /// `now` is the time since the start of the budget.
    pub fn admits(&mut self, now: Duration, event: LogEvent) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = LINES_PER_SECOND
            .mul_add(elapsed, self.tokens)
            .min(BURST_LINES);
        let reserve = if event.explains_failure() {
            0.0
        } else {
            BURST_LINES * FAILURE_RESERVE
        };
        if self.tokens - 1.0 < reserve {
            *self.dropped.entry(event).or_default() += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the numbers of dropped lines by event and resets them.
    pub fn take_dropped(&mut self) -> BTreeMap<LogEvent, u64> {
        mem::take(&mut self.dropped)
    }
}

/// The line budget of a process, shared with its logger.
#[derive(Clone, Debug, Default)]
pub struct SharedBudget(Arc<Mutex<LineBudget>>);

impl SharedBudget {
    /// Returns the numbers of dropped lines by event and resets them.
    #[must_use]
    pub fn take_dropped(&self) -> BTreeMap<LogEvent, u64> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take_dropped()
    }

    fn admits(&self, now: Duration, event: LogEvent) -> bool {
        let mut budget = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        budget.admits(now, event)
    }
}

/// A drain that drops the lines that the budget does not admit. Lines without an event are always
/// written.
#[derive(Debug)]
pub(crate) struct RateLimitedDrain<D> {
    inner: D,
    budget: SharedBudget,
    started: Instant,
}

impl<D> RateLimitedDrain<D> {
    pub(crate) fn new(inner: D, budget: SharedBudget) -> Self {
        Self {
            inner,
            budget,
            started: Instant::now(),
        }
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drain for RateLimitedDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let admitted =
            event_of(record).is_none_or(|event| self.budget.admits(self.started.elapsed(), event));
        if admitted {
            self.inner.log(record, values)?;
        }
        Ok(())
    }
}

fn event_of(record: &Record<'_>) -> Option<LogEvent> {
    let mut number = EventNumber(None);
    // The serializer below never fails.
    let _ = record.kv().serialize(record, &mut number);
    LogEvent::from_number(number.0?)
}

/// Extracts the event number from the values of a record.
struct EventNumber(Option<u16>);

impl Serializer for EventNumber {
    fn emit_arguments(&mut self, _: Key, _: &fmt::Arguments<'_>) -> slog::Result {
        Ok(())
    }

    fn emit_u16(&mut self, key: Key, val: u16) -> slog::Result {
        if key == "event" {
            self.0 = Some(val);
        }
        Ok(())
    }
}
