//! The decisions of the host that drives a release.

mod event;
mod observed;
mod progress;

use std::time::Duration;

use super::evidence::EvidenceTable;
use super::known::supersedes;
use super::order::ReleaseOrder;
use super::schedule::ReleaseBounds;
use super::state::ReleaseState;
use super::state::TrafficShare;
use super::verdict::ReleaseVerdict;
use crate::clock::ClockTime;
use crate::name::ServiceName;

pub use event::FleetReadiness;
pub use event::ReleaseAction;
pub use event::ReleaseEvent;
pub use event::ReleaseReading;
pub use event::StateWrite;
pub use event::StoredRelease;
pub use event::TICK_INTERVAL;
pub use event::WriteOutcome;

use observed::Observations;
use progress::StepTimer;

/// The gap between two events from which on the process counts as having been paused, so that what it
/// knows of the release is old.
const PAUSE_GAP: Duration = Duration::from_secs(1);

/// The interval at which the rows of a release in progress are read.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// The delay before a failed read is repeated.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The interval at which a state whose target is bad is sent again, until the store holds it.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum number of orders whose evidence is kept: that of the order that was read last, and those
/// that hosts may have read before this one.
const MAX_EVIDENCE_TABLES: usize = 3;

/// The rows of the store as they were read last.
#[derive(Clone, Debug)]
struct StoreView {
    /// The time at which the read began.
    began: ClockTime,
    reading: ReleaseReading,
}

/// The call to the store that is under way; a driver makes one at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreCall {
    None,
    Read,
    Write,
}

/// The decisions for the release of one service at one host.
///
/// Each host has one for each service. It decides only while the host is the driver.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::release::ReleaseAction;
/// use borageladder_kernel::release::ReleaseBounds;
/// use borageladder_kernel::release::ReleaseDriver;
/// use borageladder_kernel::release::ReleaseEvent;
///
/// let bounds = ReleaseBounds { exposure_share: 0.1, exposure_headroom: 50.0 };
/// let mut driver = ReleaseDriver::new("drafter".parse()?, bounds);
/// let actions = driver.handle(ClockTime::ZERO, ReleaseEvent::RoleChanged { leading: true });
/// assert_eq!(actions, [ReleaseAction::Read]);
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct ReleaseDriver {
    service: ServiceName,
    bounds: ReleaseBounds,
    /// The time since which this host has been the driver without a pause; `None` if it is not.
    leading_since: Option<ClockTime>,
    last_event: ClockTime,
    /// `None` before the first event of that kind.
    fleet: Option<FleetReadiness>,
    view: Option<StoreView>,
    /// The time at which the order of `view` was first read.
    order_seen: ClockTime,
    /// The store time of that read.
    order_seen_at: Option<Duration>,
    /// The latest known store time at which there was no such order.
    order_absent_at: Option<Duration>,
    /// The newest state, from the store or another host. It outlives the order.
    known: Option<ReleaseState>,
    call: StoreCall,
    /// Whether the rows must be read before anything is written.
    read_due: bool,
    /// The time before which no read is repeated.
    next_read: ClockTime,
    /// The end of the last write. Reads that began before it are outdated.
    write_ended: ClockTime,
    evidence: Vec<EvidenceTable>,
    observations: Observations,
    step: Option<StepTimer>,
    announced_at: Option<ClockTime>,
}

impl ReleaseDriver {
    /// Creates a driver that knows nothing and is not leading.
    #[must_use]
    pub const fn new(service: ServiceName, bounds: ReleaseBounds) -> Self {
        Self {
            service,
            bounds,
            leading_since: None,
            last_event: ClockTime::ZERO,
            fleet: None,
            view: None,
            order_seen: ClockTime::ZERO,
            order_seen_at: None,
            order_absent_at: None,
            known: None,
            call: StoreCall::None,
            read_due: true,
            next_read: ClockTime::ZERO,
            write_ended: ClockTime::ZERO,
            evidence: Vec::new(),
            observations: Observations::new(),
            step: None,
            announced_at: None,
        }
    }

    /// Returns the newest state that the driver knows of.
    #[must_use]
    pub const fn known_state(&self) -> Option<&ReleaseState> {
        self.known.as_ref()
    }

    /// Processes an event and returns the actions to perform, in their order.
    #[must_use]
    pub fn handle(&mut self, now: ClockTime, event: ReleaseEvent) -> Vec<ReleaseAction> {
        self.notice_pause(now);
        match event {
            ReleaseEvent::RoleChanged { leading } => self.change_role(now, leading),
            ReleaseEvent::StoreRead { began, reading } => self.take_reading(now, began, *reading),
            ReleaseEvent::ReadFailed => {
                self.call = StoreCall::None;
                self.read_due = true;
                self.next_read = now + READ_RETRY_DELAY;
            }
            ReleaseEvent::WriteEnded(outcome) => self.end_write(now, outcome),
            ReleaseEvent::StateReceived(state) => self.learn(*state),
            ReleaseEvent::EvidenceReceived {
                host,
                incarnation,
                evidence,
            } => {
                let position = self.evidence_position(&evidence.order);
                self.evidence[position].record(&host, incarnation, &evidence);
            }
            ReleaseEvent::FleetChanged(fleet) => self.fleet = Some(fleet),
            ReleaseEvent::Tick => {}
        }
        self.decide(now)
    }

    fn notice_pause(&mut self, now: ClockTime) {
        if now.since(self.last_event) > PAUSE_GAP && self.leading_since.is_some() {
            self.change_role(now, true);
        }
        self.last_event = now;
    }

    fn change_role(&mut self, now: ClockTime, leading: bool) {
        self.leading_since = leading.then_some(now);
        self.read_due = true;
        self.observations = Observations::new();
        self.step = None;
    }

    fn take_reading(&mut self, now: ClockTime, began: ClockTime, mut reading: ReleaseReading) {
        if self.call == StoreCall::Read {
            self.call = StoreCall::None;
        }
        let is_outdated = self.view.as_ref().is_some_and(|view| {
            began < view.began || reading.era < view.reading.era || began < self.write_ended
        });
        if is_outdated {
            self.next_read = self.next_read.max(now + READ_RETRY_DELAY);
            return;
        }
        if let Some(stored) = &mut reading.state {
            stored.state.era = reading.era;
            let state = stored.state.clone();
            self.learn(state);
        }
        self.note_order(now, &reading);
        self.view = Some(StoreView { began, reading });
        self.read_due = false;
        self.next_read = now + READ_INTERVAL;
    }

    /// Notes when the order of a reading was not there yet, and begins anew with another order.
    fn note_order(&mut self, now: ClockTime, reading: &ReleaseReading) {
        let before = self.view.as_ref().map(|view| &view.reading);
        let is_same = before.is_some_and(|before| before.order == reading.order);
        let absent_at = if is_same {
            self.order_absent_at
        } else {
            self.order_seen = now;
            self.order_seen_at = Some(reading.store_time);
            self.observations = Observations::new();
            self.step = None;
            before.map(|before| before.store_time)
        };
        self.order_absent_at = absent_at.max(reading.order_absent_at);
    }

    fn end_write(&mut self, now: ClockTime, outcome: WriteOutcome) {
        self.call = StoreCall::None;
        self.read_due = true;
        self.write_ended = now;
        self.next_read = match outcome {
            WriteOutcome::Committed | WriteOutcome::Conflict => now,
            WriteOutcome::Unknown => now + READ_RETRY_DELAY,
        };
    }

    fn learn(&mut self, state: ReleaseState) {
        if state.order.service != self.service {
            return;
        }
        let is_new = match &self.known {
            Some(known) => supersedes(&state, known),
            None => true,
        };
        if is_new {
            self.known = Some(state);
        }
    }

    /// Returns the position of the evidence for an order, which this host may not have read yet.
    fn evidence_position(&mut self, order: &ReleaseOrder) -> usize {
        let mut tables = self.evidence.iter();
        if let Some(position) = tables.position(|table| table.order() == order) {
            return position;
        }
        if self.evidence.len() >= MAX_EVIDENCE_TABLES {
            let view = self.view.as_ref();
            let present = view.and_then(|view| view.reading.order.as_ref());
            let mut tables = self.evidence.iter();
            let oldest = tables.position(|table| Some(table.order()) != present);
            self.evidence.remove(oldest.unwrap_or_default());
        }
        self.evidence.push(EvidenceTable::new(order.clone()));
        self.evidence.len() - 1
    }

    fn decide(&mut self, now: ClockTime) -> Vec<ReleaseAction> {
        if self.leading_since.is_none() {
            return Vec::new();
        }
        self.observe(now);
        let mut actions = Vec::new();
        actions.extend(self.announcement(now));
        actions.extend(self.store_action(now));
        actions
    }

    /// Judges the target of a release in progress, and stops the release if it is bad.
    fn observe(&mut self, now: ClockTime) {
        let Some(state) = self.state_in_progress().cloned() else {
            self.observations = Observations::new();
            return;
        };
        let position = self.evidence_position(&state.order);
        let evidence = self.evidence[position].total();
        let interval = state.phase.evidence_interval() / 2;
        self.observations.record(now, interval, evidence);
        if state.is_halted() {
            return;
        }
        if let ReleaseVerdict::Bad(counts) = self.observations.verdict() {
            let mut halted = state;
            halted.sequence += 1;
            halted.share = TrafficShare::NONE;
            halted.verdict = Some(counts.clone());
            halted.counts = evidence.counts();
            self.learn(halted);
        }
    }

    /// Returns the newest state of the present order, if it is not final.
    fn state_in_progress(&self) -> Option<&ReleaseState> {
        let order = self.view.as_ref()?.reading.order.as_ref()?;
        let known = self.known.as_ref()?;
        (known.order == *order && !known.phase.is_final()).then_some(known)
    }

    fn announcement(&mut self, now: ClockTime) -> Option<ReleaseAction> {
        let state = self.state_in_progress().filter(|state| state.is_halted());
        let Some(state) = state.cloned() else {
            self.announced_at = None;
            return None;
        };
        let is_recent = |at: ClockTime| now.since(at) < ANNOUNCE_INTERVAL;
        if self.announced_at.is_some_and(is_recent) {
            return None;
        }
        self.announced_at = Some(now);
        Some(ReleaseAction::Announce(Box::new(state)))
    }

    fn store_action(&mut self, now: ClockTime) -> Option<ReleaseAction> {
        if self.call != StoreCall::None {
            return None;
        }
        if self.needs_read(now) {
            self.call = StoreCall::Read;
            return Some(ReleaseAction::Read);
        }
        if self.read_due {
            return None;
        }
        let write = self.next_write(now)?;
        self.call = StoreCall::Write;
        Some(ReleaseAction::Write(Box::new(write)))
    }

    fn needs_read(&self, now: ClockTime) -> bool {
        let is_settled = self.view.as_ref().is_some_and(|view| {
            let state = view.reading.state.as_ref();
            view.reading.order.is_none()
                || state.is_some_and(|stored| stored.state.phase.is_final())
        });
        (self.read_due || !is_settled) && now >= self.next_read
    }
}
