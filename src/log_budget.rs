//! The bound on log lines: when there are too many, those that explain a failure go last.

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

/// The lines that a host writes in a second for any length of time: five times those of its share of
/// the requests that the deployment is built towards.
pub const LINES_PER_SECOND: f64 = 400.0;

/// The lines that a host may write beside the rate at any time.
pub const BURST_LINES: f64 = 2_000.0;

/// The part of the burst that is kept for lines that explain a failure.
const FAILURE_SHARE: f64 = 0.5;

/// A bucket of lines.
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
    level: f64,
    filled: Duration,
    dropped: BTreeMap<LogEvent, u64>,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self {
            level: BURST_LINES,
            filled: Duration::ZERO,
            dropped: BTreeMap::new(),
        }
    }
}

impl LineBudget {
    /// Takes a line at a time since the start; returns false if it is to be left out.
    pub fn admits(&mut self, now: Duration, event: LogEvent) -> bool {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.level = LINES_PER_SECOND
            .mul_add(elapsed, self.level)
            .min(BURST_LINES);
        let kept = if event.explains_failure() {
            0.0
        } else {
            BURST_LINES * FAILURE_SHARE
        };
        if self.level - 1.0 < kept {
            *self.dropped.entry(event).or_default() += 1;
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Takes the numbers of lines that were left out, by event.
    pub fn take_dropped(&mut self) -> BTreeMap<LogEvent, u64> {
        mem::take(&mut self.dropped)
    }
}

/// The budget of a process, which the logger takes lines from.
#[derive(Clone, Debug, Default)]
pub struct SharedBudget(Arc<Mutex<LineBudget>>);

impl SharedBudget {
    /// Takes the numbers of lines that were left out, by event.
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

/// A drain that leaves out what the budget does not admit.
#[derive(Debug)]
pub(crate) struct BoundedDrain<D> {
    inner: D,
    budget: SharedBudget,
    started: Instant,
}

impl<D> BoundedDrain<D> {
    pub(crate) fn new(inner: D, budget: SharedBudget) -> Self {
        Self {
            inner,
            budget,
            started: Instant::now(),
        }
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drain for BoundedDrain<D> {
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
    LogEvent::of_number(number.0?)
}

/// Picks the number of the event out of the values of a line.
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
