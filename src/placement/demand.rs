use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::PlacementParams;
use crate::{ids::ModelId, soft_state::DemandTotals};

/// Demand below this many tokens a second is forgotten.
const FORGOTTEN_RATE: f64 = 1e-3;

/// Estimate of the demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandEstimate {
    /// Tokens a second.
    pub rate: f64,
    /// Requests that wait now because no copy is resident.
    pub waiting: u64,
    /// Time for which requests have waited without a break.
    pub waited: Duration,
}

/// Smooths demand: fast on the way up, so that a burst finds copies, and slowly on the way down,
/// so that periodic demand does not move models back and forth.
#[derive(Debug, Default)]
pub struct DemandEstimator {
    models: HashMap<ModelId, DemandEstimate>,
    updated_at: Option<Duration>,
}

impl DemandEstimator {
    /// Takes in the demand since the last update.
    #[allow(clippy::cast_precision_loss)] // Rates are estimates.
    pub fn update(
        &mut self,
        loads: &BTreeMap<ModelId, DemandTotals>,
        rules: &PlacementParams,
        now: Duration,
    ) {
        let Some(elapsed) = self
            .updated_at
            .replace(now)
            .map(|last| now.saturating_sub(last))
        else {
            return self.start(loads);
        };
        let seconds = elapsed.as_secs_f64().max(1e-3);
        let weight = |constant: Duration| 1.0 - (-seconds / constant.as_secs_f64()).exp();
        let (rise, fall) = (
            weight(rules.rise_time_constant),
            weight(rules.fall_time_constant),
        );
        for model in loads.keys() {
            self.models.entry(model.clone()).or_default();
        }
        self.models.retain(|model, demand| {
            let load = loads.get(model).cloned().unwrap_or_default();
            let rate = load.tokens as f64 / seconds;
            let weight = if rate > demand.rate { rise } else { fall };
            demand.rate += (rate - demand.rate) * weight;
            demand.waiting = load.waiting;
            demand.waited = match load.waiting {
                0 => Duration::ZERO,
                _ => demand.waited + elapsed,
            };
            demand.rate > FORGOTTEN_RATE || demand.waiting > 0
        });
    }

    /// The first reading covers an unknown time, so that it yields no rate.
    fn start(&mut self, loads: &BTreeMap<ModelId, DemandTotals>) {
        for (model, load) in loads {
            let demand = DemandEstimate {
                waiting: load.waiting,
                ..DemandEstimate::default()
            };
            self.models.insert(model.clone(), demand);
        }
    }

    /// Returns the estimate for a model.
    #[must_use]
    pub fn get(&self, model: &ModelId) -> DemandEstimate {
        self.models.get(model).copied().unwrap_or_default()
    }
}
