//! Set-up of the structured log.

use std::fmt;
use std::io;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::panic::UnwindSafe;
use std::sync::Mutex;
use std::sync::TryLockError;

use slog::Drain;
use slog::Logger;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;
use slog::SendSyncRefUnwindSafeDrain;
use slog::o;
use slog_async::Async;
use slog_async::AsyncGuard;

use crate::event::LogEvent;
use crate::kernel::name::HostName;
use crate::log_budget::RateLimitedDrain;
use crate::log_budget::SharedBudget;
use crate::log_event;
use crate::settings::LogFormat;
use crate::settings::LogSettings;

/// The maximum number of log records waiting to be written; further ones are dropped and counted.
const MAX_PENDING_RECORDS: usize = 4096;

/// A logger and the guard that writes pending records when dropped.
pub struct LogHandle {
    /// The logger, to be cloned into every task.
    pub logger: Logger,
    /// The rate limit on log lines, with the counts of dropped lines.
    pub budget: SharedBudget,
    /// `None` if there is no thread that writes the log.
    guard: Option<AsyncGuard>,
}

impl fmt::Debug for LogHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogHandle").finish_non_exhaustive()
    }
}

impl LogHandle {
    /// Writes all pending records and stops logging.
    pub fn finish(self) {
        drop(self.logger);
        drop(self.guard);
    }
}

/// Starts logging to standard error.
///
/// # Examples
///
/// ```
/// use borageladder::logging::start;
/// use borageladder::settings::LogFormat;
/// use borageladder::settings::LogSettings;
///
/// let settings = LogSettings {
///     format: LogFormat::Json,
///     level: slog::Level::Info,
/// };
/// let host = "sapporo-1".try_into()?;
/// let handle = start(settings, &host);
/// slog::info!(handle.logger, "the host starts");
/// handle.finish();
/// # Ok::<(), borageladder::kernel::name::NameError>(())
/// ```
#[must_use]
pub fn start(settings: LogSettings, host: &HostName) -> LogHandle {
    start_on(io::stderr, settings, host)
}

/// Starts logging to a writer, on a separate thread if one can be started.
#[must_use]
pub fn start_on<W>(writer: impl Fn() -> W, settings: LogSettings, host: &HostName) -> LogHandle
where
    W: io::Write + Send + 'static,
{
    match settings.format {
        LogFormat::Json => {
            let drain = || slog_json::Json::default(writer()).ignore_res();
            start_drain(drain, settings, host)
        }
        LogFormat::Terminal => {
            let drain = || {
                let decorator = slog_term::PlainSyncDecorator::new(writer());
                slog_term::FullFormat::new(decorator).build().ignore_res()
            };
            start_drain(drain, settings, host)
        }
    }
}

fn start_drain<D>(drain: impl Fn() -> D, settings: LogSettings, host: &HostName) -> LogHandle
where
    D: Drain<Err = Never, Ok = ()> + Send + 'static,
{
    // A thread that can't be started is a panic of the library.
    let started = panic::catch_unwind(AssertUnwindSafe(|| {
        let queue = Async::new(drain()).chan_size(MAX_PENDING_RECORDS);
        queue.build_with_guard()
    }));
    let Ok((queue, guard)) = started else {
        let handle = handle_of(DirectDrain(Mutex::new(drain())), None, settings, host);
        log_event!(handle.logger, LogEvent::LogThreadMissing);
        return handle;
    };
    handle_of(queue.ignore_res(), Some(guard), settings, host)
}

fn handle_of<D>(
    drain: D,
    guard: Option<AsyncGuard>,
    settings: LogSettings,
    host: &HostName,
) -> LogHandle
where
    D: SendSyncRefUnwindSafeDrain<Err = Never, Ok = ()> + UnwindSafe + 'static,
{
    let budget = SharedBudget::default();
    let drain = RateLimitedDrain::new(drain, budget.clone());
    let drain = drain.filter_level(settings.level).ignore_res();
    let logger = Logger::root(drain, o!("host" => host.to_string()));
    LogHandle {
        logger,
        budget,
        guard,
    }
}

/// Writes records on the thread that logs them.
struct DirectDrain<D>(Mutex<D>);

impl<D: Drain<Err = Never, Ok = ()>> Drain for DirectDrain<D> {
    type Err = Never;
    type Ok = ();

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        match self.0.try_lock() {
            Ok(drain) => drain.log(record, values),
            Err(TryLockError::Poisoned(error)) => error.into_inner().log(record, values),
            // A panic while a line is written is logged by the same thread, which would wait for itself.
            Err(TryLockError::WouldBlock) => Ok(()),
        }
    }
}
