use std::time::Duration;

use crate::{
    adapter::{EngineStatus, LoadedModel, OrderAction, TargetEntry},
    ids::ModelId,
    plan::EnginePlan,
};

/// Time after which an order without an answer is no longer carried out by an engine.
const LATE_ORDER_LIMIT: Duration = Duration::from_secs(14);

/// Time that a report may be behind the engine.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Time for which an engine that refused an order as another one gets none; it has gone or started
/// again, and the platform's list tells within this time.
const REFUSAL_REST: Duration = Duration::from_secs(2);

/// Whether an engine is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineLiveness {
    /// Nothing speaks against it.
    Alive,
    /// A gateway hears nothing of it, and it has not reported since.
    Suspected,
    /// It did not report either when it was suspected.
    Lost,
}

/// What the leader believes about one engine: its own report, and the orders given since.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Entry on the platform's list.
    pub entry: TargetEntry,
    /// Models that it holds for requests. One that is about to be unloaded is not among them.
    pub routable_models: Vec<LoadedModel>,
    /// Models that take memory, whatever their state.
    pub resident_models: Vec<ModelId>,
    /// Models that it loads without the weight store.
    pub cached_models: Vec<ModelId>,
    /// Adapters that take places, whatever their state.
    pub resident_adapters: Vec<ModelId>,
    /// Orders that the engine has accepted; `None` until it has reported.
    pub accepted_orders: Option<u64>,
    /// Whether the engine says that it carries out an order, of which this leader may not know.
    pub is_busy: bool,
    /// When it last accepted an order; older reports do not show it.
    pub last_order_at: Duration,
    /// Whether a call to the engine is under way.
    pub has_pending_call: bool,
    /// Order for a whole model that the engine carries out, and since when.
    pub active_order: Option<(OrderAction, ModelId, Duration)>,
    /// Model that is to be unloaded once gateways have stopped sending, and since when.
    pub draining_model: Option<(ModelId, Duration)>,
    /// Model for which room is made, and since when.
    pub reservation: Option<(ModelId, Duration)>,
    /// Loads without an answer that may still begin, and when they were ordered.
    pub unconfirmed_loads: Vec<(ModelId, Duration)>,
    /// Whether a later holder has given it orders.
    pub is_fenced: bool,
    /// Whether it is heard.
    pub liveness: EngineLiveness,
    /// When it last refused an order, which another engine at its address does.
    pub last_refusal_at: Option<Duration>,
    /// When the engine was last asked.
    pub last_poll_at: Duration,
}

impl EngineView {
    /// Returns the belief about an engine that is new on the list.
    #[must_use]
    pub fn new(entry: TargetEntry) -> Self {
        let resident = entry.models.iter().map(|held| held.model.clone());
        let adapters = entry
            .models
            .iter()
            .flat_map(|held| held.adapters.iter().cloned());
        Self {
            routable_models: entry.models.clone(),
            resident_models: resident.collect(),
            resident_adapters: adapters.collect(),
            cached_models: Vec::new(),
            entry,
            accepted_orders: None,
            is_busy: false,
            last_order_at: Duration::ZERO,
            has_pending_call: false,
            active_order: None,
            draining_model: None,
            reservation: None,
            unconfirmed_loads: Vec::new(),
            is_fenced: false,
            liveness: EngineLiveness::Alive,
            last_refusal_at: None,
            last_poll_at: Duration::ZERO,
        }
    }

    /// Takes over the engine's own report.
    pub fn accept(&mut self, status: EngineStatus, now: Duration) {
        let is_stale = self
            .accepted_orders
            .is_some_and(|orders| status.orders < orders)
            && now.saturating_sub(self.last_order_at) < REPORT_LAG;
        if is_stale {
            return;
        }
        self.accepted_orders = Some(status.orders);
        self.is_busy = status.is_busy;
        self.resident_models = status
            .models
            .iter()
            .map(|held| held.model.clone())
            .collect();
        let adapters = status
            .models
            .iter()
            .flat_map(|held| held.adapters.iter().cloned());
        self.resident_adapters = adapters.chain(status.pending_adapters).collect();
        self.unconfirmed_loads
            .retain(|(_, at)| now.saturating_sub(*at) < LATE_ORDER_LIMIT);
        let is_settled = match &self.active_order {
            Some((OrderAction::Load, model, _)) => self.resident_models.contains(model),
            Some((OrderAction::Unload, model, _)) => !self.resident_models.contains(model),
            None => true,
        };
        if is_settled && !status.is_busy {
            self.active_order = None;
        }
        self.cached_models = status.cached_models;
        self.routable_models = status.models;
        let leaving = self.draining_model.as_ref().map(|(model, _)| model);
        let unloading = match &self.active_order {
            Some((OrderAction::Unload, model, _)) => Some(model),
            _ => None,
        };
        self.routable_models
            .retain(|held| Some(&held.model) != leaving && Some(&held.model) != unloading);
    }

    /// Returns the memory that is free for another model, in MB. Adapters may fill all their places,
    /// and a load without an answer may still begin.
    #[must_use]
    pub fn free_mb(&self, plan: &EnginePlan) -> f64 {
        let weights = |model: &ModelId| plan.model(model).map_or(0.0, |model| model.weights_mb);
        let loading = match &self.active_order {
            Some((OrderAction::Load, model, _)) if !self.resident_models.contains(model) => {
                weights(model)
            }
            _ => 0.0,
        };
        let doubtful = self
            .unconfirmed_loads
            .iter()
            .filter(|(model, _)| !model.contains('/') && !self.resident_models.contains(model));
        let doubtful: f64 = doubtful.map(|(model, _)| weights(model)).sum();
        let resident: f64 = self.resident_models.iter().map(weights).sum();
        let adapter = plan.models.iter().map(|model| model.adapter_mb);
        let adapters = adapter.fold(0.0, f64::max) * f64::from(plan.adapter_slots);
        plan.weights_mb - resident - loading - doubtful - adapters
    }

    /// Tells whether the engine can be given an order.
    #[must_use]
    pub fn accepts_orders(&self, now: Duration) -> bool {
        let rests = |at: Duration| now.saturating_sub(at) < REFUSAL_REST;
        self.accepted_orders.is_some()
            && !self.has_pending_call
            && !self.is_fenced
            && self.is_available()
            && !self.last_refusal_at.is_some_and(rests)
    }

    /// Tells whether the engine can be given an order for a whole model.
    #[must_use]
    pub fn accepts_model_orders(&self, now: Duration) -> bool {
        self.accepts_orders(now)
            && !self.is_busy
            && self.active_order.is_none()
            && self.draining_model.is_none()
    }

    /// Tells whether what it holds lasts: it is neither leaving nor lost.
    #[must_use]
    pub fn is_available(&self) -> bool {
        !self.entry.is_draining && self.liveness != EngineLiveness::Lost
    }

    /// Tells whether it holds a model, or is loading it.
    #[must_use]
    pub fn holds_or_loads(&self, model: &str) -> bool {
        let loads =
            matches!(&self.active_order, Some((OrderAction::Load, loaded, _)) if loaded == model);
        loads || self.routable_models.iter().any(|held| held.model == model)
    }

    /// Returns the number of adapter places that are taken, or may be by a load without an answer.
    #[must_use]
    pub fn used_adapter_slots(&self) -> usize {
        let doubtful = self
            .unconfirmed_loads
            .iter()
            .filter(|(model, _)| model.contains('/') && !self.resident_adapters.contains(model));
        self.resident_adapters.len() + doubtful.count()
    }

    /// Returns its entry with the models that requests can use.
    #[must_use]
    pub fn routable_entry(&self) -> TargetEntry {
        TargetEntry {
            models: self.routable_models.clone(),
            ..self.entry.clone()
        }
    }
}
