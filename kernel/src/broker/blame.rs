//! Whose word a broker takes for the failure of a worker.
//!
//! A host whose connections to a worker break can't tell a failed worker from a failed path. While
//! the worker answers other hosts, its failure is believed only once a second host reports it, or
//! once the first reports another one after the worker's last answer to others.

use std::time::Duration;

use crate::clock::ClockTime;
use crate::name::HostName;

/// The time for which an answer to another host speaks against the failure of a worker.
const ANSWER_VALIDITY: Duration = Duration::from_secs(1);

/// The latest answer of a worker to one host.
#[derive(Clone, Debug)]
struct HostAnswer {
    host: HostName,
    at: ClockTime,
}

/// A reported failure of a worker that was answering other hosts.
#[derive(Clone, Debug)]
struct DoubtedFailure {
    host: HostName,
    at: ClockTime,
}

/// The latest answers of one worker, and the latest failure that was not believed.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureBlame {
    /// The answer to the host that was answered last.
    latest: Option<HostAnswer>,
    /// The latest answer to any other host than that one.
    previous: Option<HostAnswer>,
    doubted: Option<DoubtedFailure>,
}

impl FailureBlame {
    /// Records that the worker answered a host.
    pub(super) fn record_answer(&mut self, now: ClockTime, host: &HostName) {
        match &mut self.latest {
            Some(latest) if latest.host == *host => latest.at = now,
            latest => {
                let host = host.clone();
                self.previous = latest.replace(HostAnswer { host, at: now });
            }
        }
    }

    /// Records a failure that a host reported of a request sent at `sent_at`, and returns whether
    /// it is believed.
    pub(super) fn record_failure(
        &mut self,
        now: ClockTime,
        host: &HostName,
        sent_at: ClockTime,
    ) -> bool {
        let Some(answered_at) = self.answer_to_others(now, host) else {
            return true;
        };
        let doubted = self.doubted.as_ref();
        let doubted = doubted.filter(|doubted| now.since(doubted.at) < ANSWER_VALIDITY);
        if let Some(doubted) = doubted {
            if doubted.host != *host {
                return true;
            }
            // Requests that ran at the same time break together, which is one failure.
            if sent_at <= doubted.at {
                return false;
            }
            if answered_at <= doubted.at {
                return true;
            }
        }
        let host = host.clone();
        self.doubted = Some(DoubtedFailure { host, at: now });
        false
    }

    /// Returns the time of the worker's latest answer to a host other than the given one; `None` if
    /// it is too old to speak against a failure.
    fn answer_to_others(&self, now: ClockTime, host: &HostName) -> Option<ClockTime> {
        let answers = self.latest.iter().chain(&self.previous);
        let others = answers.filter(|answer| answer.host != *host);
        let latest = others.map(|answer| answer.at).max()?;
        (now.since(latest) < ANSWER_VALIDITY).then_some(latest)
    }
}
