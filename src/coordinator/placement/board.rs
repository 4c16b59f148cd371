use std::collections::{BTreeSet, HashMap};

use smallvec::SmallVec;

use super::{
    CopyAction, ModelNeed, PlacementEngine, PlacementInput, PlacementStep, spread::spread_demand,
};
use crate::ids::{ModelId, TargetId};

/// A model's least loaded copy must be this many times as loaded as the mean engine before the
/// model gets another copy.
const HOT_FACTOR: f64 = 1.15;
/// The engine that gets the copy must be below this part of the mean.
const COOL_FACTOR: f64 = 0.95;
/// A copy makes room only for one that would carry this many times its demand.
const HYSTERESIS: f64 = 2.0;
/// Load, as a part of the mean, that an engine may have more than another when it loads the model
/// without the weight store.
const AT_HAND_SHARE: f64 = 0.5;
/// Steps in one plan.
const MAX_STEPS: usize = 4;

/// One plan in the making. Models and engines go by their place in the input, since each model is
/// looked at for each engine.
pub(super) struct Board<'i> {
    input: &'i PlacementInput,
    steps: Vec<PlacementStep>,
    used: BTreeSet<TargetId>,
    /// Demand that each engine carries, when requests go to the least loaded copies.
    loads: Vec<f64>,
    mean: f64,
    models: HashMap<&'i str, ModelPlace<'i>>,
}

/// What the input says of one model.
struct ModelPlace<'i> {
    need: &'i ModelNeed,
    /// Engines that hold the model, or make room for it, and stay.
    holders: SmallVec<[usize; 8]>,
    /// How many of them serve requests already.
    ready: usize,
}

impl ModelPlace<'_> {
    /// Demand that one copy carries.
    #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
    fn share(&self) -> f64 {
        self.need.tokens_per_second / self.holders.len().max(1) as f64
    }
}

impl<'i> Board<'i> {
    #[allow(clippy::cast_precision_loss)] // Counts of engines are small.
    pub fn new(input: &'i PlacementInput) -> Self {
        let demand: f64 = input.models.iter().map(|need| need.tokens_per_second).sum();
        let lasting = input.engines.iter().filter(|engine| engine.is_available);
        let mean = demand / lasting.count().max(1) as f64;
        let places = input.models.iter().map(|need| {
            let place = ModelPlace {
                need,
                holders: SmallVec::new(),
                ready: 0,
            };
            (need.id.as_str(), place)
        });
        let mut models: HashMap<&str, ModelPlace> = places.collect();
        for (number, engine) in input.engines.iter().enumerate() {
            let held = engine.models.iter().chain(&engine.reserved_for);
            for model in held.filter(|_| engine.is_available) {
                match models.get_mut(model.as_str()) {
                    Some(place) if !place.holders.contains(&number) => {
                        place.holders.push(number);
                        let is_ready =
                            engine.loading.as_ref() != Some(model) && engine.models.contains(model);
                        place.ready += usize::from(is_ready);
                    }
                    _ => {}
                }
            }
        }
        Self {
            input,
            steps: Vec::new(),
            used: BTreeSet::new(),
            loads: spread_demand(input),
            mean,
            models,
        }
    }

    pub fn into_steps(self) -> Vec<PlacementStep> {
        self.steps
    }

    /// Returns the number of copies of a model that stay.
    pub fn copies(&self, model: &str) -> usize {
        self.models
            .get(model)
            .map_or(0, |place| place.holders.len())
    }

    fn need(&self, model: &str) -> Option<&'i ModelNeed> {
        self.models.get(model).map(|place| place.need)
    }

    fn share(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, ModelPlace::share)
    }

    /// Returns the demand that another copy would carry, when all copies are on loaded engines.
    #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
    pub fn relief(&self, need: &ModelNeed) -> Option<f64> {
        let holders = &self.models.get(need.id.as_str())?.holders;
        let loads = holders.iter().map(|number| self.loads[*number]);
        let least = loads.min_by(f64::total_cmp)?;
        let next = need.tokens_per_second / (holders.len() + 1) as f64;
        (least > HOT_FACTOR * self.mean && next > 0.0).then_some(next)
    }

    /// Finds the engine for a copy that would carry `share`; makes room where none is.
    pub fn place(&mut self, need: &'i ModelNeed, share: f64, reason: &'static str) {
        if self.steps.len() >= MAX_STEPS {
            return;
        }
        let ceiling = if share.is_finite() && share > 0.0 {
            COOL_FACTOR * self.mean
        } else {
            f64::INFINITY
        };
        let open = self.input.engines.iter().zip(&self.loads);
        let open = open.filter(|(engine, load)| {
            engine.accepts_model_orders
                && engine.is_available
                && engine.reserved_for.is_none()
                && !self.used.contains(&engine.id)
                && !engine.has(&need.id)
                && **load < ceiling
        });
        let rated = open.filter_map(|(engine, load)| {
            let advantage = if engine.cached_models.contains(&need.id) {
                AT_HAND_SHARE * self.mean
            } else {
                0.0
            };
            let load = load - advantage;
            if engine.free_mb >= need.weights_mb {
                return Some((load, engine, None));
            }
            if share <= 0.0 {
                return None;
            }
            let evicted = self.evictable(engine, need, share)?;
            let cost = self.share(evicted);
            Some((load + cost + self.mean, engine, Some(evicted.clone())))
        });
        let best = rated.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, engine, evicted)) = best else {
            return;
        };
        let copy = match evicted {
            Some(model) => CopyAction::Unload(model),
            None => CopyAction::Load(need.id.clone()),
        };
        self.push(engine, need, copy, reason);
    }

    /// Loads models for which room was made, once there is room.
    pub fn redeem(&mut self) {
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
                    let copy = CopyAction::Load(need.id.clone());
                    self.push(engine, need, copy, "room was made");
                }
                _ => {}
            }
        }
    }

    fn push(
        &mut self,
        engine: &PlacementEngine,
        need: &ModelNeed,
        copy: CopyAction,
        reason: &'static str,
    ) {
        if let CopyAction::Unload(model) = &copy
            && let Some(place) = self.models.get_mut(model.as_str())
        {
            // The next step of this plan must find the copies that are left.
            let engines = &self.input.engines;
            place
                .holders
                .retain(|number| engines[*number].id != engine.id);
            place.ready = place.ready.saturating_sub(1);
        }
        self.used.insert(engine.id.clone());
        self.steps.push(PlacementStep {
            engine: engine.id.clone(),
            model: need.id.clone(),
            action: copy,
            reason,
        });
    }

    /// Returns the copy that goes first: one of several, carrying far less than the new one would.
    fn evictable(
        &self,
        engine: &'i PlacementEngine,
        need: &ModelNeed,
        share: f64,
    ) -> Option<&'i ModelId> {
        let candidates = engine.models.iter().filter(|model| {
            let place = self.models.get(model.as_str());
            // A model that is not configured any more goes first.
            place.is_none_or(|place| {
                let is_enough = engine.free_mb + place.need.weights_mb >= need.weights_mb;
                place.ready > 1
                    && engine.loading.as_ref() != Some(*model)
                    && place.share() * HYSTERESIS <= share
                    && (share.is_infinite() || is_enough)
            })
        });
        candidates.min_by(|a, b| self.share(a).total_cmp(&self.share(b)))
    }
}
