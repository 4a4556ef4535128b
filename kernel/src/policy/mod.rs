//! Scheduling policies: the order of waiting requests and the choice of a worker for each.
//!
//! Each policy has its own file and registers itself by submitting a [`PolicyEntry`]. Adding one
//! needs only its file and the `mod` line here.

mod arrival_order;
mod first_token;
mod least_loaded;
mod predicted_finish;
mod predicted_finish_deferral;
mod prefix_affinity;
mod prefix_hash;
mod round_robin;
mod view;

use std::fmt;
use std::time::Duration;

pub use self::first_token::FIRST_TOKEN_POLICY;
pub use self::view::ChoiceView;
pub use self::view::OpenCandidate;
pub use self::view::WorkerCandidate;
use crate::limit::LimitMode;
use crate::queue::QueueOrder;

/// The default multiple of the median token gap above which a worker is a straggler.
const STRAGGLER_FACTOR: u64 = 3;

/// The name of the policy that is used unless the settings name another one.
pub const DEFAULT_POLICY: &str = "prefix-affinity";

/// A scheduling policy.
pub trait WorkerPolicy: Sync {
    /// Returns the name by which settings refer to the policy.
    fn name(&self) -> &'static str;

    /// Returns the order in which waiting requests are served.
    fn order(&self) -> QueueOrder {
        QueueOrder::TierDeadline
    }

    /// Returns how the concurrency limits of workers are determined.
    fn limits(&self) -> LimitMode {
        LimitMode::Adaptive
    }

    /// Returns whether a request is refused as soon as it is predicted to miss its deadline or to
    /// exceed the longest wait.
    fn refuses_early(&self) -> bool {
        true
    }

    /// Returns which workers are candidates for a request.
    fn candidate_scope(&self) -> CandidateScope {
        CandidateScope::All
    }

    /// Returns the longest wait for a slot as a share of the first-token target, in percent; `None`
    /// if only the deadline of the whole answer bounds the wait.
    fn max_wait_percent(&self) -> Option<u32> {
        None
    }

    /// Returns whether the retry-after times of refused callers are staggered.
    fn staggers_retries(&self) -> bool {
        false
    }

    /// Returns the multiple of the median token gap above which a worker is a straggler; `None` if
    /// slow workers are never treated as stragglers.
    fn straggler_factor(&self) -> Option<u64> {
        Some(STRAGGLER_FACTOR)
    }

    /// Returns whether an open candidate suits the request, so that it need not wait for another
    /// one.
    fn has_suitable_worker(&self, view: &ChoiceView<'_>) -> bool {
        view.open().next().is_some()
    }

    /// Chooses a worker for a request; at least one candidate must be open.
    fn choose(&self, view: &ChoiceView<'_>) -> Choice;
}

/// The workers that are candidates for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CandidateScope {
    /// All workers that serve the request.
    All,
    /// The fastest workers, the homes of the request's prefix, a bounded number of open workers and
    /// a bounded number of those that hold or compute its first block, so that the cost of a choice
    /// does not depend on the size of the cell.
    Related,
}

/// The decision of a policy for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The request is granted a slot of the candidate now.
    Worker {
        /// The position of the candidate in the view.
        candidate: usize,
        /// The reason, as shown by `explain`.
        reason: ChoiceReason,
    },
    /// The request is deferred until the candidate has a free slot or has finished computing the
    /// prefix of the request. If the candidate is open and computes no such prefix, or enough
    /// requests wait for that prefix already, the slot is granted at once.
    Wait {
        /// The position of the candidate in the view.
        candidate: usize,
        /// The longest deferral; afterwards the request is not deferred again.
        max_deferral: Duration,
    },
}

/// The reason why a worker was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceReason {
    /// The worker was idle and the request must run alone.
    Alone,
    /// The worker ranks first by rendezvous hash of the prefix among those below the load bound.
    Hashed,
    /// The worker had the lowest load.
    LeastLoaded,
    /// The worker was a straggler, and the request, which has slack, probes whether it still is.
    Probe,
    /// The worker was next in rotation, or the request was to be deferred to it and it was open.
    Turn,
    /// The worker had the lowest cost among those predicted to miss the fewest targets.
    FirstToken {
        /// The predicted time to the first token.
        first: Duration,
    },
    /// The worker had the lowest cost, which is based on the predicted finish and the prefill time.
    EarliestFinish {
        /// The predicted time until the answer is complete.
        finish: Duration,
        /// The number of prompt tokens that the worker has cached.
        cached_tokens: u32,
        /// The number of candidates that were open.
        open: usize,
    },
}

impl fmt::Display for ChoiceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Alone => f.write_str("idle worker for a request that must run alone"),
            Self::Hashed => f.write_str("first worker for the prefix below the load bound"),
            Self::LeastLoaded => f.write_str("least load"),
            Self::Probe => f.write_str("probe of a straggler"),
            Self::Turn => f.write_str("its turn"),
            Self::FirstToken { first } => {
                write!(f, "first token in {} ms", first.as_millis())
            }
            Self::EarliestFinish {
                finish,
                cached_tokens,
                open,
            } => write!(
                f,
                "best of {open} with room: finish in {} ms, {cached_tokens} prompt tokens cached",
                finish.as_millis()
            ),
        }
    }
}

/// The registration of a policy.
pub struct PolicyEntry {
    /// The registered policy.
    pub policy: &'static dyn WorkerPolicy,
}

impl fmt::Debug for PolicyEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("PolicyEntry")
            .field(&self.policy.name())
            .finish()
    }
}

inventory::collect!(PolicyEntry);

/// Returns the policy registered under `name`, or `None` if there is none.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::policy;
///
/// assert!(policy::find("predicted-finish").is_some());
/// assert!(policy::find("coin-toss").is_none());
/// ```
#[must_use]
pub fn find(name: &str) -> Option<&'static dyn WorkerPolicy> {
    all().into_iter().find(|policy| policy.name() == name)
}

/// Returns all registered policies, sorted by name.
#[must_use]
pub fn all() -> Vec<&'static dyn WorkerPolicy> {
    let mut policies: Vec<_> = inventory::iter::<PolicyEntry>()
        .map(|entry| entry.policy)
        .collect();
    policies.sort_by_key(|policy| policy.name());
    policies
}
