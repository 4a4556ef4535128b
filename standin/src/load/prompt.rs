//! Conversion of trace requests into chat completion requests.

use std::fmt::Write;

use borageladder_kernel::name::ModelName;
use borageladder_kernel::name::TierRank;
use borageladder_kernel::prompt::BLOCK_BYTES;
use borageladder_kernel::prompt::TOKEN_BYTES;
use serde_json::json;

use crate::trace::DeploymentKind;
use crate::trace::TraceRequest;

/// The `x-kind` values of Quill Works by tier, highest tier first.
const QUILL_KIND_NAMES: [&str; 4] = ["letter", "paragraph", "clause", "archive"];

/// The `x-kind` values of Sargam Seats by tier, highest tier first.
const SARGAM_KIND_NAMES: [&str; 4] = ["teacher", "feedback", "summary", "scoring"];

/// Returns the value of the `x-kind` header for a tier of the deployment.
///
/// A tier lower than the fourth has the kind of the fourth.
#[must_use]
pub fn kind_name(deployment: DeploymentKind, tier: TierRank) -> &'static str {
    let kinds = match deployment {
        DeploymentKind::Quill => &QUILL_KIND_NAMES,
        DeploymentKind::Sargam => &SARGAM_KIND_NAMES,
    };
    let last = kinds.len() - 1;
    kinds[usize::from(tier.0).min(last)]
}

/// Returns the JSON body of a streamed chat completion with the prompt and answer length of the
/// request.
///
/// Equal blocks of the trace become equal text, so prefixes are shared as in the trace. The prompt
/// is a few tokens longer than in the trace if its unshared end is too short for the `answer=`
/// marker.
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
