//! The signals that a daemon handles, which are held back from the first moment of its process on.
//!
//! By default each of them ends a process without a trace. [`hold`] blocks them for the calling thread
//! and all threads that it starts, so that those that come before there are handlers stay pending, and
//! [`StopRequests::listen`] receives them.

use std::io;

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal;
use tokio::signal::unix;
use tokio::signal::unix::SignalKind;

fn handled() -> SigSet {
    SigSet::from_iter([Signal::SIGHUP, Signal::SIGINT, Signal::SIGTERM])
}

/// Holds the signals back until [`release`] or [`StopRequests::listen`]. Must be called before the
/// process starts a thread.
///
/// # Errors
///
/// Returns an error if the operating system refuses to block signals.
///
/// # Examples
///
/// ```
/// use borageladder::signals;
///
/// signals::hold()?;
/// // Reading settings, starting the log and the runtime can't be interrupted.
/// signals::release()?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn hold() -> io::Result<()> {
    Ok(handled().thread_block()?)
}

/// Stops holding the signals back, also those that were blocked before the process started; one that is
/// pending takes effect at once.
///
/// # Errors
///
/// Returns an error if the operating system refuses to unblock signals.
pub fn release() -> io::Result<()> {
    Ok(handled().thread_unblock()?)
}

/// The requests to stop the process: SIGTERM and SIGINT. SIGHUP has no effect, since settings are only
/// read at the start.
#[derive(Debug)]
pub struct StopRequests {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    _hangup: unix::Signal,
}

impl StopRequests {
    /// Installs the handlers, then receives the signals that were held back.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler can't be installed or signals can't be unblocked.
    pub fn listen() -> io::Result<Self> {
        let requests = Self {
            terminate: unix::signal(SignalKind::terminate())?,
            interrupt: unix::signal(SignalKind::interrupt())?,
            _hangup: unix::signal(SignalKind::hangup())?,
        };
        release()?;
        Ok(requests)
    }

    /// Waits for a request to stop.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => (),
            _ = self.interrupt.recv() => (),
        }
    }
}
