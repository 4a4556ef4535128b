//! The state of the workers of an experiment.

use borageladder_kernel::ask::CacheBatch;
use borageladder_kernel::ask::CellWorker;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::BlockDigest;
use borageladder_kernel::name::ModelName;
use borageladder_kernel::name::NameError;
use borageladder_kernel::name::WorkerName;

use crate::model::BLOCK_TOKENS;
use crate::model::EngineModel;
use crate::model::EngineProfile;

/// A worker and its engine model.
///
/// `last_cache_event` is the number of the last cache event read.
#[derive(Debug)]
pub(super) struct FleetWorker {
    pub(super) name: WorkerName,
    pub(super) engine: EngineModel,
    pub(super) alive: bool,
    /// Time of the scheduled wake-up, or `None` if none is scheduled.
    pub(super) wake_at: Option<ClockTime>,
    max_running: u32,
    last_cache_event: u64,
}

/// The workers of the cell.
#[derive(Debug)]
pub(super) struct WorkerFleet {
    pub(super) workers: Vec<FleetWorker>,
    model: ModelName,
}

impl WorkerFleet {
    pub(super) fn new(profiles: Vec<EngineProfile>, model: ModelName) -> Result<Self, NameError> {
        let workers = profiles.into_iter().enumerate().map(|(index, profile)| {
            let max_running = u32::try_from(profile.max_batch).unwrap_or(u32::MAX);
            Ok(FleetWorker {
                name: WorkerName::try_from(format!("worker-{index:02}"))?,
                engine: EngineModel::new(profile),
                alive: true,
                wake_at: None,
                max_running,
                last_cache_event: 0,
            })
        });
        Ok(Self {
            workers: workers.collect::<Result<_, NameError>>()?,
            model,
        })
    }

    pub(super) fn model(&self) -> &ModelName {
        &self.model
    }

    pub(super) fn position(&self, name: &WorkerName) -> Option<usize> {
        self.workers.iter().position(|worker| worker.name == *name)
    }

    /// Returns the live workers as the broker receives them from the configuration.
    pub(super) fn live_workers(&self) -> Vec<CellWorker> {
        let live = self.workers.iter().filter(|worker| worker.alive);
        live.map(|worker| CellWorker {
            worker: worker.name.clone(),
            models: vec![self.model.clone()],
            version: None,
            max_running: worker.max_running,
            location: None,
        })
        .collect()
    }

    /// Returns the number of leading prompt tokens beyond `cached_tokens` that another live worker
    /// has cached.
    pub(super) fn cached_elsewhere(
        &self,
        blocks: &[BlockDigest],
        worker: usize,
        cached_tokens: u32,
    ) -> u32 {
        let others = self.workers.iter().enumerate();
        let others = others.filter(|(index, other)| *index != worker && other.alive);
        let longest = others.map(|(_, other)| other.engine.cached_blocks(blocks));
        let tokens = u32::try_from(longest.max().unwrap_or(0)).unwrap_or(u32::MAX);
        (tokens * BLOCK_TOKENS).saturating_sub(cached_tokens)
    }
}

impl FleetWorker {
    /// Returns the cache events since the previous call.
    pub(super) fn read_cache_events(&mut self) -> CacheBatch {
        let batch = self.engine.cache_events(self.last_cache_event);
        let count = u64::try_from(batch.events.len()).unwrap_or(u64::MAX);
        self.last_cache_event = batch.first.saturating_add(count) - 1;
        batch
    }
}
