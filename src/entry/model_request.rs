use serde::Deserialize;
use serde_json::Value;

use crate::{ids::ModelId, route::PrefixBlock};

/// The fields of a model request that routing and admission use; others are forwarded unchanged.
#[derive(Debug, Deserialize)]
pub struct ModelRequest {
    /// Id of a model or adapter.
    pub model: ModelId,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Newer name of `max_tokens` in the chat API.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
    /// Prompt of a completion.
    #[serde(default)]
    pub prompt: Option<Value>,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Option<Value>,
}

/// Number of prompt bytes estimated as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Estimated tokens of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCost {
    /// Estimated tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of generated tokens.
    pub generated: u64,
}

impl TokenCost {
    /// Returns the number of tokens to reserve.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.prompt.saturating_add(self.generated)
    }
}

/// Size of a prefix block in bytes, which is estimated as 64 tokens.
const PREFIX_BLOCK_BYTES: usize = 256;
/// Maximum number of prefix blocks used for routing.
const MAX_PREFIX_BLOCKS: usize = 16;

impl ModelRequest {
    /// Hashes the prefixes of the prompt, so that requests with a common prefix are routed to
    /// targets that have it cached.
    #[must_use]
    pub fn prefix(&self) -> Vec<PrefixBlock> {
        let mut text = Vec::new();
        for value in [&self.prompt, &self.messages].into_iter().flatten() {
            append_text(value, &mut text);
        }
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.model.as_bytes());
        let mut tokens = 0;
        text.chunks_exact(PREFIX_BLOCK_BYTES)
            .take(MAX_PREFIX_BLOCKS)
            .map(|block| {
                hasher.update(block);
                tokens += u32::try_from(PREFIX_BLOCK_BYTES).unwrap_or(u32::MAX) / 4;
                let mut hash = [0; 8];
                hash.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
                let hash = u64::from_le_bytes(hash);
                PrefixBlock { hash, tokens }
            })
            .collect()
    }

    /// Returns the messages of a chat that other requests may share: all but the last, which belongs
    /// to the request.
    #[must_use]
    pub fn shared_messages(&self) -> &[Value] {
        let messages = self.messages.as_ref().and_then(Value::as_array);
        let messages = messages.and_then(|messages| messages.split_last());
        messages.map_or(&[], |(_, shared)| shared)
    }

    /// Estimates the tokens of the request; `max_tokens_default` applies without an explicit
    /// maximum.
    #[must_use]
    pub fn cost(&self, max_tokens_default: u64) -> TokenCost {
        let bytes = [&self.prompt, &self.messages]
            .into_iter()
            .flatten()
            .map(text_bytes)
            .sum::<u64>();
        let generated = self
            .max_tokens
            .or(self.max_completion_tokens)
            .unwrap_or(max_tokens_default);
        TokenCost {
            prompt: bytes.div_ceil(BYTES_PER_TOKEN),
            generated,
        }
    }
}

fn text_bytes(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.len() as u64,
        Value::Array(items) => items.iter().map(text_bytes).sum(),
        Value::Object(fields) => fields.get("content").map_or(0, text_bytes),
        // A prompt can also be a list of token ids.
        Value::Number(_) => BYTES_PER_TOKEN,
        _ => 0,
    }
}

/// Appends the text of a prompt, until it covers all prefix blocks.
fn append_text(value: &Value, text: &mut Vec<u8>) {
    if text.len() >= PREFIX_BLOCK_BYTES * MAX_PREFIX_BLOCKS {
        return;
    }
    match value {
        Value::String(part) => text.extend_from_slice(part.as_bytes()),
        Value::Array(items) => items.iter().for_each(|item| append_text(item, text)),
        Value::Object(fields) => {
            for field in ["role", "content"] {
                if let Some(value) = fields.get(field) {
                    append_text(value, text);
                }
            }
        }
        Value::Number(number) => text.extend_from_slice(number.to_string().as_bytes()),
        _ => {}
    }
}
