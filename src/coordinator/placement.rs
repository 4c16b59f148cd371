mod engine_loads;
mod planner;

use engine_loads::estimate_engine_loads;
use planner::PlacementPlanner;

use crate::{
    ids::{DataCentreId, ModelId, TargetId},
    region::DataCentreFilter,
};

/// Reason of a load that adds a second copy of a model to free memory ahead of demand.
pub(super) const SPARE_COPY_REASON: &str = "spare copy";
/// Maximum number of models and of engines listed in a log line.
const MAX_LOGGED: usize = 8;

/// State of one engine as input of the placement.
#[derive(Clone, Debug)]
pub struct PlacementEngine {
    /// Id of the engine.
    pub id: TargetId,
    /// Data centre of the engine.
    pub data_centre: DataCentreId,
    /// Models that are loaded or being loaded.
    pub models: Vec<ModelId>,
    /// Model of this list that is being loaded.
    pub loading: Option<ModelId>,
    /// Models whose weights are cached on the engine's host. Loading them does not use the weight
    /// store and takes a fraction of the time.
    pub cached_models: Vec<ModelId>,
    /// Model for which memory is being freed.
    pub reserved_for: Option<ModelId>,
    /// Free memory in MB.
    pub free_mb: f64,
    /// Whether the engine accepts an order to load or unload a model now.
    pub accepts_model_orders: bool,
    /// Whether the engine is neither draining nor lost, so that its copies count.
    pub is_available: bool,
}

/// Demand for one model.
#[derive(Clone, Debug)]
pub struct ModelNeed {
    /// Id of the model.
    pub id: ModelId,
    /// Memory for the weights in MB.
    pub weights_mb: f64,
    /// Tokens that callers request per second.
    pub tokens_per_second: f64,
    /// Whether requests are queued until the model is loaded.
    pub has_waiting_requests: bool,
    /// Data centres in which the model needs a copy: one for each filter, since requests with allowed
    /// regions can use no other.
    pub regional_copies: Vec<DataCentreFilter>,
}

/// Input of [`plan_copies`].
#[derive(Clone, Debug)]
pub struct PlacementInput {
    /// Engines of one service.
    pub engines: Vec<PlacementEngine>,
    /// Models of the service.
    pub models: Vec<ModelNeed>,
}

/// One step of a placement plan: an order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementStep {
    /// Engine that receives the order.
    pub engine: TargetId,
    /// Model that gets a copy by this step, or for which the step frees memory.
    pub model: ModelId,
    /// Action of the engine.
    pub action: CopyAction,
    /// Reason for the log.
    pub reason: &'static str,
}

/// Action on one copy of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyAction {
    /// Loads the model.
    Load(ModelId),
    /// Unloads the model to free memory for another one.
    Unload(ModelId),
}

/// Formats the highest demands for models and the resulting highest loads of engines for the log.
#[must_use]
pub fn describe_load(input: &PlacementInput) -> (String, String) {
    let mut needs: Vec<&ModelNeed> = input.models.iter().collect();
    needs.sort_by(|a, b| b.tokens_per_second.total_cmp(&a.tokens_per_second));
    let copies = |model: &str| {
        let engines = input.engines.iter();
        let holders =
            engines.filter(|engine| engine.is_available && engine.holds_or_reserves(model));
        holders.count()
    };
    let models = needs.iter().take(MAX_LOGGED);
    let models = models.map(|need| {
        format!(
            "{}:{:.0}x{}",
            need.id,
            need.tokens_per_second,
            copies(&need.id)
        )
    });
    let loads = estimate_engine_loads(input);
    let mut engines: Vec<_> = input.engines.iter().zip(loads).collect();
    engines.sort_by(|a, b| b.1.total_cmp(&a.1));
    let engines = engines
        .iter()
        .take(MAX_LOGGED)
        .map(|(engine, load)| format!("{}:{load:.0}", engine.id));
    (
        models.collect::<Vec<_>>().join(" "),
        engines.collect::<Vec<_>>().join(" "),
    )
}

/// Plans which copies to load and unload, in this order of priority:
///
/// 1. A model without a copy gets one, as does a model without a copy in the allowed regions of requests.
/// 2. A model whose copies are all on overloaded engines gets another one on an underloaded engine.
/// 3. A model with a single copy gets a second one where memory is free, so that the model is
///    already loaded when an engine is lost or demand rises.
#[must_use]
pub fn plan_copies(input: &PlacementInput) -> Vec<PlacementStep> {
    let mut planner = PlacementPlanner::new(input);
    let mut needs: Vec<&ModelNeed> = input.models.iter().collect();
    needs.sort_by(|a, b| {
        let priority = |need: &ModelNeed| (need.has_waiting_requests, need.tokens_per_second);
        let (a, b) = (priority(a), priority(b));
        b.0.cmp(&a.0).then(b.1.total_cmp(&a.1))
    });
    planner.load_reserved();
    for need in &needs {
        for filter in &need.regional_copies {
            if !planner.has_copy_in(&need.id, filter) {
                planner.add_regional_copy(need, filter);
            }
        }
        if planner.copies(&need.id) == 0 && !planner.has_step(&need.id) {
            planner.add_copy(need, f64::INFINITY, "no copy");
        }
    }
    for need in &needs {
        if let Some(share) = planner.overload_share(need) {
            planner.add_copy(need, share, "demand");
        }
    }
    for need in &needs {
        if planner.copies(&need.id) == 1 {
            planner.add_copy(need, 0.0, SPARE_COPY_REASON);
        }
    }
    planner.into_steps()
}

impl PlacementEngine {
    fn holds_or_reserves(&self, model: &str) -> bool {
        self.reserved_for.as_deref() == Some(model) || self.models.iter().any(|held| held == model)
    }
}
