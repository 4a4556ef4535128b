//! The text of a prompt, its approximate length in tokens and the digests of its blocks and parts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::name::BlockDigest;

/// The number of bytes of prompt text that are counted as one token.
pub const TOKEN_BYTES: usize = 4;

/// The number of tokens in one block of a prefix cache.
pub const BLOCK_TOKENS: usize = 64;

/// The number of bytes of prompt text in one block of a prefix cache.
pub const BLOCK_BYTES: usize = BLOCK_TOKENS * TOKEN_BYTES;

/// The digest of the identifier of one part of a prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartDigest(pub u64);

impl PartDigest {
    /// Returns the digest of the part with an identifier.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::prompt::PartDigest;
    ///
    /// assert_eq!(PartDigest::of("5c1e07a2"), PartDigest::of("5c1e07a2"));
    /// assert_ne!(PartDigest::of("5c1e07a2"), PartDigest::of("91bd3f06"));
    /// ```
    #[must_use]
    pub fn of(identifier: &str) -> Self {
        let hash = blake3::hash(identifier.as_bytes());
        let leading = hash.as_bytes().first_chunk();
        Self(leading.copied().map(u64::from_le_bytes).unwrap_or_default())
    }
}

impl fmt::Display for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Returns the prompt text of a completion request.
///
/// This is the `prompt` member or, in its absence, the `content` members of `messages`, joined by
/// line feeds. A `prompt` that is not a string counts as empty, and a `content` that is not one is
/// skipped.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::prompt::prompt_text;
/// use serde_json::json;
///
/// let body = json!({"messages": [{"content": "rules"}, {"content": "notes"}]});
/// assert_eq!(prompt_text(&body), "rules\nnotes");
/// assert_eq!(prompt_text(&json!({"prompt": "notes"})), "notes");
/// ```
#[must_use]
pub fn prompt_text(body: &Value) -> String {
    if let Some(prompt) = body.get("prompt") {
        return prompt.as_str().unwrap_or_default().to_owned();
    }
    let Some(messages) = body.get("messages").and_then(Value::as_array) else {
        return String::new();
    };
    let contents: Vec<&str> = messages.iter().filter_map(message_content).collect();
    contents.join("\n")
}

fn message_content(message: &Value) -> Option<&str> {
    message.get("content")?.as_str()
}

/// Returns the approximate length of a prompt in tokens of [`TOKEN_BYTES`] bytes each, rounded up.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::prompt::prompt_tokens;
///
/// assert_eq!(prompt_tokens(""), 0);
/// assert_eq!(prompt_tokens("notes"), 2);
/// ```
#[must_use]
pub fn prompt_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// Returns the chained digests of the leading complete blocks of a prompt, at most `max_blocks`.
///
/// Each digest covers its block and all blocks before it, so that equal digests mean equal
/// prefixes.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::prompt::BLOCK_BYTES;
/// use borageladder_kernel::prompt::block_digests;
///
/// let rules = "r".repeat(2 * BLOCK_BYTES);
/// let request = format!("{rules}notes");
/// assert_eq!(block_digests(&request, 8), block_digests(&rules, 8));
/// assert_eq!(block_digests(&request, 1).len(), 1);
/// ```
#[must_use]
pub fn block_digests(text: &str, max_blocks: usize) -> Vec<BlockDigest> {
    let mut digests = Vec::new();
    let mut previous = BlockDigest(0);
    for block in text.as_bytes().chunks_exact(BLOCK_BYTES).take(max_blocks) {
        previous = block_digest(previous, block);
        digests.push(previous);
    }
    digests
}

fn block_digest(previous: BlockDigest, block: &[u8]) -> BlockDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&previous.0.to_le_bytes());
    hasher.update(block);
    let mut bytes = [0; size_of::<u64>()];
    hasher.finalize_xof().fill(&mut bytes);
    BlockDigest(u64::from_le_bytes(bytes))
}
