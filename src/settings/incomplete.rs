//! Reading of settings that may be written at the same time.

use std::thread;
use std::time::Duration;

/// The number of times that settings which can't be used are read again: for two seconds.
const MAX_REPEATS: u32 = 40;

/// The time between two readings.
const REPEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Reads settings with `load`, again for two seconds while that fails, since a file that is being
/// written or replaced may be absent, empty or incomplete; `report` is given the first error.
///
/// # Errors
///
/// Returns the error of the last reading.
///
/// # Examples
///
/// ```
/// use std::cell::Cell;
///
/// use borageladder::settings::load_when_complete;
///
/// // The first reading finds an empty file.
/// let texts = Cell::new(["", "8080"].iter());
/// let load = || {
///     let mut left = texts.take();
///     let text = left.next().copied().unwrap_or_default();
///     texts.set(left);
///     text.parse::<u16>()
/// };
/// let port = load_when_complete(load, |error| eprintln!("{error}"));
/// assert_eq!(port, Ok(8080));
/// ```
pub fn load_when_complete<S, E>(
    load: impl Fn() -> Result<S, E>,
    report: impl FnOnce(&E),
) -> Result<S, E> {
    let mut outcome = load();
    if let Err(error) = &outcome {
        report(error);
    }
    for _ in 0..MAX_REPEATS {
        if outcome.is_ok() {
            break;
        }
        thread::sleep(REPEAT_INTERVAL);
        outcome = load();
    }
    outcome
}
