use std::collections::BTreeSet;

use compact_str::CompactString;

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
/// Reason of a copy that no demand asks for yet.
pub(super) const SPARE_REASON: &str = "spare copy";
/// Models named in a log line.
const DESCRIBED_MODELS: usize = 8;
/// Rounds in which the demand for models is spread over their copies.
const SPREAD_ROUNDS: usize = 24;

/// One engine as the placement sees it.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    /// The engine.
    pub id: TargetId,
    /// Models that it holds or loads.
    pub models: Vec<ModelId>,
    /// Models that it loads without the weight store, in a fraction of the time.
    pub at_hand: Vec<ModelId>,
    /// Model for which room is being made.
    pub reserved: Option<ModelId>,
    /// Memory that is free, in MB.
    pub free_mb: f64,
    /// Whether it can be given an order now.
    pub is_free: bool,
    /// Whether its copies last: it is neither leaving nor gone.
    pub is_lasting: bool,
}

/// What is asked of one model.
#[derive(Clone, Debug)]
pub struct ModelNeed {
    /// The model.
    pub id: ModelId,
    /// Memory of its weights, in MB.
    pub weights_mb: f64,
    /// Tokens a second that callers ask for.
    pub demand: f64,
    /// Whether requests wait for it.
    pub is_awaited: bool,
}

/// What a plan of copies is made from.
#[derive(Clone, Debug)]
pub struct PlacementInput {
    /// The engines of one service.
    pub engines: Vec<EngineLoad>,
    /// Its models.
    pub models: Vec<ModelNeed>,
}

/// One step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Engine that is to receive the order.
    pub engine: TargetId,
    /// Model that gets the copy, or the room.
    pub model: ModelId,
    /// What it is to do.
    pub copy: CopyPlan,
    /// Why, for the log.
    pub reason: &'static str,
}

/// What an engine is to do with a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyPlan {
    /// Load it.
    Load(ModelId),
    /// Unload it, to make room for another.
    Unload(ModelId),
}

/// Describes the demand and how it spreads over engines, for the log.
#[must_use]
pub fn describe_load(input: &PlacementInput) -> (String, String) {
    let mut needs: Vec<&ModelNeed> = input.models.iter().collect();
    needs.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    let copies = |model: &str| {
        let engines = input.engines.iter();
        let holding = engines.filter(|engine| engine.is_lasting && engine.has(model));
        holding.count()
    };
    let models = needs.iter().take(DESCRIBED_MODELS);
    let models = models.map(|need| format!("{}:{:.0}x{}", need.id, need.demand, copies(&need.id)));
    let loads = spread_demand(input);
    let engines = input.engines.iter().zip(loads);
    let engines = engines.map(|(engine, load)| format!("{}:{load:.0}", engine.id));
    (
        models.collect::<Vec<_>>().join(" "),
        engines.collect::<Vec<_>>().join(" "),
    )
}

/// Plans which copies to load and unload: first every model has a copy, then models whose copies
/// are all on loaded engines get another on an idle one, then each model gets a second copy where
/// memory is free, so that the loss of an engine or a rise of demand finds it loaded.
#[must_use]
pub fn plan_copies(input: &PlacementInput) -> Vec<PlacementOrder> {
    let mut board = Board::new(input);
    let mut needs: Vec<&ModelNeed> = input.models.iter().collect();
    needs.sort_by(|a, b| {
        let urgency = |need: &ModelNeed| (need.is_awaited, need.demand);
        let (a, b) = (urgency(a), urgency(b));
        b.0.cmp(&a.0).then(b.1.total_cmp(&a.1))
    });
    board.redeem();
    for need in &needs {
        if board.holders(&need.id).next().is_none() {
            board.place(need, f64::INFINITY, "no copy");
        }
    }
    for need in &needs {
        if let Some(relief) = board.relief(need) {
            board.place(need, relief, "demand");
        }
    }
    for need in &needs {
        if board.holders(&need.id).count() == 1 {
            board.place(need, 0.0, SPARE_REASON);
        }
    }
    board.steps
}

struct Board<'i> {
    input: &'i PlacementInput,
    steps: Vec<PlacementOrder>,
    used: BTreeSet<CompactString>,
    /// Demand that each engine carries, when requests go to the least loaded copies.
    loads: Vec<f64>,
    mean: f64,
}

impl<'i> Board<'i> {
    #[allow(clippy::cast_precision_loss)] // Counts of engines are small.
    fn new(input: &'i PlacementInput) -> Self {
        let demand: f64 = input.models.iter().map(|need| need.demand).sum();
        let lasting = input.engines.iter().filter(|engine| engine.is_lasting);
        Self {
            input,
            steps: Vec::new(),
            used: BTreeSet::new(),
            loads: spread_demand(input),
            mean: demand / lasting.count().max(1) as f64,
        }
    }

    fn need(&self, model: &str) -> Option<&'i ModelNeed> {
        self.input.models.iter().find(|need| need.id == model)
    }

    /// Returns the engines that hold a model, or make room for it.
    fn holders(&self, model: &'i str) -> impl Iterator<Item = usize> {
        let engines = self.input.engines.iter().enumerate();
        engines
            .filter(move |(_, engine)| engine.is_lasting && engine.has(model))
            .map(|(number, _)| number)
    }

    /// Demand that one copy of a model carries.
    #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
    fn share(&self, model: &'i str) -> f64 {
        let demand = self.need(model).map_or(0.0, |need| need.demand);
        demand / self.holders(model).count().max(1) as f64
    }

    /// Returns the demand that another copy would carry, when all copies are on loaded engines.
    #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
    fn relief(&self, need: &'i ModelNeed) -> Option<f64> {
        let holders: Vec<usize> = self.holders(&need.id).collect();
        let loads = holders.iter().map(|number| self.loads[*number]);
        let least = loads.min_by(f64::total_cmp)?;
        let next = need.demand / (holders.len() + 1) as f64;
        (least > HOT_FACTOR * self.mean && next > 0.0).then_some(next)
    }

    /// Finds the engine for a copy that would carry `share`; makes room where none is.
    fn place(&mut self, need: &'i ModelNeed, share: f64, reason: &'static str) {
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
            engine.is_free
                && engine.is_lasting
                && engine.reserved.is_none()
                && !self.used.contains(&engine.id)
                && !engine.has(&need.id)
                && **load < ceiling
        });
        let rated = open.filter_map(|(engine, load)| {
            let advantage = if engine.at_hand.contains(&need.id) {
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
            Some(model) => CopyPlan::Unload(model),
            None => CopyPlan::Load(need.id.clone()),
        };
        self.push(engine, need, copy, reason);
    }

    /// Loads models for which room was made, once there is room.
    fn redeem(&mut self) {
        for engine in &self.input.engines {
            let need = engine.reserved.as_ref().and_then(|model| self.need(model));
            match need {
                Some(need)
                    if engine.is_free
                        && engine.is_lasting
                        && !engine.models.contains(&need.id)
                        && engine.free_mb >= need.weights_mb =>
                {
                    let copy = CopyPlan::Load(need.id.clone());
                    self.push(engine, need, copy, "room was made");
                }
                _ => {}
            }
        }
    }

    fn push(
        &mut self,
        engine: &EngineLoad,
        need: &ModelNeed,
        copy: CopyPlan,
        reason: &'static str,
    ) {
        self.used.insert(engine.id.clone());
        self.steps.push(PlacementOrder {
            engine: engine.id.clone(),
            model: need.id.clone(),
            copy,
            reason,
        });
    }

    /// Returns the copy that goes first: one of several, carrying far less than the new one would.
    fn evictable(
        &self,
        engine: &'i EngineLoad,
        need: &ModelNeed,
        share: f64,
    ) -> Option<&'i ModelId> {
        let candidates = engine.models.iter().filter(|model| {
            let weights = self
                .need(model)
                .map_or(f64::INFINITY, |need| need.weights_mb);
            // A model that is not configured any more goes first.
            let is_spare = self.need(model).is_none() || self.holders(model).count() > 1;
            is_spare
                && self.share(model) * HYSTERESIS <= share
                && (weights.is_infinite()
                    || share.is_infinite()
                    || engine.free_mb + weights >= need.weights_mb)
        });
        candidates.min_by(|a, b| self.share(a).total_cmp(&self.share(b)))
    }
}

impl EngineLoad {
    fn has(&self, model: &str) -> bool {
        self.reserved.as_deref() == Some(model) || self.models.iter().any(|held| held == model)
    }
}

/// Spreads the demand for each model over its copies the way gateways do, which prefer the less
/// loaded ones, and returns the demand that each engine carries.
fn spread_demand(input: &PlacementInput) -> Vec<f64> {
    let mut loads = vec![0.0; input.engines.len()];
    let mut shares: Vec<(f64, Vec<(usize, f64)>)> = Vec::new();
    for need in &input.models {
        let engines = input.engines.iter().enumerate();
        let holders = engines.filter(|(_, engine)| engine.is_lasting && engine.has(&need.id));
        let holders: Vec<(usize, f64)> = holders.map(|(number, _)| (number, 1.0)).collect();
        shares.push((need.demand, holders));
    }
    let floor = shares.iter().map(|(demand, _)| demand).sum::<f64>() * 1e-3 + 1e-9;
    for round in 0..SPREAD_ROUNDS {
        let former = loads.clone();
        loads.fill(0.0);
        for (demand, holders) in &mut shares {
            if round > 0 {
                for (number, weight) in holders.iter_mut() {
                    *weight /= (former[*number] + floor).sqrt();
                }
            }
            let sum: f64 = holders.iter().map(|(_, weight)| weight).sum();
            for (number, weight) in holders.iter_mut() {
                *weight /= sum;
                loads[*number] += *demand * *weight;
            }
        }
    }
    loads
}
