use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::PlacementParams;
use crate::{ids::ModelId, soft_state::DemandTotals};

/// Demand below which the estimate for a model is discarded.
const MIN_TOKENS_PER_S: f64 = 1e-3;

/// Estimated demand for one model or adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandEstimate {
    /// Tokens per second.
    pub token_rate: f64,
    /// Requests that currently wait because no copy is resident.
    pub waiting: u64,
    /// Time for which there have been waiting requests without interruption.
    pub wait_time: Duration,
}

/// Estimates demand with an exponential moving average. The estimate rises quickly, so that copies
/// are loaded during a burst, and falls slowly, so that periodic demand does not move models back
/// and forth.
#[derive(Debug, Default)]
pub struct DemandEstimator {
    models: HashMap<ModelId, DemandEstimate>,
    updated_at: Option<Duration>,
}

impl DemandEstimator {
    /// Updates the estimates with the demand since the last update.
    #[allow(clippy::cast_precision_loss)] // Rates are estimates.
    pub fn update(
        &mut self,
        totals: &BTreeMap<ModelId, DemandTotals>,
        params: &PlacementParams,
        now: Duration,
    ) {
        let Some(elapsed) = self
            .updated_at
            .replace(now)
            .map(|updated_at| now.saturating_sub(updated_at))
        else {
            return self.start(totals);
        };
        let seconds = elapsed.as_secs_f64().max(1e-3);
        let weight = |time_constant: Duration| 1.0 - (-seconds / time_constant.as_secs_f64()).exp();
        let (rise, fall) = (
            weight(params.rise_time_constant),
            weight(params.fall_time_constant),
        );
        for model in totals.keys() {
            self.models.entry(model.clone()).or_default();
        }
        self.models.retain(|model, estimate| {
            let totals = totals.get(model).cloned().unwrap_or_default();
            let rate = totals.tokens as f64 / seconds;
            let weight = if rate > estimate.token_rate {
                rise
            } else {
                fall
            };
            estimate.token_rate += (rate - estimate.token_rate) * weight;
            estimate.waiting = totals.waiting;
            estimate.wait_time = match totals.waiting {
                0 => Duration::ZERO,
                _ => estimate.wait_time + elapsed,
            };
            estimate.token_rate > MIN_TOKENS_PER_S || estimate.waiting > 0
        });
    }

    /// Takes only the waiting requests from the first totals. These cover an unknown period and
    /// therefore yield no rate.
    fn start(&mut self, totals: &BTreeMap<ModelId, DemandTotals>) {
        for (model, totals) in totals {
            let estimate = DemandEstimate {
                waiting: totals.waiting,
                ..DemandEstimate::default()
            };
            self.models.insert(model.clone(), estimate);
        }
    }

    /// Returns the estimate for a model.
    #[must_use]
    pub fn get(&self, model: &ModelId) -> DemandEstimate {
        self.models.get(model).copied().unwrap_or_default()
    }
}
