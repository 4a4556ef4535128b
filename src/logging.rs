//! Set-up of the structured log.

use std::fmt;
use std::io;

use slog::Drain;
use slog::Logger;
use slog::o;
use slog_async::AsyncGuard;

use crate::kernel::name::HostName;
use crate::log_budget::RateLimitedDrain;
use crate::log_budget::SharedBudget;
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
    guard: AsyncGuard,
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
    start_on(io::stderr(), settings, host)
}

/// Starts logging to a writer, on a separate thread.
#[must_use]
pub fn start_on<W>(writer: W, settings: LogSettings, host: &HostName) -> LogHandle
where
    W: io::Write + Send + 'static,
{
    match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(writer);
            start_async(drain.ignore_res(), settings, host)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(writer);
            let drain = slog_term::FullFormat::new(decorator).build();
            start_async(drain.ignore_res(), settings, host)
        }
    }
}

fn start_async<D>(drain: D, settings: LogSettings, host: &HostName) -> LogHandle
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(MAX_PENDING_RECORDS)
        .build_with_guard();
    let budget = SharedBudget::default();
    let drain = RateLimitedDrain::new(drain.ignore_res(), budget.clone());
    let drain = drain.filter_level(settings.level).ignore_res();
    let logger = Logger::root(drain, o!("host" => host.to_string()));
    LogHandle {
        logger,
        budget,
        guard,
    }
}
