//! Shared prompt prefixes with a long tail.

use borageladder_kernel::name::BlockDigest;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Zipf;

use crate::model::BLOCK_TOKENS;

/// The shared prefixes of a deployment.
const PREFIXES: usize = 40;

/// The exponent of the prefixes' popularity.
const POPULARITY_EXPONENT: f64 = 1.0;

/// The share of requests without a shared prefix.
const UNSHARED_SHARE: f64 = 0.1;

/// The shortest shared prefix, in blocks.
const MIN_BLOCKS: usize = 8;

/// The longest shared prefix, in blocks.
const MAX_BLOCKS: usize = 48;

/// The workspace of each prefix, by the last digit of its position; a few are large.
const WORKSPACE_OF_DIGIT: [usize; 10] = [0, 0, 0, 0, 1, 1, 1, 2, 3, 4];

/// The length and the blocks of one prompt.
pub(super) struct PromptShape {
    pub(super) tokens: u32,
    pub(super) blocks: Vec<BlockDigest>,
}

/// The shared prefixes of a deployment, the most popular first.
pub(super) struct PrefixPool {
    prefixes: Vec<Vec<BlockDigest>>,
}

impl PrefixPool {
    pub(super) fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(32));
        let prefixes = (0..PREFIXES)
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

    /// Draws a prefix, or none for a request that shares nothing.
    pub(super) fn pick(&self, random: &mut impl Rng) -> Option<usize> {
        let shared = !random.random_bool(UNSHARED_SHARE);
        shared.then(|| self.pick_shared(random))
    }

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

    /// Returns the workspace whose callers use the prefix.
    pub(super) fn workspace(prefix: Option<usize>) -> usize {
        prefix.map_or(0, |position| {
            WORKSPACE_OF_DIGIT[position % WORKSPACE_OF_DIGIT.len()]
        })
    }

    /// Puts notes of their own behind a prefix.
    pub(super) fn prompt(
        &self,
        prefix: Option<usize>,
        notes_tokens: u32,
        random: &mut impl Rng,
    ) -> PromptShape {
        let mut blocks = prefix.map_or_else(Vec::new, |position| self.prefixes[position].clone());
        let shared = u32::try_from(blocks.len()).unwrap_or(u32::MAX);
        for _ in 0..notes_tokens / BLOCK_TOKENS {
            blocks.push(BlockDigest(random.random()));
        }
        PromptShape {
            tokens: shared * BLOCK_TOKENS + notes_tokens,
            blocks,
        }
    }
}
