//! The request kinds of each deployment, one per tier, and their sampling.

use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::TierRank;
use rand::Rng;
use rand::RngExt;
use rand_distr::LogNormal;

use super::DeploymentKind;
use super::TraceRequest;
use super::prefix::PrefixPool;

/// Number of consecutive requests with the same prefix in kinds with [`KindSpec::by_prefix`].
const PREFIX_RUN_LENGTH: u32 = 25;

/// A log-normal distribution of lengths in tokens, clamped to `min..=max`.
#[derive(Clone, Copy, Debug)]
struct LengthSpec {
    median: f64,
    sigma: f64,
    min: u32,
    max: u32,
}

const fn length_spec(median: f64, sigma: f64, min: u32, max: u32) -> LengthSpec {
    LengthSpec {
        median,
        sigma,
        min,
        max,
    }
}

impl LengthSpec {
    fn sample(&self, random: &mut impl Rng) -> u32 {
        let Ok(distribution) = LogNormal::new(self.median.ln(), self.sigma) else {
            return self.min;
        };
        let bounds = f64::from(self.min)..=f64::from(self.max);
        let length = random.sample(distribution);
        let length = length.clamp(*bounds.start(), *bounds.end()).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the length was clamped to the range of the bounds"
        )]
        let length = length as u32;
        length
    }
}

/// Parameters of one request kind.
///
/// `share` is the fraction of the deployment's requests; `budget` is the time from arrival to the
/// deadline; `suffix` is the part of the prompt after the shared prefix. With `by_prefix`, requests
/// arrive in runs that share one prefix.
#[derive(Clone, Copy, Debug)]
struct KindSpec {
    tier: u8,
    share: f64,
    budget: Duration,
    suffix: LengthSpec,
    answer: LengthSpec,
    by_prefix: bool,
}

const QUILL_KINDS: [KindSpec; 4] = [
    // Interactive drafting of a full letter for a hearing.
    KindSpec {
        tier: 0,
        share: 0.25,
        budget: Duration::from_mins(1),
        suffix: length_spec(500.0, 0.7, 100, 3_000),
        answer: length_spec(300.0, 0.5, 80, 900),
        by_prefix: false,
    },
    // Revision of one paragraph.
    KindSpec {
        tier: 1,
        share: 0.3,
        budget: Duration::from_secs(15),
        suffix: length_spec(200.0, 0.5, 60, 800),
        answer: length_spec(80.0, 0.5, 20, 240),
        by_prefix: false,
    },
    // Classification of a contract clause.
    KindSpec {
        tier: 2,
        share: 0.25,
        budget: Duration::from_secs(10),
        suffix: length_spec(80.0, 0.4, 30, 300),
        answer: length_spec(8.0, 0.4, 4, 24),
        by_prefix: false,
    },
    // Letters drafted in advance, with no user waiting.
    KindSpec {
        tier: 3,
        share: 0.2,
        budget: Duration::from_mins(3),
        suffix: length_spec(900.0, 0.9, 100, 6_000),
        answer: length_spec(300.0, 0.5, 80, 900),
        by_prefix: false,
    },
];

const SARGAM_KINDS: [KindSpec; 4] = [
    // Interactive answers to a teacher who is with a child.
    KindSpec {
        tier: 0,
        share: 0.25,
        budget: Duration::from_secs(20),
        suffix: length_spec(200.0, 0.6, 40, 1_200),
        answer: length_spec(100.0, 0.5, 20, 300),
        by_prefix: false,
    },
    // Feedback on repertoire.
    KindSpec {
        tier: 1,
        share: 0.2,
        budget: Duration::from_secs(45),
        suffix: length_spec(300.0, 0.6, 60, 1_500),
        answer: length_spec(220.0, 0.5, 60, 700),
        by_prefix: false,
    },
    // Summary of a panel.
    KindSpec {
        tier: 2,
        share: 0.15,
        budget: Duration::from_mins(1),
        suffix: length_spec(1_500.0, 0.6, 300, 6_000),
        answer: length_spec(200.0, 0.5, 60, 600),
        by_prefix: false,
    },
    // Overnight batch scoring, one recording per request.
    KindSpec {
        tier: 3,
        share: 0.4,
        budget: Duration::from_mins(5),
        suffix: length_spec(300.0, 0.8, 40, 3_000),
        answer: length_spec(12.0, 0.5, 4, 60),
        by_prefix: true,
    },
];

/// Samples requests of one deployment.
pub(super) struct KindSampler {
    kinds: &'static [KindSpec; 4],
    pool: PrefixPool,
    run_left: u32,
    run_prefix: usize,
}

impl KindSampler {
    pub(super) fn new(deployment: DeploymentKind, seed: u64) -> Self {
        let kinds = match deployment {
            DeploymentKind::Quill => &QUILL_KINDS,
            DeploymentKind::Sargam => &SARGAM_KINDS,
        };
        Self {
            kinds,
            pool: PrefixPool::new(seed),
            run_left: 0,
            run_prefix: 0,
        }
    }

    pub(super) fn prefix_blocks(&self) -> usize {
        self.pool.total_blocks()
    }

    pub(super) fn sample(&mut self, at: ClockTime, random: &mut impl Rng) -> TraceRequest {
        let kind = self.pick_kind(random);
        let prefix = self.pick_prefix(kind, random);
        let suffix_tokens = kind.suffix.sample(random);
        let prompt = self.pool.prompt(prefix, suffix_tokens, random);
        TraceRequest {
            at,
            tier: TierRank(kind.tier),
            budget: kind.budget,
            workspace: PrefixPool::workspace(prefix),
            prompt_tokens: prompt.tokens,
            blocks: prompt.blocks,
            answer_tokens: kind.answer.sample(random),
            max_answer_tokens: kind.answer.max,
        }
    }

    fn pick_kind(&self, random: &mut impl Rng) -> KindSpec {
        let mut point: f64 = random.random();
        for kind in self.kinds {
            if point < kind.share {
                return *kind;
            }
            point -= kind.share;
        }
        self.kinds[0]
    }

    fn pick_prefix(&mut self, kind: KindSpec, random: &mut impl Rng) -> Option<usize> {
        if !kind.by_prefix {
            return self.pool.pick(random);
        }
        if self.run_left == 0 {
            self.run_left = PREFIX_RUN_LENGTH;
            self.run_prefix = self.pool.pick_shared(random);
        }
        self.run_left -= 1;
        Some(self.run_prefix)
    }
}
