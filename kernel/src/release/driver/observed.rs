//! What a driver observes of the requests of a release.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::release::evidence::ReleaseEvidence;
use crate::release::split::VersionSide;
use crate::release::verdict::ReleaseVerdict;

/// The interval at which a copy of the evidence is kept.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// The time over which recent answers are judged, since a version may turn bad later.
const RECENT_SPAN: Duration = Duration::from_secs(3);

/// The minimum time over which recent answers are judged.
const MIN_RECENT_SPAN: Duration = Duration::from_secs(1);

/// The time over which the recent rate of requests is measured.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// The number of requests so far, at a time.
#[derive(Clone, Copy, Debug)]
struct RequestSample {
    at: ClockTime,
    requests: u64,
}

/// The evidence as it was at a time.
#[derive(Clone, Debug)]
struct EvidenceSnapshot {
    at: ClockTime,
    evidence: ReleaseEvidence,
}

/// The evidence over time, and what it says of the target.
#[derive(Clone, Debug)]
pub(super) struct Observations {
    judged_at: Option<ClockTime>,
    verdict: ReleaseVerdict,
    /// Samples from before [`RATE_SPAN`] until now.
    samples: VecDeque<RequestSample>,
    /// Snapshots from before [`RECENT_SPAN`] until now.
    snapshots: VecDeque<EvidenceSnapshot>,
    /// The time since which the target has had requests but no answer.
    unanswered_since: Option<ClockTime>,
}

impl Observations {
    pub(super) const fn new() -> Self {
        Self {
            judged_at: None,
            verdict: ReleaseVerdict::Sound,
            samples: VecDeque::new(),
            snapshots: VecDeque::new(),
            unanswered_since: None,
        }
    }

    /// Returns the verdict on the evidence that was recorded last.
    pub(super) const fn verdict(&self) -> &ReleaseVerdict {
        &self.verdict
    }

    /// Records the evidence as it is now, unless it was recorded less than `interval` before.
    pub(super) fn record(
        &mut self,
        now: ClockTime,
        interval: Duration,
        evidence: &ReleaseEvidence,
    ) {
        let is_recent = |at: ClockTime| now.since(at) < interval;
        if self.judged_at.is_some_and(is_recent) {
            return;
        }
        self.judged_at = Some(now);
        self.record_sample(now, evidence);
        self.record_snapshot(now, evidence);
        self.record_answers(now, evidence);
        let earlier = self.snapshots.front();
        let earlier = earlier.filter(|snapshot| now.since(snapshot.at) >= MIN_RECENT_SPAN);
        self.verdict = ReleaseVerdict::judge(evidence, earlier.map(|snapshot| &snapshot.evidence));
    }

    fn record_sample(&mut self, now: ClockTime, evidence: &ReleaseEvidence) {
        self.samples.push_back(RequestSample {
            at: now,
            requests: evidence.counts().requests,
        });
        let is_old = |sample: &RequestSample| now.since(sample.at) >= RATE_SPAN;
        while self.samples.get(1).is_some_and(is_old) {
            self.samples.pop_front();
        }
    }

    fn record_snapshot(&mut self, now: ClockTime, evidence: &ReleaseEvidence) {
        let last = self.snapshots.back();
        if last.is_none_or(|last| now.since(last.at) >= SNAPSHOT_INTERVAL) {
            self.snapshots.push_back(EvidenceSnapshot {
                at: now,
                evidence: evidence.clone(),
            });
        }
        let is_old = |snapshot: &EvidenceSnapshot| now.since(snapshot.at) >= RECENT_SPAN;
        while self.snapshots.get(1).is_some_and(is_old) {
            self.snapshots.pop_front();
        }
    }

    fn record_answers(&mut self, now: ClockTime, evidence: &ReleaseEvidence) {
        let waits =
            evidence.counts().target_requests > 0 && evidence.answers(VersionSide::Target) == 0;
        self.unanswered_since = waits.then(|| self.unanswered_since.unwrap_or(now));
    }

    /// Returns how long the target has had requests but no answer; zero if that is not the case.
    pub(super) fn unanswered_for(&self, now: ClockTime) -> Duration {
        let since = self.unanswered_since;
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns the answers of a side over the last seconds.
    pub(super) fn recent_answers(&self, evidence: &ReleaseEvidence, side: VersionSide) -> u64 {
        let earlier = self.snapshots.front();
        let before = earlier.map_or(0, |snapshot| snapshot.evidence.answers(side));
        evidence.answers(side).saturating_sub(before)
    }

    /// Returns the requests in a second over the last samples; zero without two samples.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a release has far fewer requests than 2^52"
    )]
    pub(super) fn recent_rate(&self) -> f64 {
        let (Some(first), Some(last)) = (self.samples.front(), self.samples.back()) else {
            return 0.0;
        };
        let span = last.at.since(first.at).as_secs_f64();
        let requests = last.requests.saturating_sub(first.requests);
        if span > 0.0 {
            requests as f64 / span
        } else {
            0.0
        }
    }
}
