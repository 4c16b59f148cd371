use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    DemandEstimator, PlacementParams, PlacementPlan, StepReason,
    board::{CopyPlace, PlacementBoard},
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

/// What a plan is made from.
pub struct PlanInput<'i> {
    /// The configuration in force.
    pub index: &'i FleetIndex,
    /// All engines, also those that are down.
    pub engines: &'i [EngineCapacity],
    /// Demand since the last plan.
    pub demand: &'i BTreeMap<ModelId, DemandTotals>,
}

/// Plans which copies to load and unload.
#[derive(Debug)]
pub struct PlacementPlanner {
    pub(super) rules: PlacementParams,
    pub(super) demand: DemandEstimator,
    /// When each copy was first seen.
    pub(super) since: HashMap<(TargetId, ModelId), Duration>,
    /// When a waiting model last got room whatever it cost.
    pub(super) forced_at: Option<Duration>,
    /// Copies whose adapters are being unloaded so that they can go, and when that was decided.
    pub(super) evicting: HashMap<(TargetId, ModelId), Duration>,
}

/// What a model still needs.
pub(super) struct CopyNeed {
    pub model: Arc<ModelConfig>,
    pub reason: StepReason,
    pub worth: f64,
}

impl PlacementPlanner {
    /// Returns a planner that knows no demand yet.
    #[must_use]
    pub fn new(rules: PlacementParams) -> Self {
        Self {
            rules,
            demand: DemandEstimator::default(),
            since: HashMap::new(),
            forced_at: None,
            evicting: HashMap::new(),
        }
    }

    /// Makes a plan. The steps are meant to be ordered now; the next plan starts from what the
    /// engines confirm.
    pub fn plan(&mut self, input: &PlanInput<'_>, now: Duration) -> PlacementPlan {
        self.demand.update(input.demand, &self.rules, now);
        self.track_copies(input.engines, now);
        let mut board = PlacementBoard::new(input.engines, self.rules.max_steps);
        versions::retire_copies(input.index, &mut board);
        for need in self.needs(input, &board) {
            if board.is_full() {
                break;
            }
            self.satisfy(&need, input.index, &mut board, now);
        }
        self.place_adapters(input.index, &mut board);
        PlacementPlan {
            steps: board.into_steps(),
        }
    }

    fn track_copies(&mut self, engines: &[EngineCapacity], now: Duration) {
        let copies = engines.iter().flat_map(|engine| {
            engine
                .copies
                .iter()
                .map(|copy| (engine.id.clone(), copy.model.clone()))
        });
        let mut since = HashMap::with_capacity(self.since.len());
        for key in copies {
            let first = self.since.get(&key).copied().unwrap_or(now);
            since.insert(key, first);
        }
        self.since = since;
    }

    /// Lists what models need, most urgent first.
    fn needs(&self, input: &PlanInput<'_>, board: &PlacementBoard) -> Vec<CopyNeed> {
        let slots = mean_slots(input.engines);
        let mut needs: Vec<CopyNeed> = input
            .index
            .models()
            .filter_map(|model| self.need(model, board, slots))
            .collect();
        needs.sort_by(|a, b| {
            let waited = |need: &CopyNeed| self.demand.get(&need.model.id).waited;
            let rank =
                |need: &CopyNeed| (need.reason, Reverse((waited(need), need.worth.to_bits())));
            rank(a)
                .cmp(&rank(b))
                .then_with(|| a.model.id.cmp(&b.model.id))
        });
        needs
    }

    fn need(
        &self,
        model: &Arc<ModelConfig>,
        board: &PlacementBoard,
        slots: f64,
    ) -> Option<CopyNeed> {
        let demand = self.demand.get(&model.id);
        let all = board.lasting(&model.id).count();
        let wanted = board.lasting_version(&model.id, &model.version).count();
        let pinned = match model.residency {
            ResidencyPolicy::Pinned => count(model.min_copies.max(1)),
            ResidencyPolicy::OnDemand => 0,
        };
        let worth = self.worth_of_next(model, wanted, slots);
        let reason = match () {
            () if all < pinned => StepReason::Pinned,
            () if all == 0 && demand.waiting > 0 => StepReason::Waiting,
            () if all == 0 => StepReason::Reachable,
            () if wanted < all => StepReason::Version,
            () if worth > 0.0 && all > 0 => StepReason::Demand,
            () if all == 1 => StepReason::Spare,
            () => return None,
        };
        Some(CopyNeed {
            model: Arc::clone(model),
            reason,
            worth,
        })
    }

    /// Copies that the demand for a model fills, as a fraction.
    fn copies_needed(&self, model: &ModelId, slots: f64) -> f64 {
        let busy_slots = self.demand.get(model).rate * self.rules.seconds_per_token;
        busy_slots / (slots * self.rules.slot_utilisation).max(1.0)
    }

    /// Worth of one more copy, in tokens a second that it would serve.
    #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
    fn worth_of_next(&self, model: &ModelConfig, copies: usize, slots: f64) -> f64 {
        let demand = self.demand.get(&model.id);
        if copies == 0 {
            return 1.0 + demand.rate + demand.waiting as f64 * self.rules.waiting_request_value;
        }
        let needed = self.copies_needed(&model.id, slots);
        demand.rate * ((needed - copies as f64) / needed.max(1.0)).clamp(0.0, 1.0)
    }

    /// Worth of the copy that would go next if a model has `copies`.
    pub(super) fn worth_of_last(&self, model: &ModelConfig, copies: usize, slots: f64) -> f64 {
        match (model.residency, copies) {
            (ResidencyPolicy::Pinned, copies) if copies <= count(model.min_copies.max(1)) => {
                f64::INFINITY
            }
            (_, copies) => self.worth_of_next(model, copies.saturating_sub(1), slots),
        }
    }

    fn satisfy(
        &mut self,
        need: &CopyNeed,
        index: &FleetIndex,
        board: &mut PlacementBoard,
        now: Duration,
    ) {
        if let Some((engine, first)) = self.free_place(&need.model, need.reason, board) {
            board.load(engine, new_copy(&need.model, first), need.reason);
            return;
        }
        // Spare copies and versions never push out another model.
        if matches!(need.reason, StepReason::Spare | StepReason::Version) {
            return;
        }
        self.make_room(need, index, board, now);
    }

    /// Finds the engine with room: another VM and data centre than the model's copies first, then
    /// the one with the least demand per slot.
    fn free_place(
        &self,
        model: &ModelConfig,
        reason: StepReason,
        board: &PlacementBoard,
    ) -> Option<(usize, u32)> {
        let places: Vec<CopyPlace> = board.lasting(&model.id).collect();
        let candidates = (0..board.engines.len()).filter(|engine| board.is_open(*engine));
        let rated = candidates.filter_map(|number| {
            let engine = &board.engines[number];
            let is_used = board.holds(number, &model.id);
            // A second copy on one engine only makes sense while the version changes.
            if is_used && reason != StepReason::Version {
                return None;
            }
            let (first, rest) = engine.best_fit(model.memory_mib, model.span)?;
            let shares = |same: fn(&EngineCapacity, &EngineCapacity) -> bool| {
                places
                    .iter()
                    .any(|(other, _)| same(&board.engines[*other], engine))
            };
            let vm_taken = shares(|a, b| a.vm == b.vm);
            let data_centre_taken = shares(|a, b| a.data_centre == b.data_centre);
            if reason == StepReason::Spare && vm_taken {
                return None;
            }
            let load = self.demand_on(engine);
            Some((
                (vm_taken, data_centre_taken, load.to_bits(), rest),
                number,
                first,
            ))
        });
        rated.min().map(|(_, number, first)| (number, first))
    }

    /// Demand of the models on an engine, in tokens a second for each slot.
    fn demand_on(&self, engine: &EngineCapacity) -> f64 {
        let rates = engine
            .copies
            .iter()
            .map(|copy| self.demand.get(&copy.model).rate);
        rates.sum::<f64>() / f64::from(engine.slots.max(1))
    }
}

/// The copy that an order to load `model` asks for.
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

pub(super) fn count(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

#[allow(clippy::cast_precision_loss)] // Counts of engines are small.
pub(super) fn mean_slots(engines: &[EngineCapacity]) -> f64 {
    let open = engines
        .iter()
        .filter(|engine| engine.state != EngineState::OutOfService);
    let (sum, number) = open.fold((0.0, 0_usize), |(sum, number), engine| {
        (sum + f64::from(engine.slots), number + 1)
    });
    if number == 0 {
        1.0
    } else {
        sum / number as f64
    }
}
