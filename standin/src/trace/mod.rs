//! Synthetic request traces modelled on the two deployments, generated from a seed.

mod arrival;
mod fleet;
mod kind;
mod prefix;

use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::BlockDigest;
use borageladder_kernel::name::TierRank;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

pub use self::arrival::BurstWindow;
pub use self::fleet::FLEET_WORKERS;
pub use self::fleet::fleet_profiles;

use self::arrival::ArrivalClock;
use self::kind::KindSampler;

/// Number of tiers in each deployment.
pub const TIER_COUNT: usize = 4;

/// Utilisation of the engines by a trace at scale 1 if no prompt tokens are cached.
const BASE_UTILISATION: f64 = 0.8;

/// Number of sampled requests from which the mean engine time is estimated.
const SAMPLE_REQUESTS: usize = 4_096;

/// A deployment on which a trace is modelled.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeploymentKind {
    /// Shiretoko Quill Works, with its service `drafter`.
    Quill,
    /// Sargam Seats, with its service `maestro-llm`.
    Sargam,
}

impl DeploymentKind {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::Quill, Self::Sargam];

    /// Returns the short name used in tables and command-line arguments.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_standin::trace::DeploymentKind;
    ///
    /// assert_eq!(DeploymentKind::Sargam.name(), "sargam");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Quill => "quill",
            Self::Sargam => "sargam",
        }
    }

    /// Returns the name of the service that the requests of the trace are addressed to.
    #[must_use]
    pub const fn service(self) -> &'static str {
        match self {
            Self::Quill => "drafter",
            Self::Sargam => "maestro-llm",
        }
    }

    /// Returns the one-way latency between two processes in one region.
    #[must_use]
    pub const fn latency(self) -> Duration {
        match self {
            Self::Quill => Duration::from_micros(1_500),
            Self::Sargam => Duration::from_micros(500),
        }
    }
}

/// Parameters from which a trace is generated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceSpec {
    /// Deployment on which the trace is modelled.
    pub deployment: DeploymentKind,
    /// Load, as a multiple of the base load, at which the utilisation of the engines is 80 % if no
    /// prompt tokens are cached.
    pub scale: f64,
    /// Duration of the trace; every request arrives before its end.
    pub length: Duration,
    /// An additional burst on top of the periodic bursts of every trace.
    pub burst: Option<BurstWindow>,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// One request of a trace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceRequest {
    /// Arrival time, counted from the start of the trace.
    pub at: ClockTime,
    /// Tier of the request.
    pub tier: TierRank,
    /// Time from arrival within which the complete answer is due.
    pub budget: Duration,
    /// Index of the caller's workspace, from 0.
    pub workspace: usize,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Digests of the complete blocks of the prompt, in prompt order.
    pub blocks: Vec<BlockDigest>,
    /// Actual length of the answer, in tokens; not visible to the scheduler in advance.
    pub answer_tokens: u32,
    /// Maximum number of answer tokens requested by the caller.
    pub max_answer_tokens: u32,
}

/// A generated request trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Requests in the order of arrival.
    pub requests: Vec<TraceRequest>,
    /// Total number of blocks of all shared prefixes.
    pub prefix_blocks: usize,
}

impl Trace {
    /// Generates the trace; equal specifications give equal traces.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use borageladder_standin::trace::DeploymentKind;
    /// use borageladder_standin::trace::Trace;
    /// use borageladder_standin::trace::TraceSpec;
    ///
    /// let spec = TraceSpec {
    ///     deployment: DeploymentKind::Quill,
    ///     scale: 1.0,
    ///     length: Duration::from_secs(10),
    ///     burst: None,
    ///     seed: 7,
    /// };
    /// assert_eq!(Trace::new(&spec), Trace::new(&spec));
    /// ```
    #[must_use]
    pub fn new(spec: &TraceSpec) -> Self {
        let mut sampler = KindSampler::new(spec.deployment, spec.seed);
        let rate = spec.scale * base_rate(&mut sampler, spec.seed);
        let mut random = StdRng::seed_from_u64(spec.seed);
        let mut clock = ArrivalClock::new(rate, spec.burst, &mut random);
        let end = ClockTime::ZERO + spec.length;
        let mut requests = Vec::new();
        loop {
            let at = clock.next(&mut random);
            if at >= end {
                break;
            }
            requests.push(sampler.sample(at, &mut random));
        }
        Self {
            requests,
            prefix_blocks: sampler.prefix_blocks(),
        }
    }
}

/// Returns the arrival rate, in requests per second, that gives [`BASE_UTILISATION`].
fn base_rate(sampler: &mut KindSampler, seed: u64) -> f64 {
    let mut random = StdRng::seed_from_u64(!seed);
    let mut work = 0.0;
    for _ in 0..SAMPLE_REQUESTS {
        let request = sampler.sample(ClockTime::ZERO, &mut random);
        work += fleet::fleet_seconds(&request);
    }
    let count = u32::try_from(SAMPLE_REQUESTS).map_or(f64::MAX, f64::from);
    BASE_UTILISATION * count / work
}
