//! Shutdown of a gateway host.

use std::cell::Cell;
use std::future;
use std::time::Duration;

use super::call_error::CallError;
use super::exchange::DEFAULT_RETRY_AFTER;
use super::exchange::refusal_error;
use super::host::GatewayHost;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::log_event;

/// The time for which a stopping host still accepts requests. It covers two readiness probes of the
/// load balancer, which are a second apart.
const ACCEPT_TIME: Duration = Duration::from_millis(2_500);

/// The time before the kill at which a stopping host exits with requests still in flight.
const EXIT_RESERVE: Duration = Duration::from_millis(200);

/// The time before the exit at which the host itself answers each request whose answer has not begun.
const ANSWER_RESERVE: Duration = Duration::from_millis(300);

/// The time before these answers until which requests may wait for a slot.
const SLOT_RESERVE: Duration = Duration::from_millis(500);

/// The interval at which a stopping host checks for requests in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Retry-after time of a request that a stopping host refuses while another host serves.
const OTHER_HOST_RETRY: Duration = Duration::from_millis(200);

/// The times of the steps of a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    /// Until then, requests are accepted.
    pub accept_until: ClockTime,
    /// Until then, requests wait for a slot.
    pub wait_until: ClockTime,
    /// Then the host itself answers each request whose answer has not begun.
    pub answer_at: ClockTime,
    /// Then the process exits, whatever is in flight.
    pub exit_at: ClockTime,
}

impl StopSchedule {
    /// Returns the schedule of a shutdown; `kill_after` is the time from its begin until the process is
    /// killed.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use borageladder::gateway::StopSchedule;
    /// use borageladder::kernel::clock::ClockTime;
    ///
    /// let schedule = StopSchedule::new(ClockTime::ZERO, Duration::from_secs(8));
    /// assert!(schedule.accept_until < schedule.wait_until);
    /// assert!(schedule.wait_until < schedule.answer_at);
    /// assert_eq!(schedule.exit_at, ClockTime::from_millis(7_800));
    /// ```
    #[must_use]
    pub fn new(begin: ClockTime, kill_after: Duration) -> Self {
        let exit_after = kill_after.saturating_sub(EXIT_RESERVE);
        let answer_after = exit_after.saturating_sub(ANSWER_RESERVE);
        Self {
            accept_until: begin + ACCEPT_TIME.min(exit_after),
            wait_until: begin + answer_after.saturating_sub(SLOT_RESERVE),
            answer_at: begin + answer_after,
            exit_at: begin + exit_after,
        }
    }
}

/// Stops the host. At first it reports itself as not ready to the load balancer and as stopping to
/// the other hosts, its answers close their connections, and requests that can't be served before it
/// exits are refused. After [`ACCEPT_TIME`] it closes idle connections and accepts no further requests.
/// It exits once no request is in flight and no tunnel is open, or shortly before the process is
/// killed.
pub(super) async fn stop(host: &GatewayHost) {
    log_event!(host.log, LogEvent::StopRequested, "in_flight" => host.in_flight());
    let begin = host.clock.now();
    let schedule = StopSchedule::new(begin, host.settings.bounds.stop_time());
    host.begin_stop(schedule);
    host.members.set_stopping(true);
    host.cells.limit_wait(schedule.wait_until);
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let now = host.clock.now();
        let is_closing = now >= schedule.accept_until;
        if is_closing {
            host.closing.stop();
        }
        if now >= schedule.answer_at {
            host.answering.stop();
        }
        let is_idle = host.in_flight() == 0 && host.served_tunnels() == 0;
        if (is_closing && is_idle) || now >= schedule.exit_at {
            break;
        }
    }
    host.links.stop();
    host.mark_ended();
    log_event!(host.log, LogEvent::StopFinished,
        "in_flight" => host.in_flight(),
        "tunnels" => host.served_tunnels(),
        "stop_ms" => host.clock.now().since(begin).as_secs_f64() * 1_000.0);
}

/// Waits until a stopping host has to answer a request itself; forever if writing an answer has begun by
/// then.
pub(super) async fn wait_for_final_answer(host: &GatewayHost, has_started: &Cell<bool>) {
    host.answering.stopped().await;
    if has_started.get() {
        future::pending::<()>().await;
    }
}

/// Returns the error of a request that has not run and that a stopping host refuses.
pub(super) fn stop_refusal(host: &GatewayHost) -> CallError {
    let retry_after = if host.members.serving_peers().is_empty() {
        DEFAULT_RETRY_AFTER
    } else {
        OTHER_HOST_RETRY
    };
    refusal_error("the host is stopping", retry_after)
}
