mod board;
mod spread;

use board::Board;
use spread::spread_demand;

use crate::ids::{ModelId, TargetId};

/// Reason of a copy that no demand asks for yet.
pub(super) const SPARE_REASON: &str = "spare copy";
/// Models named in a log line.
const DESCRIBED_MODELS: usize = 8;

/// One engine as the placement sees it.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    /// The engine.
    pub id: TargetId,
    /// Models that it holds or loads.
    pub models: Vec<ModelId>,
    /// The one of them that it loads.
    pub loading: Option<ModelId>,
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
        if board.copies(&need.id) == 0 {
            board.place(need, f64::INFINITY, "no copy");
        }
    }
    for need in &needs {
        if let Some(relief) = board.relief(need) {
            board.place(need, relief, "demand");
        }
    }
    for need in &needs {
        if board.copies(&need.id) == 1 {
            board.place(need, 0.0, SPARE_REASON);
        }
    }
    board.into_steps()
}

impl EngineLoad {
    fn has(&self, model: &str) -> bool {
        self.reserved.as_deref() == Some(model) || self.models.iter().any(|held| held == model)
    }
}
