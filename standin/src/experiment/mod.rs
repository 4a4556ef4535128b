//! Experiments that run scheduling policies against engine models in virtual time.
//!
//! An experiment simulates the broker of one cell, its entries and its engines. The network is
//! modelled as one constant latency per message, and a host as the entry that dispatches its
//! requests.

mod bound;
mod entry;
mod event;
mod fault;
mod measure;
mod record;
mod run;
mod upstream;
mod worker;

use std::panic::resume_unwind;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use borageladder_kernel::broker::BrokerError;
use borageladder_kernel::name::NameError;
use serde::Serialize;
use thiserror::Error;

pub use self::bound::BASELINES;
pub use self::bound::BoundCheck;
pub use self::bound::check_bounds;
pub use self::fault::FaultError;
pub use self::fault::FaultKind;
pub use self::measure::ExperimentResult;
pub use self::measure::PrefillMeasure;
pub use self::measure::RefusalCount;
pub use self::measure::TierMeasure;

use self::run::ExperimentRun;
use crate::trace::DeploymentKind;

/// Limit on waiting requests for experiments that do not test this limit.
pub const MAX_WAITING: usize = 100_000;

/// Parameters of an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ExperimentSpec {
    /// Deployment on which the trace is modelled.
    pub deployment: DeploymentKind,
    /// Load, as a multiple of the base load of the trace.
    pub scale: f64,
    /// Injected fault.
    pub fault: FaultKind,
    /// Name of the scheduling policy.
    pub policy: &'static str,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Duration of the trace; the experiment continues afterwards to let waiting requests end.
    pub length: Duration,
    /// Maximum number of requests waiting at the broker.
    pub max_waiting: usize,
}

/// Error that prevents an experiment from running.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The broker rejects its settings, for example an unknown policy.
    #[error("the broker rejects its settings")]
    Broker(#[from] BrokerError),
    /// A generated host, worker or workspace name is invalid.
    #[error("the experiment uses an invalid name")]
    Name(#[from] NameError),
}

/// Runs one experiment; equal specifications give equal results.
///
/// # Errors
///
/// Returns [`ExperimentError`] if no policy with the name is registered or a generated name is
/// invalid.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_standin::experiment;
/// use borageladder_standin::experiment::ExperimentSpec;
/// use borageladder_standin::experiment::FaultKind;
/// use borageladder_standin::trace::DeploymentKind;
///
/// # fn main() -> Result<(), experiment::ExperimentError> {
/// let result = experiment::run(&ExperimentSpec {
///     deployment: DeploymentKind::Quill,
///     scale: 1.0,
///     fault: FaultKind::Calm,
///     policy: "round-robin",
///     seed: 7,
///     length: Duration::from_secs(5),
///     max_waiting: experiment::MAX_WAITING,
/// })?;
/// assert_eq!(result.dispatched_twice, 0);
/// # Ok(())
/// # }
/// ```
pub fn run(spec: &ExperimentSpec) -> Result<ExperimentResult, ExperimentError> {
    let run = ExperimentRun::new(*spec)?;
    Ok(run.run_to_end())
}

/// Runs experiments on up to `threads` threads and returns their results in the order of `specs`.
///
/// # Errors
///
/// Returns the error of the first of `specs` that fails, after all experiments have ended.
pub fn run_all(
    specs: &[ExperimentSpec],
    threads: usize,
) -> Result<Vec<ExperimentResult>, ExperimentError> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut results = Vec::new();
        loop {
            let position = next.fetch_add(1, Ordering::Relaxed);
            let Some(spec) = specs.get(position) else {
                return results;
            };
            results.push((position, run(spec)));
        }
    };
    let mut results = thread::scope(|scope| {
        let handles: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        let joined = handles.into_iter().map(thread::ScopedJoinHandle::join);
        let joined = joined.map(|results| results.unwrap_or_else(|cause| resume_unwind(cause)));
        joined.flatten().collect::<Vec<_>>()
    });
    results.sort_by_key(|(position, _)| *position);
    results.into_iter().map(|(_, result)| result).collect()
}
