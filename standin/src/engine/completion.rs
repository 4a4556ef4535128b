//! Parsing of completion requests, and the events and answers that an engine produces for them.

use borageladder_kernel::name::RequestId;
use borageladder_kernel::prompt::block_digests;
use borageladder_kernel::prompt::prompt_text;
use borageladder_kernel::prompt::prompt_tokens;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use thiserror::Error;

use crate::model::EngineJob;

/// The answer length in tokens if the request states none.
const DEFAULT_ANSWER_TOKENS: u32 = 16;

/// The upper limit of an answer's length, in tokens.
const MAX_ANSWER_TOKENS: u32 = 100_000;

/// The marker in a prompt that is followed by the answer length in tokens.
const ANSWER_LENGTH_MARKER: &str = "answer=";

/// An error in the body of a completion request.
#[derive(Debug, Error)]
pub enum CompletionError {
    /// The body is not valid JSON.
    #[error("the body is not JSON: {0}")]
    Json(#[from] serde_json::Error),
}

/// The completion API that a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionKind {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// Token counts of one request, reported in the `usage` object of its answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenUsage {
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Prompt tokens that were served from the prefix cache.
    pub cached: u32,
    /// Tokens generated so far.
    pub answer: u32,
}

/// A parsed completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// The API that the request uses.
    pub kind: CompletionKind,
    /// The value of `x-request-id`, or a generated label if the header is absent; contained in
    /// every token so that mixed-up answers are detected.
    pub label: String,
    /// The requested model; `None` if the request names none.
    pub model: Option<String>,
    /// The text of the prompt.
    pub prompt: String,
    /// Whether the answer is sent as server-sent events.
    pub stream: bool,
    /// Number of tokens to generate.
    pub answer_tokens: u32,
}

impl CompletionRequest {
    /// Parses a request from its JSON body.
    ///
    /// The `answer=` marker in the prompt takes precedence over `max_completion_tokens`, which
    /// takes precedence over `max_tokens`; without any of them, the answer has 16 tokens. The
    /// length is limited to 1 to 100,000 tokens.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not JSON.
    pub fn parse(
        kind: CompletionKind,
        label: String,
        body: &[u8],
    ) -> Result<Self, CompletionError> {
        let body: Value = serde_json::from_slice(body)?;
        let prompt = prompt_text(&body);
        let answer_tokens = answer_length(&body, &prompt);
        let model = body.get("model").and_then(Value::as_str);
        Ok(Self {
            kind,
            label,
            model: model.map(str::to_owned),
            prompt,
            stream: body.get("stream").and_then(Value::as_bool) == Some(true),
            answer_tokens,
        })
    }

    /// Converts the request into a job for the engine model.
    #[must_use]
    pub fn job(&self, request: RequestId) -> EngineJob {
        EngineJob {
            request,
            prompt_tokens: prompt_tokens(&self.prompt),
            blocks: block_digests(&self.prompt, usize::MAX),
            answer_tokens: self.answer_tokens,
        }
    }

    /// Returns the server-sent event of one token; `index` counts from 1.
    #[must_use]
    pub fn token_event(&self, index: u32) -> Bytes {
        let text = self.token_text(index);
        let choice = match self.kind {
            CompletionKind::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
            CompletionKind::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        server_event(index, &self.completion_object(&choice, None).to_string())
    }

    /// Returns the two server-sent events after the last token: the chunk with the finish reason
    /// and the usage, and `[DONE]`.
    #[must_use]
    pub fn end_events(&self, usage: TokenUsage) -> [Bytes; 2] {
        let choice = match self.kind {
            CompletionKind::Chat => json!({"index": 0, "delta": {}, "finish_reason": "length"}),
            CompletionKind::Text => json!({"index": 0, "text": "", "finish_reason": "length"}),
        };
        let chunk = self.completion_object(&choice, Some(usage)).to_string();
        [
            server_event(usage.answer + 1, &chunk),
            server_event(usage.answer + 2, "[DONE]"),
        ]
    }

    /// Returns the JSON answer of a request that is not streamed.
    #[must_use]
    pub fn full_answer(&self, usage: TokenUsage) -> Value {
        let text: String = (1..=usage.answer)
            .map(|index| self.token_text(index))
            .collect();
        let choice = match self.kind {
            CompletionKind::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
            CompletionKind::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
        };
        self.completion_object(&choice, Some(usage))
    }

    fn token_text(&self, index: u32) -> String {
        let space = if index > 1 { " " } else { "" };
        format!("{space}{}:{index}", self.label)
    }

    fn completion_object(&self, choice: &Value, usage: Option<TokenUsage>) -> Value {
        let object = match (self.kind, self.stream) {
            (CompletionKind::Chat, true) => "chat.completion.chunk",
            (CompletionKind::Chat, false) => "chat.completion",
            (CompletionKind::Text, _) => "text_completion",
        };
        let mut completion = json!({
            "id": self.label,
            "object": object,
            "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = usage {
            completion["usage"] = json!({
                "prompt_tokens": usage.prompt,
                "completion_tokens": usage.answer,
                "total_tokens": usage.prompt + usage.answer,
                "prompt_tokens_details": {"cached_tokens": usage.cached},
            });
        }
        completion
    }
}

fn server_event(number: u32, data: &str) -> Bytes {
    Bytes::from(format!("id: {number}\ndata: {data}\n\n"))
}

fn answer_length(body: &Value, prompt: &str) -> u32 {
    let length_in_body = || {
        let limit = body.get("max_completion_tokens");
        let limit = limit.or_else(|| body.get("max_tokens"))?.as_u64()?;
        u32::try_from(limit).ok()
    };
    let length = marker_length(prompt).or_else(length_in_body);
    let length = length.unwrap_or(DEFAULT_ANSWER_TOKENS);
    length.clamp(1, MAX_ANSWER_TOKENS)
}

fn marker_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(ANSWER_LENGTH_MARKER)?;
    let end = rest.find(|c: char| !c.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}
