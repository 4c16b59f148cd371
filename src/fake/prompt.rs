use serde_json::Value;

/// What a stand-in engine generates for a request: the words of the prompt, one per token. Tokens
/// beyond the prompt repeat its words with their position, so that a test can tell each token.
#[derive(Clone, Debug)]
pub struct PromptTokens {
    /// Model that the request names.
    pub model: String,
    /// Text of the prompt.
    pub text: String,
    /// Text of the prompt with all messages of a chat, for faults that a prompt triggers.
    pub whole_text: String,
    words: Vec<String>,
    count: u64,
}

impl PromptTokens {
    /// Reads a request to the completion or chat path.
    #[must_use]
    pub fn new(body: &Value) -> Self {
        let text = match (&body["prompt"], body["messages"].as_array()) {
            (Value::String(prompt), _) => prompt.clone(),
            (_, Some(messages)) => messages
                .last()
                .and_then(|message| message["content"].as_str())
                .unwrap_or_default()
                .to_owned(),
            _ => String::new(),
        };
        let messages = body["messages"].as_array().into_iter().flatten();
        let messages = messages.filter_map(|message| message["content"].as_str());
        let whole_text = std::iter::once(text.as_str()).chain(messages);
        let whole_text = whole_text.collect::<Vec<_>>().join("\n");
        let words: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
        let most = body["max_tokens"]
            .as_u64()
            .or_else(|| body["max_completion_tokens"].as_u64());
        Self {
            model: body["model"].as_str().unwrap_or_default().to_owned(),
            text,
            count: most.unwrap_or(words.len() as u64),
            words,
            whole_text,
        }
    }

    /// Number of tokens of the whole response.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Token number `index`, counted from 0.
    #[must_use]
    pub fn token(&self, index: u64) -> String {
        let words = self.words.len() as u64;
        match usize::try_from(index.checked_rem(words).unwrap_or_default()) {
            Ok(position) if index < words => self.words[position].clone(),
            Ok(position) if words > 0 => format!("{}-{index}", self.words[position]),
            _ => format!("token-{index}"),
        }
    }

    /// Estimated tokens of the prompt.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        (self.text.len() as u64).div_ceil(4)
    }
}
