use std::collections::BTreeSet;

use compact_str::CompactString;

use crate::ids::{ModelId, TargetId};

/// A model's least loaded copy must be this many times as loaded as the mean engine before the
/// model gets another copy; loading weights pays only for a lasting difference.
const HOT_FACTOR: f64 = 1.35;
/// The engine that gets the copy must be below this part of the mean.
const COOL_FACTOR: f64 = 0.85;
/// A copy makes room only for one that would carry this many times its demand.
const HYSTERESIS: f64 = 2.5;
/// Steps in one plan.
const MAX_STEPS: usize = 4;

/// One engine as the placement sees it.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    /// The engine.
    pub id: TargetId,
    /// Models that it holds or loads.
    pub models: Vec<ModelId>,
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

/// Plans which copies to load and unload: first every model has a copy, then models whose copies
/// are all on loaded engines get another on an idle one.
#[must_use]
pub fn plan_copies(input: &PlacementInput) -> Vec<PlacementOrder> {
    let mut board = Board::new(input);
    let mut needs: Vec<&ModelNeed> = input.models.iter().collect();
    needs.sort_by(|a, b| {
        let urgency = |need: &ModelNeed| (need.is_awaited, need.demand);
        let (a, b) = (urgency(a), urgency(b));
        b.0.cmp(&a.0).then(b.1.total_cmp(&a.1))
    });
    for need in &needs {
        if board.copies(&need.id) == 0 {
            board.place(need, f64::INFINITY, "no copy");
        }
    }
    for need in &needs {
        if let Some(relief) = board.relief(need) {
            board.place(need, relief, "demand");
        }
    }
    board.steps
}

struct Board<'i> {
    input: &'i PlacementInput,
    steps: Vec<PlacementOrder>,
    used: BTreeSet<CompactString>,
}

impl<'i> Board<'i> {
    fn new(input: &'i PlacementInput) -> Self {
        Self {
            input,
            steps: Vec::new(),
            used: BTreeSet::new(),
        }
    }

    fn need(&self, model: &str) -> Option<&'i ModelNeed> {
        self.input.models.iter().find(|need| need.id == model)
    }

    fn copies(&self, model: &str) -> usize {
        let engines = self.input.engines.iter();
        let holding = engines.filter(|engine| {
            engine.is_lasting && engine.models.iter().any(|held| held == model)
        });
        holding.count()
    }

    /// Demand that one copy of a model carries.
    #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
    fn share(&self, model: &str) -> f64 {
        let demand = self.need(model).map_or(0.0, |need| need.demand);
        demand / self.copies(model).max(1) as f64
    }

    fn load(&self, engine: &EngineLoad) -> f64 {
        engine.models.iter().map(|model| self.share(model)).sum()
    }

    #[allow(clippy::cast_precision_loss)] // Counts of engines are small.
    fn mean(&self) -> f64 {
        let demand: f64 = self.input.models.iter().map(|need| need.demand).sum();
        let lasting = self.input.engines.iter().filter(|engine| engine.is_lasting);
        demand / lasting.count().max(1) as f64
    }

    /// Returns the demand that another copy would carry, when all copies are on loaded engines.
    #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
    fn relief(&self, need: &ModelNeed) -> Option<f64> {
        let holding = self.input.engines.iter().filter(|engine| {
            engine.is_lasting && engine.models.contains(&need.id)
        });
        let least = holding.map(|engine| self.load(engine)).min_by(f64::total_cmp)?;
        let next = need.demand / (self.copies(&need.id) + 1) as f64;
        (least > HOT_FACTOR * self.mean() && next > 0.0).then_some(next)
    }

    /// Finds the engine for a copy that would carry `share`; makes room where none is.
    fn place(&mut self, need: &ModelNeed, share: f64, reason: &'static str) {
        if self.steps.len() >= MAX_STEPS {
            return;
        }
        let ceiling = match share.is_finite() {
            true => COOL_FACTOR * self.mean(),
            false => f64::INFINITY,
        };
        let open = self.input.engines.iter().filter(|engine| {
            engine.is_free
                && engine.is_lasting
                && !self.used.contains(&engine.id)
                && !engine.models.contains(&need.id)
                && self.load(engine) < ceiling
        });
        let rated = open.filter_map(|engine| {
            let load = self.load(engine);
            if engine.free_mb >= need.weights_mb {
                return Some((load, engine, None));
            }
            let evicted = self.evictable(engine, need, share)?;
            let cost = self.share(evicted);
            Some((load + cost, engine, Some(evicted.clone())))
        });
        let best = rated.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, engine, evicted)) = best else {
            return;
        };
        let copy = match evicted {
            Some(model) => CopyPlan::Unload(model),
            None => CopyPlan::Load(need.id.clone()),
        };
        let engine = engine.id.clone();
        self.used.insert(engine.clone());
        self.steps.push(PlacementOrder {
            engine,
            copy,
            reason,
        });
    }

    /// Returns the copy that goes first: one of several, carrying far less than the new one would.
    fn evictable<'e>(
        &self,
        engine: &'e EngineLoad,
        need: &ModelNeed,
        share: f64,
    ) -> Option<&'e ModelId> {
        let spare = engine.models.iter().filter(|model| {
            let weights = self.need(model).map_or(f64::INFINITY, |need| need.weights_mb);
            // A model that is not configured any more goes first.
            let is_spare = self.need(model).is_none() || self.copies(model) > 1;
            is_spare
                && self.share(model) * HYSTERESIS <= share
                && (weights.is_infinite()
                    || share.is_infinite()
                    || engine.free_mb + weights >= need.weights_mb)
        });
        spare.min_by(|a, b| self.share(a).total_cmp(&self.share(b)))
    }
}
