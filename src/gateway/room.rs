//! Room for further requests at targets.

use std::time::Duration;

use super::targets::{ChosenTarget, TableState, TargetTable};
use crate::{pace::PromptWork, route::PoolId};

/// Maximum number of requests per slot of a plain service. Its requests are short, so it may queue
/// some.
const PLAIN_REQUESTS_PER_SLOT: f32 = 2.0;
/// Maximum number of requests per slot of a plain service whose targets are brittle.
const BRITTLE_REQUESTS_PER_SLOT: f32 = 1.0;
/// Share of an engine's slots that a gateway fills. The rest is headroom for requests that several
/// gateways send at the same moment, which would otherwise queue at the engine behind all others.
const ADMITTED_SLOT_SHARE: f32 = 0.85;
/// Weight of a new sample in the moving average of the time per prompt token.
const PREFILL_SAMPLE_WEIGHT: f32 = 0.05;
/// Minimum number of prompt tokens from which on prefill dominates the time to the first byte.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 1_000;

impl TargetTable {
    /// Returns whether a target has room for another request: a free slot, and so few prompt tokens
    /// to process that running streams pause no longer than `max_gap`.
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^24.
    pub fn has_room(&self, chosen: &ChosenTarget, max_gap: Option<Duration>) -> bool {
        let now = self.now();
        let state = self.state();
        let choice = &chosen.choice;
        let slots = state
            .entries
            .get(&choice.target)
            .map_or(1, |entry| entry.slots);
        let Some(max_gap) = max_gap else {
            return choice.load < slots as f32 * PLAIN_REQUESTS_PER_SLOT;
        };
        let pending_tokens = state.replicas.pending_prefill_tokens(&choice.target);
        let pace = state.replicas.pace(&choice.target);
        let work = PromptWork {
            pending_tokens,
            new_tokens: choice.prefill_tokens,
            ms_per_token: state.prefill_ms_per_token,
            factor: pace.map(|pace| pace.factor(now)),
            is_idle: choice.load < 1.0,
        };
        work.has_room(max_gap) && choice.load < slots as f32 * ADMITTED_SLOT_SHARE
    }
}

impl TargetTable {
    /// Returns the number of requests that the targets of a pool have slots for, as
    /// [`has_room`](Self::has_room) counts them.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // The cast saturates.
    pub fn free_slots(&self, pool: &PoolId, max_gap: Option<Duration>) -> u32 {
        let now = self.now();
        let state = self.state();
        let share = match (max_gap, pool) {
            (Some(_), _) => ADMITTED_SLOT_SHARE,
            (None, PoolId::Service(service)) if state.brittle.limit(service, now).is_some() => {
                BRITTLE_REQUESTS_PER_SLOT
            }
            (None, _) => PLAIN_REQUESTS_PER_SLOT,
        };
        let targets = state.replicas.pool_slots(pool);
        let free = targets.map(|(slots, load)| (slots * share - load).max(0.0).ceil() as u32);
        free.sum()
    }

    /// Returns the expected time to process prompt tokens.
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^24.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        let milliseconds = tokens as f32 * self.state().prefill_ms_per_token;
        Duration::from_secs_f32(milliseconds / 1000.0)
    }
}

impl TableState {
    /// Updates the estimated time per prompt token from a request with enough prompt tokens for
    /// prefill to dominate the time to its first byte.
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^24.
    pub(super) fn record_prefill_sample(
        &mut self,
        chosen: &ChosenTarget,
        first_byte: Duration,
        now: Duration,
    ) {
        let tokens = chosen.prior_prefill_tokens + chosen.choice.prefill_tokens;
        if tokens >= MIN_PREFILL_SAMPLE_TOKENS {
            let pace = self.replicas.pace(&chosen.choice.target);
            let factor = pace.map_or(1.0, |pace| pace.factor(now));
            let sample = first_byte.as_secs_f32() * 1000.0 / tokens as f32 / factor;
            let sample = sample.clamp(
                self.prefill_ms_per_token / 4.0,
                self.prefill_ms_per_token * 4.0,
            );
            self.prefill_ms_per_token +=
                (sample - self.prefill_ms_per_token) * PREFILL_SAMPLE_WEIGHT;
        }
    }
}
