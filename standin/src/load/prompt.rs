//! Conversion of trace requests into chat completion requests.

use std::fmt::Write;

use borageladder_kernel::name::ModelName;
use borageladder_kernel::name::TierRank;
use borageladder_kernel::prompt::BLOCK_BYTES;
use borageladder_kernel::prompt::TOKEN_BYTES;
use serde_json::json;

use crate::trace::DeploymentKind;
use crate::trace::TraceRequest;

/// The request kinds of Quill Works by tier, highest tier first.
const QUILL_KINDS: [&str; 4] = ["letter", "paragraph", "clause", "archive"];

/// The request kinds of Sargam Seats by tier, highest tier first.
const SARGAM_KINDS: [&str; 4] = ["teacher", "feedback", "summary", "scoring"];

/// Returns the value of the `x-kind` header for a tier of the deployment.
///
/// Tiers below the last named one have its kind.
#[must_use]
pub fn kind_name(deployment: DeploymentKind, tier: TierRank) -> &'static str {
    let kinds = match deployment {
        DeploymentKind::Quill => &QUILL_KINDS,
        DeploymentKind::Sargam => &SARGAM_KINDS,
    };
    let last = kinds.len() - 1;
    kinds[usize::from(tier.0).min(last)]
}

/// Returns the JSON body of a streamed chat completion with the prompt and answer length of the
/// request.
///
/// Equal blocks of the trace become equal text, so prefixes are shared as in the trace.
#[must_use]
pub fn prompt_body(model: &ModelName, request: &TraceRequest) -> String {
    json!({
        "model": model.as_str(),
        "stream": true,
        "max_tokens": request.max_answer_tokens,
        "messages": [{"role": "user", "content": prompt(request)}],
    })
    .to_string()
}

fn prompt(request: &TraceRequest) -> String {
    let length = usize::try_from(request.prompt_tokens).unwrap_or(usize::MAX);
    let length = length.saturating_mul(TOKEN_BYTES);
    let mut prompt = String::with_capacity(length);
    for block in &request.blocks {
        let digest = format!("{:016x}", block.0);
        prompt.push_str(&digest.repeat(BLOCK_BYTES / digest.len()));
    }
    let tail = length.saturating_sub(prompt.len());
    // Writing to a string does not fail.
    let _ = write!(prompt, " answer={}", request.answer_tokens);
    let filler = length.saturating_sub(prompt.len());
    prompt.push_str(&" ".repeat(filler.min(tail)));
    prompt
}
