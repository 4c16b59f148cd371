use std::collections::HashMap;

use smallvec::SmallVec;

use super::{
    CopyAction, ModelNeed, PlacementEngine, PlacementInput, PlacementStep,
    engine_loads::estimate_engine_loads,
};
use crate::{ids::ModelId, region::DataCentreFilter};

/// A model gets another copy when the least loaded engine that holds it carries more than this
/// multiple of the mean load.
const OVERLOAD_FACTOR: f64 = 1.15;
/// Engines below this fraction of the mean load can receive a copy that relieves others.
const UNDERLOAD_FACTOR: f64 = 0.95;
/// A copy is evicted only for one that would serve at least this multiple of its demand, so that
/// copies do not move back and forth.
const EVICTION_HYSTERESIS: f64 = 2.0;
/// Fraction of the mean load by which an engine with cached weights may exceed another engine and
/// still be chosen for the load.
const CACHED_WEIGHTS_BONUS: f64 = 0.5;
/// Reason of a load for requests with allowed regions.
const REGIONAL_COPY_REASON: &str = "no copy in the allowed regions";
/// Number of steps in one plan that is allowed in any fleet.
const MIN_STEPS: usize = 4;
/// Number of engines for which a plan may have one step.
const ENGINES_PER_STEP: usize = 16;

/// Builder of one placement plan. Engines are referred to by their index in the input, since every
/// model is checked against every engine.
pub(super) struct PlacementPlanner<'i> {
    input: &'i PlacementInput,
    steps: Vec<PlacementStep>,
    max_steps: usize,
    /// Engines that can get a step: they accept orders and have none in this plan.
    candidates: Vec<usize>,
    /// Free memory of the candidate with the most of it.
    most_free_mb: f64,
    /// Estimated demand that each engine serves.
    loads: Vec<f64>,
    mean_load: f64,
    models: HashMap<&'i str, ModelPlacement<'i>>,
}

/// Copies of one model.
struct ModelPlacement<'i> {
    need: &'i ModelNeed,
    /// Available engines that hold the model or reserve memory for it.
    holders: SmallVec<[usize; 8]>,
    /// Engines whose copy serves requests already.
    ready: SmallVec<[usize; 8]>,
}

impl ModelPlacement<'_> {
    /// Returns the demand per copy.
    #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
    fn share(&self) -> f64 {
        self.need.tokens_per_second / self.holders.len().max(1) as f64
    }
}

impl<'i> PlacementPlanner<'i> {
    #[allow(clippy::cast_precision_loss)] // Counts of engines are small.
    pub fn new(input: &'i PlacementInput) -> Self {
        let demand: f64 = input.models.iter().map(|need| need.tokens_per_second).sum();
        let available = input.engines.iter().filter(|engine| engine.is_available);
        let mean_load = demand / available.count().max(1) as f64;
        let placements = input.models.iter().map(|need| {
            let placement = ModelPlacement {
                need,
                holders: SmallVec::new(),
                ready: SmallVec::new(),
            };
            (need.id.as_str(), placement)
        });
        let mut models: HashMap<&str, ModelPlacement> = placements.collect();
        for (index, engine) in input.engines.iter().enumerate() {
            let held = engine.models.iter().chain(&engine.reserved_for);
            for model in held.filter(|_| engine.is_available) {
                match models.get_mut(model.as_str()) {
                    Some(placement) if !placement.holders.contains(&index) => {
                        placement.holders.push(index);
                        let is_ready =
                            engine.loading.as_ref() != Some(model) && engine.models.contains(model);
                        if is_ready {
                            placement.ready.push(index);
                        }
                    }
                    _ => {}
                }
            }
        }
        let engines = input.engines.iter().enumerate();
        let candidates = engines.filter(|(_, engine)| {
            engine.accepts_model_orders && engine.is_available && engine.reserved_for.is_none()
        });
        let candidates: Vec<usize> = candidates.map(|(index, _)| index).collect();
        let free = candidates.iter().map(|index| input.engines[*index].free_mb);
        Self {
            input,
            steps: Vec::new(),
            max_steps: MIN_STEPS.max(input.engines.len() / ENGINES_PER_STEP),
            most_free_mb: free.fold(0.0, f64::max),
            candidates,
            loads: estimate_engine_loads(input),
            mean_load,
            models,
        }
    }

    pub fn into_steps(self) -> Vec<PlacementStep> {
        self.steps
    }

    /// Returns the number of copies of a model on available engines, including reserved ones.
    pub fn copies(&self, model: &str) -> usize {
        self.models
            .get(model)
            .map_or(0, |placement| placement.holders.len())
    }

    /// Returns whether a step of this plan is towards a copy of a model.
    pub fn has_step(&self, model: &str) -> bool {
        self.steps.iter().any(|step| step.model == model)
    }

    /// Returns whether an available engine in one of the data centres holds a model, reserves memory
    /// for it or gets a step towards a copy of it.
    pub fn has_copy_in(&self, model: &str, filter: &DataCentreFilter) -> bool {
        let engines = &self.input.engines;
        let holders = self.models.get(model).map(|placement| &placement.holders);
        let mut holders = holders.into_iter().flatten();
        if holders.any(|index| filter.allows(&engines[*index].data_centre)) {
            return true;
        }
        let mut steps = self.steps.iter().filter(|step| step.model == model);
        steps.any(|step| {
            let mut engines = engines.iter().filter(|engine| engine.id == step.engine);
            engines.any(|engine| filter.allows(&engine.data_centre))
        })
    }

    fn need(&self, model: &str) -> Option<&'i ModelNeed> {
        self.models.get(model).map(|placement| placement.need)
    }

    fn share(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, ModelPlacement::share)
    }

    /// Returns the demand that an additional copy would serve if all copies are on overloaded
    /// engines.
    #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
    pub fn overload_share(&self, need: &ModelNeed) -> Option<f64> {
        let holders = &self.models.get(need.id.as_str())?.holders;
        let loads = holders.iter().map(|index| self.loads[*index]);
        let least = loads.min_by(f64::total_cmp)?;
        let share = need.tokens_per_second / (holders.len() + 1) as f64;
        (least > OVERLOAD_FACTOR * self.mean_load && share > 0.0).then_some(share)
    }

    /// Adds a step towards a copy that would serve the demand `share`, on the engine with the
    /// lowest score. The score is the engine's load less a bonus for cached weights. An engine that
    /// must evict a model first scores higher by the mean load and by the demand that the evicted
    /// copy serves.
    pub fn add_copy(&mut self, need: &'i ModelNeed, share: f64, reason: &'static str) {
        self.add_copy_in(need, &DataCentreFilter::Any, share, reason);
    }

    /// Adds a step towards a copy that requests with allowed regions can use. It may evict any copy
    /// that is not the last one, as for a model without a copy: the requests cannot be served
    /// elsewhere.
    pub fn add_regional_copy(&mut self, need: &'i ModelNeed, filter: &DataCentreFilter) {
        self.add_copy_in(need, filter, f64::INFINITY, REGIONAL_COPY_REASON);
    }

    fn add_copy_in(
        &mut self,
        need: &'i ModelNeed,
        filter: &DataCentreFilter,
        share: f64,
        reason: &'static str,
    ) {
        let needs_eviction = self.most_free_mb < need.weights_mb;
        if self.steps.len() >= self.max_steps || (needs_eviction && share <= 0.0) {
            return;
        }
        let load_limit = if share.is_finite() && share > 0.0 {
            UNDERLOAD_FACTOR * self.mean_load
        } else {
            f64::INFINITY
        };
        let candidates = self.candidates.iter();
        let candidates = candidates.map(|index| (&self.input.engines[*index], self.loads[*index]));
        let candidates = candidates.filter(|(engine, load)| {
            *load < load_limit
                && filter.allows(&engine.data_centre)
                && !engine.holds_or_reserves(&need.id)
        });
        let scored = candidates.filter_map(|(engine, load)| {
            let bonus = if engine.cached_models.contains(&need.id) {
                CACHED_WEIGHTS_BONUS * self.mean_load
            } else {
                0.0
            };
            let score = load - bonus;
            if engine.free_mb >= need.weights_mb {
                return Some((score, engine, None));
            }
            if share <= 0.0 {
                return None;
            }
            let evicted = self.eviction_candidate(engine, need, share)?;
            let cost = self.share(evicted);
            Some((score + cost + self.mean_load, engine, Some(evicted.clone())))
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, engine, evicted)) = best else {
            return;
        };
        let action = match evicted {
            Some(model) => CopyAction::Unload(model),
            None => CopyAction::Load(need.id.clone()),
        };
        self.push(engine, need, action, reason);
    }

    /// Adds loads of models with a reservation whose memory is free by now.
    pub fn load_reserved(&mut self) {
        for engine in &self.input.engines {
            let need = engine
                .reserved_for
                .as_ref()
                .and_then(|model| self.need(model));
            match need {
                Some(need)
                    if engine.accepts_model_orders
                        && engine.is_available
                        && !engine.models.contains(&need.id)
                        && engine.free_mb >= need.weights_mb =>
                {
                    let action = CopyAction::Load(need.id.clone());
                    self.push(engine, need, action, "room was made");
                }
                _ => {}
            }
        }
    }

    fn push(
        &mut self,
        engine: &PlacementEngine,
        need: &ModelNeed,
        action: CopyAction,
        reason: &'static str,
    ) {
        if let CopyAction::Unload(model) = &action
            && let Some(placement) = self.models.get_mut(model.as_str())
        {
            // Later steps of this plan must not count the evicted copy: they could unload the last
            // one otherwise.
            let engines = &self.input.engines;
            placement
                .holders
                .retain(|index| engines[*index].id != engine.id);
            placement
                .ready
                .retain(|index| engines[*index].id != engine.id);
        }
        let engines = &self.input.engines;
        self.candidates
            .retain(|index| engines[*index].id != engine.id);
        self.steps.push(PlacementStep {
            engine: engine.id.clone(),
            model: need.id.clone(),
            action,
            reason,
        });
    }

    /// Returns whether an engine has the only ready copy of a model for requests with some allowed
    /// regions.
    fn is_last_regional_copy(&self, placement: &ModelPlacement, engine: &PlacementEngine) -> bool {
        let others = || {
            let ready = placement.ready.iter();
            let ready = ready.map(|index| &self.input.engines[*index]);
            ready.filter(|other| other.id != engine.id)
        };
        placement.need.regional_copies.iter().any(|filter| {
            filter.allows(&engine.data_centre)
                && !others().any(|other| filter.allows(&other.data_centre))
        })
    }

    /// Returns the model to evict from an engine: the one with the least demand per copy among
    /// those that have another ready copy and far less demand per copy than the new copy would
    /// serve.
    fn eviction_candidate(
        &self,
        engine: &'i PlacementEngine,
        need: &ModelNeed,
        share: f64,
    ) -> Option<&'i ModelId> {
        let candidates = engine.models.iter().filter(|model| {
            let placement = self.models.get(model.as_str());
            // A model that is no longer configured is evictable in any case and has no demand.
            placement.is_none_or(|placement| {
                let frees_enough = engine.free_mb + placement.need.weights_mb >= need.weights_mb;
                placement.ready.len() > 1
                    && !self.is_last_regional_copy(placement, engine)
                    && engine.loading.as_ref() != Some(*model)
                    && placement.share() * EVICTION_HYSTERESIS <= share
                    && (share.is_infinite() || frees_enough)
            })
        });
        candidates.min_by(|a, b| self.share(a).total_cmp(&self.share(b)))
    }
}
