//! Request traces shaped like the two deployments, made from a seed.

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

/// The tiers of both deployments.
pub const TIER_COUNT: usize = 4;

/// The share of the engines' time that a trace at scale 1 needs if every prompt is computed whole.
const FITTING_SHARE: f64 = 0.8;

/// The requests from which the mean engine time of a trace is estimated.
const SAMPLE_REQUESTS: usize = 4_096;

/// One of the deployments that a trace is shaped like.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeploymentKind {
    /// Shiretoko Quill Works, with its service `drafter`.
    Quill,
    /// Sargam Seats, with its service `maestro-llm`.
    Sargam,
}

impl DeploymentKind {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Quill, Self::Sargam];

    /// Returns the short name, as it stands in tables and arguments.
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

    /// Returns the name of the service whose requests the trace holds.
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

/// What a trace is made from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceSpec {
    /// The deployment.
    pub deployment: DeploymentKind,
    /// The load, as a multiple of the load that fits.
    pub scale: f64,
    /// The time from the first to the last arrival.
    pub length: Duration,
    /// A burst besides those that every trace has.
    pub burst: Option<BurstWindow>,
    /// The seed of all randomness.
    pub seed: u64,
}

/// One request of a trace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceRequest {
    /// The time of arrival.
    pub at: ClockTime,
    /// The tier in which the request is placed.
    pub tier: TierRank,
    /// The time within which the whole answer is due.
    pub budget: Duration,
    /// The number of the caller's workspace, from 0.
    pub workspace: usize,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The digests of all whole blocks of the prompt.
    pub blocks: Vec<BlockDigest>,
    /// The length of the answer, in tokens, which nobody knows beforehand.
    pub answer_tokens: u32,
    /// The most tokens that the caller asks for.
    pub max_answer_tokens: u32,
}

/// A trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The requests in the order of arrival.
    pub requests: Vec<TraceRequest>,
    /// The blocks that all shared prefixes have together.
    pub prefix_blocks: usize,
}

impl Trace {
    /// Makes the trace; equal specifications give equal traces.
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
        let rate = spec.scale * fitting_rate(&mut sampler, spec.seed);
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

/// Returns the arrivals a second at which the engines are busy for [`FITTING_SHARE`] of the time.
fn fitting_rate(sampler: &mut KindSampler, seed: u64) -> f64 {
    let mut random = StdRng::seed_from_u64(!seed);
    let mut work = 0.0;
    for _ in 0..SAMPLE_REQUESTS {
        let request = sampler.sample(ClockTime::ZERO, &mut random);
        work += fleet::engine_share(&request);
    }
    let count = u32::try_from(SAMPLE_REQUESTS).map_or(f64::MAX, f64::from);
    FITTING_SHARE * count / work
}
