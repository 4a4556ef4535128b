//! The workers of an experiment.

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

/// A worker with its engine.
#[derive(Debug)]
pub(super) struct FleetWorker {
    pub(super) name: WorkerName,
    pub(super) engine: EngineModel,
    pub(super) alive: bool,
    /// The time of the wake-up that is scheduled, if one is.
    pub(super) wake_at: Option<ClockTime>,
    max_running: u32,
    cache_read: u64,
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
                cache_read: 0,
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

    /// Returns the live workers, as configuration lists them.
    pub(super) fn listed(&self) -> Vec<CellWorker> {
        let live = self.workers.iter().filter(|worker| worker.alive);
        live.map(|worker| CellWorker {
            worker: worker.name.clone(),
            models: vec![self.model.clone()],
            max_running: worker.max_running,
            location: None,
        })
        .collect()
    }

    /// Returns the prompt tokens that some other live worker has cached beyond `cached_tokens`.
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
    /// Reads the cache events since the last reading.
    pub(super) fn read_cache(&mut self) -> CacheBatch {
        let batch = self.engine.cache_events(self.cache_read);
        let count = u64::try_from(batch.changes.len()).unwrap_or(u64::MAX);
        self.cache_read = batch.first.saturating_add(count) - 1;
        batch
    }
}
