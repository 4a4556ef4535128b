//! A simulated store that checks what is written to it.

use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::release::ReleaseOrder;
use borageladder_kernel::release::ReleaseReading;
use borageladder_kernel::release::ReleaseStatus;
use borageladder_kernel::release::StateWrite;
use borageladder_kernel::release::StoredRelease;
use borageladder_kernel::release::WriteOutcome;
use borageladder_kernel::roster::StoreEra;
use borageladder_kernel::roster::StoreRevision;

/// The store's steady clock at the start of a trial.
pub(crate) const STORE_START: Duration = Duration::from_secs(1_000);

#[derive(Clone, Debug, Default)]
pub(crate) struct SimulatedStore {
    revision: u64,
    pub(crate) era: StoreEra,
    pub(crate) order: Option<ReleaseOrder>,
    pub(crate) state: Option<StoredRelease>,
    pub(crate) status: Option<ReleaseStatus>,
}

impl SimulatedStore {
    pub(crate) fn write_order(&mut self, target: &str, duration: Duration) {
        self.revision += 1;
        self.order = Some(ReleaseOrder {
            service: "drafter".parse().expect("a valid name"),
            revision: StoreRevision(self.revision),
            target: target.parse().expect("a valid name"),
            duration,
        });
    }

    /// Continues from an older copy.
    pub(crate) fn restore(&mut self, copy: Self) {
        let era = StoreEra(self.era.0 + 1);
        *self = Self { era, ..copy };
    }

    pub(crate) fn read(&self, now: ClockTime) -> ReleaseReading {
        ReleaseReading {
            store_time: STORE_START + now.since(ClockTime::ZERO),
            era: self.era,
            order: self.order.clone(),
            order_absent_at: None,
            state: self.state.clone(),
            state_revision: self.state_revision(),
        }
    }

    fn state_revision(&self) -> StoreRevision {
        let state = self.state.as_ref();
        state.map_or(StoreRevision(0), |stored| stored.revision)
    }

    /// Makes a write if its conditions hold.
    ///
    /// # Panics
    ///
    /// Panics if the write changes a final phase of its order, or belongs to another order.
    pub(crate) fn write(&mut self, write: &StateWrite) -> WriteOutcome {
        let order = self.order.as_ref();
        let order_revision = order.map_or(StoreRevision(0), |order| order.revision);
        if (write.order_revision, write.state_revision) != (order_revision, self.state_revision()) {
            return WriteOutcome::Conflict;
        }
        let state = &write.state;
        if let Some(order) = order {
            assert_eq!(state.order, *order, "a state of an order that was replaced");
        }
        if let Some(before) = self.state.as_ref().map(|stored| &stored.state)
            && before.order == state.order
        {
            let is_final = before.phase.is_final();
            assert!(!is_final, "{before:?} is followed by {state:?}");
            assert!(state.sequence > before.sequence, "{state:?} is not newer");
        }
        self.revision += 1;
        self.state = Some(StoredRelease {
            state: state.clone(),
            revision: StoreRevision(self.revision),
        });
        self.status = Some(state.phase.status());
        WriteOutcome::Committed
    }
}
