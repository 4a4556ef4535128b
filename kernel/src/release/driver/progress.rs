//! The next state of a release.

use std::time::Duration;

use super::ReleaseDriver;
use super::event::StateWrite;
use super::event::StoredRelease;
use crate::clock::ClockTime;
use crate::release::evidence::EvidenceTable;
use crate::release::order::ReleaseOrder;
use crate::release::schedule::ReleaseLoad;
use crate::release::schedule::ReleaseSchedule;
use crate::release::split::VersionSide;
use crate::release::state::ReleaseCounts;
use crate::release::state::ReleasePhase;
use crate::release::state::ReleaseState;
use crate::release::state::TrafficShare;
use crate::release::verdict::ReleaseVerdict;
use crate::roster::StoreRevision;

/// The time that a new driver, or the driver of a new order, waits for the evidence of all hosts. They
/// send it every 250 ms.
const EVIDENCE_WAIT: Duration = Duration::from_millis(500);

/// The number of requests from which on a target that got none of them counts as unable to serve.
const EXPECTED_TARGET_REQUESTS: u64 = 20;

/// The time without an answer after which a target counts as unable to serve, if the service has few
/// requests.
const ANSWER_WAIT: Duration = Duration::from_secs(1);

/// The time that a new driver observes the answers before it begins the shift.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);

/// The standard deviations by which the target's recent answers may be below the expected number when the
/// shift begins.
const ANSWER_DEVIATIONS: f64 = 3.0;

/// The number of recent answers that is enough for the shift to begin.
const ENOUGH_ANSWERS: f64 = 8.0;

/// The change of the canary's share, as a ratio, below which it is not raised.
const MIN_RAISE: f64 = 1.25;

/// The change of the canary's share, as a ratio, above which it is not lowered.
const MIN_CUT: f64 = 0.9;

/// The minimum time between two raises of the canary's share.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// The time from which on the store has held a share, as this driver knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepTimer {
    sequence: u64,
    since: ClockTime,
    /// The time that the step takes.
    duration: Duration,
}

impl ReleaseDriver {
    /// Returns the write that the rows in the store call for.
    pub(super) fn next_write(&mut self, now: ClockTime) -> Option<StateWrite> {
        let view = self.view.as_ref()?;
        let order = view.reading.order.clone();
        let stored = view.reading.state.clone();
        let state_revision = view.reading.state_revision;
        let state = match (&order, stored) {
            (None, Some(stored)) => self.end_removed(&stored),
            (None, None) => None,
            (Some(order), stored) => self.next_state(now, order, stored),
        };
        let mut state = state?;
        state.era = self.view.as_ref()?.reading.era;
        Some(StateWrite {
            state,
            order_revision: order.map_or(StoreRevision(0), |order| order.revision),
            state_revision,
        })
    }

    /// Returns the state to write while an order exists.
    fn next_state(
        &mut self,
        now: ClockTime,
        order: &ReleaseOrder,
        stored: Option<StoredRelease>,
    ) -> Option<ReleaseState> {
        let stored = stored.map(|stored| stored.state);
        let stored = stored.filter(|state| state.order == *order);
        if stored.as_ref().is_some_and(|state| state.phase.is_final()) {
            return None;
        }
        if let Some(ended) = self.known_end(order) {
            let sequence = stored.map_or(0, |state| state.sequence).max(ended.sequence) + 1;
            return Some(ReleaseState {
                order: order.clone(),
                sequence,
                ..ended
            });
        }
        match stored {
            Some(state) => self.advance(now, &state),
            None => Some(self.begin(order)),
        }
    }

    /// Returns the state of a release whose order was removed; `None` if it had ended before.
    fn end_removed(&self, stored: &StoredRelease) -> Option<ReleaseState> {
        let state = &stored.state;
        if state.phase.is_final() {
            return None;
        }
        let ended = self.known_end(&state.order);
        let phase = ended.map_or(ReleasePhase::Reverted, |ended| ended.phase);
        Some(ReleaseState {
            sequence: state.sequence + 1,
            phase,
            share: TrafficShare::NONE,
            ..state.clone()
        })
    }

    /// Returns the final state that is known for an order and is not in the store: after a bad verdict,
    /// or if the store is back from an older copy.
    fn known_end(&self, order: &ReleaseOrder) -> Option<ReleaseState> {
        let view = self.view.as_ref()?;
        let known = self.known.as_ref()?;
        let is_same =
            known.order == *order || (known.era < view.reading.era && known.order.asks_same(order));
        if !is_same {
            return None;
        }
        if known.is_halted() {
            return Some(ReleaseState {
                phase: ReleasePhase::Reverted,
                share: TrafficShare::NONE,
                ..known.clone()
            });
        }
        known.phase.is_final().then(|| known.clone())
    }

    fn begin(&self, order: &ReleaseOrder) -> ReleaseState {
        let reading = self.view.as_ref().map(|view| &view.reading);
        let read_at = reading.map_or(Duration::ZERO, |reading| reading.store_time);
        let start = self.order_absent_at.map_or(read_at, |at| at.min(read_at));
        let era = reading.map(|reading| reading.era).unwrap_or_default();
        let mut state = ReleaseState::begin(order.clone(), start, era);
        state.seen = self.order_seen_at.unwrap_or(read_at).max(start);
        state
    }

    /// Returns the next state of a release in progress; `None` while it stays as it is.
    fn advance(&mut self, now: ClockTime, state: &ReleaseState) -> Option<ReleaseState> {
        if !self.has_evidence(now) {
            return None;
        }
        let load = self.load(now, state)?;
        let fleet = self.fleet?;
        if !fleet.hosts && state.share > TrafficShare::NONE {
            return Some(self.changed(state, ReleasePhase::Canary, TrafficShare::NONE));
        }
        let is_usable = fleet.hosts && fleet.target;
        let is_doubtful = *self.observations.verdict() != ReleaseVerdict::Sound;
        let is_fit = is_usable && !is_doubtful && self.target_answers(now, state);
        if load.left.is_zero() && !is_fit {
            return Some(self.changed(state, ReleasePhase::Reverted, TrafficShare::NONE));
        }
        if !is_usable {
            return None;
        }
        match state.phase {
            ReleasePhase::Canary => self.advance_canary(now, state, &load, is_fit),
            ReleasePhase::Shift => self.advance_shift(now, state, &load, is_fit),
            ReleasePhase::Completed | ReleasePhase::Reverted => None,
        }
    }

    fn advance_canary(
        &mut self,
        now: ClockTime,
        state: &ReleaseState,
        load: &ReleaseLoad,
        is_fit: bool,
    ) -> Option<ReleaseState> {
        let schedule = ReleaseSchedule::new(self.bounds, state.order.duration);
        if is_fit && schedule.allows_shift(load) && self.has_recent_answers(now, state) {
            let first = ReleaseSchedule::next_step(TrafficShare::NONE, load.left)?;
            return Some(self.changed(state, ReleasePhase::Shift, first.max(state.share)));
        }
        let share = schedule.canary_share(load);
        let (present, wanted) = (state.share.ratio(), share.ratio());
        let has_waited = self.in_force_for(now, state, RAISE_INTERVAL) >= RAISE_INTERVAL;
        let is_first = state.sequence == 1;
        let is_raised = wanted > present * MIN_RAISE && (has_waited || is_first);
        (is_raised || wanted < present * MIN_CUT)
            .then(|| self.changed(state, ReleasePhase::Canary, share))
    }

    fn advance_shift(
        &mut self,
        now: ClockTime,
        state: &ReleaseState,
        load: &ReleaseLoad,
        is_fit: bool,
    ) -> Option<ReleaseState> {
        let schedule = ReleaseSchedule::new(self.bounds, state.order.duration);
        let limit = schedule.shift_limit(load);
        if state.share > limit {
            return Some(self.changed(state, ReleasePhase::Shift, limit));
        }
        let duration = ReleaseSchedule::step_time(state.share, load.left);
        let is_over = self.in_force_for(now, state, duration) >= self.step_duration();
        if !is_fit || !is_over {
            return None;
        }
        match ReleaseSchedule::next_step(state.share, load.left) {
            None => Some(self.changed(state, ReleasePhase::Completed, TrafficShare::ALL)),
            Some(next) => (next <= limit).then(|| self.changed(state, ReleasePhase::Shift, next)),
        }
    }

    /// Returns a state that follows another one.
    fn changed(
        &self,
        state: &ReleaseState,
        phase: ReleasePhase,
        share: TrafficShare,
    ) -> ReleaseState {
        ReleaseState {
            sequence: state.sequence + 1,
            phase,
            share,
            counts: self.counts(state),
            ..state.clone()
        }
    }

    /// Returns whether the hosts have had the time to send their evidence.
    fn has_evidence(&self, now: ClockTime) -> bool {
        let since = self.leading_since.map(|since| since.max(self.order_seen));
        since.is_some_and(|since| now.since(since) >= EVIDENCE_WAIT)
    }

    fn evidence_for(&self, state: &ReleaseState) -> Option<&EvidenceTable> {
        let mut tables = self.evidence.iter();
        tables.find(|table| *table.order() == state.order)
    }

    /// Returns the requests of the release; the state holds those of hosts that have ended since.
    fn counts(&self, state: &ReleaseState) -> ReleaseCounts {
        let tables = self.evidence.iter();
        let table = tables
            .into_iter()
            .find(|table| *table.order() == state.order);
        let counts = table.map(|table| table.total().counts());
        let counts = counts.unwrap_or_default();
        ReleaseCounts {
            requests: counts.requests.max(state.counts.requests),
            target_requests: counts.target_requests.max(state.counts.target_requests),
        }
    }

    /// Returns the requests so far and to come, as of the latest store time that is possible now.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a release has far fewer requests than 2^52"
    )]
    fn load(&self, now: ClockTime, state: &ReleaseState) -> Option<ReleaseLoad> {
        let view = self.view.as_ref()?;
        let store_now = view.reading.store_time + now.since(view.began);
        let mut counts = self.counts(state);
        let elapsed = store_now.saturating_sub(state.start);
        // Requests of the time since the last reports of the hosts are not counted yet.
        let unreported = state.phase.evidence_interval();
        let counted = elapsed.saturating_sub(unreported).max(unreported);
        let mean_rate = counts.requests as f64 / counted.as_secs_f64();
        let rate = mean_rate.max(self.observations.recent_rate());
        let unseen = rate * state.share.ratio() * unreported.as_secs_f64();
        counts.target_requests += unseen as u64;
        Some(ReleaseLoad {
            counts,
            rate,
            left: state.deadline.saturating_sub(store_now),
            uncertainty: state.seen.saturating_sub(state.start),
        })
    }

    /// Returns whether the target has answered, or has had no request that it could answer.
    fn target_answers(&self, now: ClockTime, state: &ReleaseState) -> bool {
        let table = self.evidence_for(state);
        if table.is_some_and(|table| table.total().answers(VersionSide::Target) > 0) {
            return true;
        }
        let counts = self.counts(state);
        counts.requests < EXPECTED_TARGET_REQUESTS
            && self.observations.unanswered_for(now) < ANSWER_WAIT
    }

    /// Returns whether the target has answered lately as many requests as its share explains, or enough.
    ///
    /// While hosts or the driver are cut off from the store, the target gets no requests, and may have
    /// turned bad meanwhile.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a release has far fewer requests than 2^52"
    )]
    fn has_recent_answers(&self, now: ClockTime, state: &ReleaseState) -> bool {
        let leading = self.leading_since.map(|since| now.since(since));
        if leading.is_none_or(|leading| leading < OBSERVATION_TIME) {
            return false;
        }
        let Some(table) = self.evidence_for(state) else {
            return true;
        };
        let [target, baseline] = [VersionSide::Target, VersionSide::Baseline]
            .map(|side| self.observations.recent_answers(table.total(), side) as f64);
        let expected = (target + baseline) * state.share.ratio();
        let explained = ANSWER_DEVIATIONS.mul_add(-expected.sqrt(), expected);
        target >= explained.min(ENOUGH_ANSWERS)
    }

    /// Returns how long the store has held a state, and sets the duration of a new step.
    fn in_force_for(&mut self, now: ClockTime, state: &ReleaseState, new: Duration) -> Duration {
        let sequence = state.sequence;
        let known = self.step.filter(|step| step.sequence == sequence);
        let step = known.unwrap_or(StepTimer {
            sequence,
            since: now,
            duration: new,
        });
        self.step = Some(step);
        now.since(step.since)
    }

    fn step_duration(&self) -> Duration {
        self.step.map_or(Duration::ZERO, |step| step.duration)
    }
}
