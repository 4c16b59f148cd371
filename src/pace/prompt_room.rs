use std::time::Duration;

/// Share of the maximum gap between events that prefill may occupy.
const PREFILL_GAP_SHARE: f32 = 0.7;

/// Prompts at a target that pause the streams that run there.
#[derive(Clone, Copy, Debug)]
pub struct PromptWork {
    /// Prompt tokens that the target has not processed.
    pub pending_tokens: u32,
    /// Prompt tokens of the request that looks for a target.
    pub new_tokens: u32,
    /// Time to process one prompt token at the usual pace.
    pub ms_per_token: f32,
    /// Factor on the usual time; `None` for a target that states no pace.
    pub factor: Option<f32>,
    /// Whether the target runs no requests, so that a prompt delays nobody.
    pub is_idle: bool,
}

impl PromptWork {
    /// Returns whether the target has so few prompt tokens to process that running streams pause no longer
    /// than `max_gap`.
    ///
    /// The only prompt of a target always has room unless the target states that it is slow: there, a
    /// prompt that would cause no such pause at the usual pace goes elsewhere.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^24.
    pub fn has_room(&self, max_gap: Duration) -> bool {
        let max_gap_ms = max_gap.as_secs_f32() * 1000.0;
        let tokens = self.pending_tokens.saturating_add(self.new_tokens);
        let usual_ms = tokens as f32 * self.ms_per_token;
        match self.factor {
            None => self.pending_tokens == 0 || usual_ms <= max_gap_ms * PREFILL_GAP_SHARE,
            Some(_) if self.pending_tokens == 0 && self.is_idle => true,
            Some(factor) if self.pending_tokens == 0 => {
                usual_ms * factor <= max_gap_ms || usual_ms > max_gap_ms
            }
            Some(factor) => usual_ms * factor <= max_gap_ms * PREFILL_GAP_SHARE,
        }
    }
}
