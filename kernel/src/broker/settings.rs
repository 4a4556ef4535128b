//! Settings of a broker and the errors they can cause.

use std::time::Duration;

use thiserror::Error;

use crate::policy::DEFAULT_POLICY;

/// How a broker grants slots to suspects: requests that may crash their workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectPlacement {
    /// Each of them runs alone on an idle worker.
    Alone,
    /// One of them runs at a time in the cell; its worker is granted nothing else meanwhile.
    OneByOne,
}

/// The settings of the broker of one cell.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::broker::BrokerSettings;
///
/// let settings = BrokerSettings::default()
///     .with_incarnation(0x51)
///     .with_takeover_time(Duration::ZERO);
/// assert_eq!(settings.policy, "prefix-affinity");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokerSettings {
    /// The random number, drawn at the start of the process, that distinguishes the grants of its
    /// brokers from those of other processes.
    pub incarnation: u64,
    /// The name of a registered policy.
    pub policy: &'static str,
    /// The time after which an unused grant expires.
    pub grant_lifetime: Duration,
    /// The maximum number of requests that wait in the cell; more are shed.
    pub max_waiting: usize,
    /// The time for which a new broker grants no slots, so that entries can declare their running
    /// work.
    pub takeover_time: Duration,
    /// The seed for the random choices of a policy; no registered policy makes any.
    pub seed: u64,
    /// How suspects are granted slots.
    pub suspects: SuspectPlacement,
    /// Whether requests that can no longer meet their latency target wait in a class of their own
    /// instead of being refused.
    pub late_work: bool,
    /// Whether waiting requests of a tier are ordered by fair shares between workspaces.
    pub fair_shares: bool,
}

impl Default for BrokerSettings {
    fn default() -> Self {
        Self {
            incarnation: 0,
            policy: DEFAULT_POLICY,
            grant_lifetime: Duration::from_secs(2),
            max_waiting: 100_000,
            takeover_time: Duration::from_secs(1),
            seed: 0,
            suspects: SuspectPlacement::Alone,
            late_work: false,
            fair_shares: false,
        }
    }
}

impl BrokerSettings {
    /// Sets the incarnation of the broker.
    #[must_use]
    pub const fn with_incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the name of the policy.
    #[must_use]
    pub const fn with_policy(mut self, policy: &'static str) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the time after which an unused grant expires.
    #[must_use]
    pub const fn with_grant_lifetime(mut self, lifetime: Duration) -> Self {
        self.grant_lifetime = lifetime;
        self
    }

    /// Sets the maximum number of waiting requests.
    #[must_use]
    pub const fn with_max_waiting(mut self, waiting: usize) -> Self {
        self.max_waiting = waiting;
        self
    }

    /// Sets the time for which a new broker grants no slots.
    #[must_use]
    pub const fn with_takeover_time(mut self, time: Duration) -> Self {
        self.takeover_time = time;
        self
    }

    /// Sets the seed for the random choices of a policy.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets how suspects are granted slots.
    #[must_use]
    pub const fn with_suspects(mut self, placement: SuspectPlacement) -> Self {
        self.suspects = placement;
        self
    }

    /// Sets whether requests that can no longer meet their latency target wait for idle slots.
    #[must_use]
    pub const fn with_late_work(mut self, late_work: bool) -> Self {
        self.late_work = late_work;
        self
    }

    /// Sets whether waiting requests of a tier are ordered by fair shares between workspaces.
    #[must_use]
    pub const fn with_fair_shares(mut self, fair_shares: bool) -> Self {
        self.fair_shares = fair_shares;
        self
    }
}

/// An error that prevents the creation of a broker.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BrokerError {
    /// The settings name a policy that is not registered.
    #[error("no policy is named {name:?}")]
    UnknownPolicy {
        /// The name in the settings.
        name: String,
    },
}
