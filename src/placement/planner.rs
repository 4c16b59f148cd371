use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    DemandEstimator, PlacementParams, PlacementPlan, StepReason,
    draft::{CopyLocation, PlanDraft},
    engine::{EngineCapacity, EngineState},
    versions,
};
use crate::{
    border::{ModelConfig, ResidencyPolicy},
    fleet::FleetIndex,
    ids::{ModelId, TargetId},
    soft_state::DemandTotals,
    sync::ResidentCopy,
};

/// Input for one plan.
pub struct PlanInput<'i> {
    /// The configuration in force.
    pub index: &'i FleetIndex,
    /// All engines, including those out of service.
    pub engines: &'i [EngineCapacity],
    /// Demand for each model since the last plan.
    pub demand: &'i BTreeMap<ModelId, DemandTotals>,
}

/// Plans which copies to load and unload.
#[derive(Debug)]
pub struct PlacementPlanner {
    pub(super) params: PlacementParams,
    pub(super) estimator: DemandEstimator,
    /// Time at which each copy first appeared in the input.
    pub(super) first_seen: HashMap<(TargetId, ModelId), Duration>,
    /// Time of the last forced eviction for a model with waiting requests.
    pub(super) last_forced: Option<Duration>,
    /// Copies chosen for eviction, with the time of the decision. Their adapters are unloaded
    /// first.
    pub(super) pending_evictions: HashMap<(TargetId, ModelId), Duration>,
}

/// Additional copy that a model needs.
pub(super) struct CopyNeed {
    pub model: Arc<ModelConfig>,
    pub reason: StepReason,
    /// Value of the copy in tokens per second.
    pub value: f64,
}

impl PlacementPlanner {
    /// Returns a planner with no demand history.
    #[must_use]
    pub fn new(params: PlacementParams) -> Self {
        Self {
            params,
            estimator: DemandEstimator::default(),
            first_seen: HashMap::new(),
            last_forced: None,
            pending_evictions: HashMap::new(),
        }
    }

    /// Computes the steps to order now. The next plan starts from the state that the engines
    /// confirm.
    pub fn plan(&mut self, input: &PlanInput<'_>, now: Duration) -> PlacementPlan {
        self.estimator.update(input.demand, &self.params, now);
        self.track_copies(input.engines, now);
        let mut draft = PlanDraft::new(input.engines, self.params.max_steps);
        versions::retire_copies(input.index, &mut draft);
        for need in self.list_needs(input, &draft) {
            if draft.is_full() {
                break;
            }
            self.place_copy(&need, input.index, &mut draft, now);
        }
        self.place_adapters(input.index, &mut draft);
        PlacementPlan {
            steps: draft.into_steps(),
        }
    }

    fn track_copies(&mut self, engines: &[EngineCapacity], now: Duration) {
        let copies = engines.iter().flat_map(|engine| {
            engine
                .copies
                .iter()
                .map(|copy| (engine.id.clone(), copy.model.clone()))
        });
        let mut first_seen = HashMap::with_capacity(self.first_seen.len());
        for key in copies {
            let seen_at = self.first_seen.get(&key).copied().unwrap_or(now);
            first_seen.insert(key, seen_at);
        }
        self.first_seen = first_seen;
    }

    /// Lists the copies that models need, most urgent first.
    fn list_needs(&self, input: &PlanInput<'_>, draft: &PlanDraft) -> Vec<CopyNeed> {
        let slots = mean_slots(input.engines);
        let mut needs: Vec<CopyNeed> = input
            .index
            .models()
            .filter_map(|model| self.copy_need(model, draft, slots))
            .collect();
        needs.sort_by(|a, b| {
            let wait_time = |need: &CopyNeed| self.estimator.get(&need.model.id).wait_time;
            let rank = |need: &CopyNeed| {
                (
                    need.reason,
                    Reverse((wait_time(need), need.value.to_bits())),
                )
            };
            rank(a)
                .cmp(&rank(b))
                .then_with(|| a.model.id.cmp(&b.model.id))
        });
        needs
    }

    fn copy_need(
        &self,
        model: &Arc<ModelConfig>,
        draft: &PlanDraft,
        slots: f64,
    ) -> Option<CopyNeed> {
        let estimate = self.estimator.get(&model.id);
        let total = draft.copies_of(&model.id).count();
        let current = draft.copies_of_version(&model.id, &model.version).count();
        let min_copies = match model.residency {
            ResidencyPolicy::Pinned => to_usize(model.min_copies.max(1)),
            ResidencyPolicy::OnDemand => 0,
        };
        let value = self.added_value(model, current, slots);
        let reason = match () {
            () if total < min_copies => StepReason::Pinned,
            () if total == 0 && estimate.waiting > 0 => StepReason::Waiting,
            () if total == 0 => StepReason::Reachable,
            () if current < total => StepReason::Version,
            () if value > 0.0 && total > 0 => StepReason::Demand,
            () if total == 1 => StepReason::Spare,
            () => return None,
        };
        Some(CopyNeed {
            model: Arc::clone(model),
            reason,
            value,
        })
    }

    /// Returns the number of copies that the demand for a model would fill, including fractions.
    fn copies_needed(&self, model: &ModelId, slots: f64) -> f64 {
        let busy_slots = self.estimator.get(model).token_rate * self.params.seconds_per_token;
        busy_slots / (slots * self.params.slot_utilisation).max(1.0)
    }

    /// Returns the value of one more copy, in tokens per second that it would serve.
    #[allow(clippy::cast_precision_loss)] // The number of copies is small.
    fn added_value(&self, model: &ModelConfig, copies: usize, slots: f64) -> f64 {
        let estimate = self.estimator.get(&model.id);
        if copies == 0 {
            return 1.0
                + estimate.token_rate
                + estimate.waiting as f64 * self.params.waiting_request_value;
        }
        let needed = self.copies_needed(&model.id, slots);
        estimate.token_rate * ((needed - copies as f64) / needed.max(1.0)).clamp(0.0, 1.0)
    }

    /// Returns the value that is lost when a model with `copies` copies loses one, in tokens per
    /// second.
    pub(super) fn removal_loss(&self, model: &ModelConfig, copies: usize, slots: f64) -> f64 {
        match (model.residency, copies) {
            (ResidencyPolicy::Pinned, copies) if copies <= to_usize(model.min_copies.max(1)) => {
                f64::INFINITY
            }
            (_, copies) => self.added_value(model, copies.saturating_sub(1), slots),
        }
    }

    fn place_copy(
        &mut self,
        need: &CopyNeed,
        index: &FleetIndex,
        draft: &mut PlanDraft,
        now: Duration,
    ) {
        if let Some((engine, first)) = self.find_location(&need.model, need.reason, draft) {
            draft.load(engine, new_copy(&need.model, first), need.reason);
            return;
        }
        // Copies for redundancy or a version change never evict another model.
        if matches!(need.reason, StepReason::Spare | StepReason::Version) {
            return;
        }
        self.evict_for(need, index, draft, now);
    }

    /// Finds an engine with enough free memory and the first accelerator to use there. Prefers VMs
    /// and data centres without a copy of the model, then the least demand per slot.
    fn find_location(
        &self,
        model: &ModelConfig,
        reason: StepReason,
        draft: &PlanDraft,
    ) -> Option<(usize, u32)> {
        let locations: Vec<CopyLocation> = draft.copies_of(&model.id).collect();
        let candidates = (0..draft.engines.len()).filter(|engine| draft.is_available(*engine));
        let ranked = candidates.filter_map(|engine_index| {
            let engine = &draft.engines[engine_index];
            let holds_model = draft.holds(engine_index, &model.id);
            // An engine holds two copies of one model only during a version change.
            if holds_model && reason != StepReason::Version {
                return None;
            }
            let (first, free_after) = engine.best_fit(model.memory_mib, model.span)?;
            let shares = |same: fn(&EngineCapacity, &EngineCapacity) -> bool| {
                locations
                    .iter()
                    .any(|(other, _)| same(&draft.engines[*other], engine))
            };
            let shares_vm = shares(|a, b| a.vm == b.vm);
            let shares_data_centre = shares(|a, b| a.data_centre == b.data_centre);
            if reason == StepReason::Spare && shares_vm {
                return None;
            }
            let load = self.demand_per_slot(engine);
            Some((
                (shares_vm, shares_data_centre, load.to_bits(), free_after),
                engine_index,
                first,
            ))
        });
        ranked
            .min()
            .map(|(_, engine_index, first)| (engine_index, first))
    }

    /// Returns the demand for the models and adapters on an engine, in tokens per second per slot.
    fn demand_per_slot(&self, engine: &EngineCapacity) -> f64 {
        let rates = engine
            .copies
            .iter()
            .map(|copy| self.estimator.get(&copy.model).token_rate);
        rates.sum::<f64>() / f64::from(engine.slots.max(1))
    }
}

/// Returns the copy for a load order of `model`.
pub(super) fn new_copy(model: &ModelConfig, first_accelerator: u32) -> ResidentCopy {
    ResidentCopy {
        model: model.id.clone(),
        version: model.version.clone(),
        first_accelerator,
        span: model.span.max(1),
        memory_mib: model.memory_mib,
        is_ready: false,
    }
}

pub(super) fn to_usize(value: u32) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

#[allow(clippy::cast_precision_loss)] // The number of engines is small.
pub(super) fn mean_slots(engines: &[EngineCapacity]) -> f64 {
    let in_service = engines
        .iter()
        .filter(|engine| engine.state != EngineState::OutOfService);
    let (sum, count) = in_service.fold((0.0, 0_usize), |(sum, count), engine| {
        (sum + f64::from(engine.slots), count + 1)
    });
    if count == 0 { 1.0 } else { sum / count as f64 }
}
