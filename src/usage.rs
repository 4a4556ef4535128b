//! Token counts of answers that are not streamed.

use bytes::Bytes;
use serde::Deserialize;

/// The maximum size of an answer whose stated usage is read, in bytes.
pub const MAX_USAGE_BYTES: usize = 1_048_576;

/// The assumed length of a token, in bytes, for answers that do not state their usage.
const TOKEN_BYTES: usize = 4;

#[derive(Deserialize)]
struct CompletionAnswer {
    usage: CompletionUsage,
}

#[derive(Deserialize)]
struct CompletionUsage {
    completion_tokens: u32,
}

/// Collects the body of an answer to determine its number of tokens.
///
/// # Examples
///
/// ```
/// use borageladder::usage::UsageCollector;
/// use bytes::Bytes;
///
/// let mut collector = UsageCollector::default();
/// collector.push(&Bytes::from_static(b"{\"usage\":{\"completion_"));
/// collector.push(&Bytes::from_static(b"tokens\":12}}"));
/// assert_eq!(collector.tokens(), 12);
///
/// let mut collector = UsageCollector::default();
/// collector.push(&Bytes::from_static(b"twelve bytes"));
/// assert_eq!(collector.tokens(), 3);
/// ```
#[derive(Debug, Default)]
pub struct UsageCollector {
    chunks: Vec<Bytes>,
    length: usize,
}

impl UsageCollector {
    /// Adds a chunk of the body without copying it.
    pub fn push(&mut self, bytes: &Bytes) {
        self.length += bytes.len();
        if self.length <= MAX_USAGE_BYTES {
            self.chunks.push(bytes.clone());
        } else {
            self.chunks.clear();
        }
    }

    /// Returns the number of tokens stated in the answer, or an estimate from its length if the
    /// answer states none or is longer than [`MAX_USAGE_BYTES`].
    #[must_use]
    pub fn tokens(&self) -> u32 {
        let body = self.chunks.concat();
        let answer = serde_json::from_slice::<CompletionAnswer>(&body);
        answer.map_or_else(
            |_error| u32::try_from(self.length / TOKEN_BYTES).unwrap_or(u32::MAX),
            |answer| answer.usage.completion_tokens,
        )
    }
}
