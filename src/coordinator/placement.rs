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
pub struct PlacementEngine {
    /// The engine.
    pub id: TargetId,
    /// Models that it holds or loads.
    pub models: Vec<ModelId>,
    /// The one of them that it loads.
    pub loading: Option<ModelId>,
    /// Models that it loads without the weight store, in a fraction of the time.
    pub cached_models: Vec<ModelId>,
    /// Model for which room is being made.
    pub reserved_for: Option<ModelId>,
    /// Memory that is free, in MB.
    pub free_mb: f64,
    /// Whether it can be given an order now.
    pub accepts_model_orders: bool,
    /// Whether its copies last: it is neither leaving nor gone.
    pub is_available: bool,
}

/// What is asked of one model.
#[derive(Clone, Debug)]
pub struct ModelNeed {
    /// The model.
    pub id: ModelId,
    /// Memory of its weights, in MB.
    pub weights_mb: f64,
    /// Tokens a second that callers ask for.
    pub tokens_per_second: f64,
    /// Whether requests wait for it.
    pub has_waiting_requests: bool,
}

/// What a plan of copies is made from.
#[derive(Clone, Debug)]
pub struct PlacementInput {
    /// The engines of one service.
    pub engines: Vec<PlacementEngine>,
    /// Its models.
    pub models: Vec<ModelNeed>,
}

/// One step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementStep {
    /// Engine that is to receive the order.
    pub engine: TargetId,
    /// Model that gets the copy, or the room.
    pub model: ModelId,
    /// What it is to do.
    pub action: CopyAction,
    /// Why, for the log.
    pub reason: &'static str,
}

/// What an engine is to do with a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyAction {
    /// Load it.
    Load(ModelId),
    /// Unload it, to make room for another.
    Unload(ModelId),
}

/// Describes the demand and how it spreads over engines, for the log.
#[must_use]
pub fn describe_load(input: &PlacementInput) -> (String, String) {
    let mut needs: Vec<&ModelNeed> = input.models.iter().collect();
    needs.sort_by(|a, b| b.tokens_per_second.total_cmp(&a.tokens_per_second));
    let copies = |model: &str| {
        let engines = input.engines.iter();
        let holding = engines.filter(|engine| engine.is_available && engine.has(model));
        holding.count()
    };
    let models = needs.iter().take(DESCRIBED_MODELS);
    let models = models.map(|need| {
        format!(
            "{}:{:.0}x{}",
            need.id,
            need.tokens_per_second,
            copies(&need.id)
        )
    });
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
pub fn plan_copies(input: &PlacementInput) -> Vec<PlacementStep> {
    let mut board = Board::new(input);
    let mut needs: Vec<&ModelNeed> = input.models.iter().collect();
    needs.sort_by(|a, b| {
        let urgency = |need: &ModelNeed| (need.has_waiting_requests, need.tokens_per_second);
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

impl PlacementEngine {
    fn has(&self, model: &str) -> bool {
        self.reserved_for.as_deref() == Some(model) || self.models.iter().any(|held| held == model)
    }
}
