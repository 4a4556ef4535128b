//! Shared prompt prefixes with Zipf-distributed popularity.

use borageladder_kernel::name::BlockDigest;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Zipf;

use crate::model::BLOCK_TOKENS;

/// Number of shared prefixes of a deployment.
const PREFIX_COUNT: usize = 40;

/// Exponent of the Zipf distribution of prefix popularity.
const POPULARITY_EXPONENT: f64 = 1.0;

/// Probability that a request has no shared prefix, except in kinds whose requests arrive in runs
/// that share one.
const UNSHARED_SHARE: f64 = 0.1;

/// Minimum length of a shared prefix, in blocks.
const MIN_BLOCKS: usize = 8;

/// Maximum length of a shared prefix, in blocks.
const MAX_BLOCKS: usize = 48;

/// Workspace of each prefix, by the last decimal digit of its index.
///
/// The distribution is skewed: of ten prefixes, workspace 0 owns four, workspace 1 three, and
/// workspaces 2, 3 and 4 one each.
const WORKSPACE_OF_DIGIT: [usize; 10] = [0, 0, 0, 0, 1, 1, 1, 2, 3, 4];

/// Length in tokens and complete blocks of one prompt.
pub(super) struct PromptShape {
    pub(super) tokens: u32,
    pub(super) blocks: Vec<BlockDigest>,
}

/// Shared prefixes of a deployment, in descending order of popularity.
pub(super) struct PrefixPool {
    prefixes: Vec<Vec<BlockDigest>>,
}

impl PrefixPool {
    pub(super) fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(32));
        let prefixes = (0..PREFIX_COUNT)
            .map(|_| {
                let blocks = random.random_range(MIN_BLOCKS..=MAX_BLOCKS);
                (0..blocks).map(|_| BlockDigest(random.random())).collect()
            })
            .collect();
        Self { prefixes }
    }

    pub(super) fn total_blocks(&self) -> usize {
        self.prefixes.iter().map(Vec::len).sum()
    }

    /// Samples the index of a prefix, or `None` for a request without a shared prefix.
    pub(super) fn pick(&self, random: &mut impl Rng) -> Option<usize> {
        let shared = !random.random_bool(UNSHARED_SHARE);
        shared.then(|| self.pick_shared(random))
    }

    /// Samples the index of a shared prefix according to its popularity.
    pub(super) fn pick_shared(&self, random: &mut impl Rng) -> usize {
        let count = u32::try_from(self.prefixes.len()).map_or(1.0, f64::from);
        let Ok(distribution) = Zipf::new(count, POPULARITY_EXPONENT) else {
            return 0;
        };
        let rank: f64 = random.sample(distribution);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the rank is a whole number from 1 to the number of prefixes"
        )]
        let rank = rank as usize;
        rank.clamp(1, self.prefixes.len()) - 1
    }

    /// Returns the workspace that owns the prefix; requests without a prefix belong to workspace 0.
    pub(super) fn workspace(prefix: Option<usize>) -> usize {
        prefix.map_or(0, |index| {
            WORKSPACE_OF_DIGIT[index % WORKSPACE_OF_DIGIT.len()]
        })
    }

    /// Builds a prompt from a shared prefix and a unique suffix of `suffix_tokens` tokens.
    pub(super) fn prompt(
        &self,
        prefix: Option<usize>,
        suffix_tokens: u32,
        random: &mut impl Rng,
    ) -> PromptShape {
        let mut blocks = prefix.map_or_else(Vec::new, |index| self.prefixes[index].clone());
        let shared = u32::try_from(blocks.len()).unwrap_or(u32::MAX);
        for _ in 0..suffix_tokens / BLOCK_TOKENS {
            blocks.push(BlockDigest(random.random()));
        }
        PromptShape {
            tokens: shared * BLOCK_TOKENS + suffix_tokens,
            blocks,
        }
    }
}
