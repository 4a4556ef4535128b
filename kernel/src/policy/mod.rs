//! Policies that choose a worker for a request, registered by themselves.
//!
//! Each policy stands in a file of its own and submits a [`PolicyEntry`]; nothing else has to change
//! when one is added.

mod arrival_order;
mod first_token;
mod least_loaded;
mod predicted_finish;
mod predicted_finish_patient;
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

/// The factor over the median token gap from which on a worker is a straggler.
const STRAGGLER_FACTOR: u64 = 3;

/// The name of the policy that is used unless another one is set.
pub const DEFAULT_POLICY: &str = "prefix-affinity";

/// A way to order what waits and to choose a worker.
pub trait WorkerPolicy: Sync {
    /// Returns the name by which settings refer to the policy.
    fn name(&self) -> &'static str;

    /// Returns the order in which waiting requests are served.
    fn order(&self) -> QueueOrder {
        QueueOrder::TierDeadline
    }

    /// Returns how the limits of workers come about.
    fn limits(&self) -> LimitMode {
        LimitMode::Learned
    }

    /// Returns whether a request is refused as soon as its deadline can't be met.
    fn refuses_early(&self) -> bool {
        true
    }

    /// Returns which workers the policy weighs.
    fn weighs(&self) -> CandidateScope {
        CandidateScope::All
    }

    /// Returns the longest wait for a slot as a part of the time until the first token is due, in
    /// percent; `None` if only the deadline of the whole answer bounds it.
    fn wait_percent(&self) -> Option<u32> {
        None
    }

    /// Returns whether callers who are refused are told to come back one after the other.
    fn spreads_returns(&self) -> bool {
        false
    }

    /// Returns the factor over the median token gap from which on a worker is a straggler; `None` if
    /// slow workers are worth their slots.
    fn straggler_factor(&self) -> Option<u64> {
        Some(STRAGGLER_FACTOR)
    }

    /// Returns whether a candidate with room suits the request, so that it would not wait for another.
    fn suits_now(&self, view: &ChoiceView<'_>) -> bool {
        view.open().next().is_some()
    }

    /// Chooses a worker for a request; at least one candidate has room.
    fn choose(&self, view: &ChoiceView<'_>) -> Choice;
}

/// The workers that a policy weighs for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CandidateScope {
    /// All workers that serve the request.
    All,
    /// The fastest workers, a bounded number of those with room, and a bounded number of those that
    /// hold or compute the request's prefix, so that a choice costs the same in a cell of any size.
    Related,
}

/// What a policy decided for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The request goes to the candidate now.
    Worker {
        /// The position of the candidate in the view.
        candidate: usize,
        /// The reason, for `explain`.
        reason: ChoiceReason,
    },
    /// The request waits for the candidate: for a free slot there, or for a prefix that the
    /// candidate is computing.
    Wait {
        /// The position of the candidate in the view.
        candidate: usize,
        /// The longest time to wait; afterwards the request does not wait for a candidate again.
        patience: Duration,
    },
}

/// The reason why a worker was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceReason {
    /// The worker was idle and the request must run alone.
    Alone,
    /// The worker comes first for the request's prefix among those below the bound on their load.
    Hashed,
    /// The worker had the least load.
    LeastLoaded,
    /// The worker was a straggler and the request, which has time to spare, shows whether it still is.
    Probe,
    /// It was the worker's turn.
    Turn,
    /// The worker is predicted to give the first token soonest.
    FirstToken {
        /// The predicted time to the first token.
        first: Duration,
    },
    /// The worker is predicted to finish first, counting the weight of its cached prefix.
    Soonest {
        /// The predicted time until the answer is whole.
        finish: Duration,
        /// The prompt tokens that the worker has cached.
        cached_tokens: u32,
        /// The number of workers that had room.
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
            Self::Soonest {
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
    /// The policy.
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

/// Returns the registered policy with the name.
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

/// Returns all registered policies in the order of their names.
#[must_use]
pub fn all() -> Vec<&'static dyn WorkerPolicy> {
    let mut policies: Vec<_> = inventory::iter::<PolicyEntry>()
        .map(|entry| entry.policy)
        .collect();
    policies.sort_by_key(|policy| policy.name());
    policies
}
