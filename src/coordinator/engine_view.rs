use std::{collections::HashMap, time::Duration};

use super::engine_memory::EngineMemory;
use crate::{
    adapter::{EngineStatus, LoadedModel, OrderAction, TargetEntry},
    ids::ModelId,
    plan::EnginePlan,
    state::EvacuationState,
};

/// Time after which an engine no longer carries out an order that it did not answer.
const UNCONFIRMED_ORDER_LIMIT: Duration = Duration::from_secs(14);

/// Maximum delay with which an engine's status report shows an accepted order.
const MAX_REPORT_LAG: Duration = Duration::from_secs(1);

/// Back-off after an engine refused an order that was meant for another engine. The intended engine
/// is gone or was restarted, which the platform's list shows within this time.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(2);

/// Result of failure detection for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineLiveness {
    /// No failure has been observed.
    Alive,
    /// A gateway got no response from the engine, and the engine has not reported since.
    Suspected,
    /// The status poll of the suspected engine failed as well.
    Lost,
}

/// The leader's view of one engine: the last status report and the orders given since.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Entry of the engine in the platform's list.
    pub entry: TargetEntry,
    /// Models to which gateways may send requests. A model that is about to be unloaded is left
    /// out.
    pub routable_models: Vec<LoadedModel>,
    /// Models that use memory, whatever their state.
    pub resident_models: Vec<ModelId>,
    /// Models whose weights are cached on the engine's host, so that a load does not use the weight
    /// store.
    pub cached_models: Vec<ModelId>,
    /// Adapters that use a slot, whatever their state.
    pub resident_adapters: Vec<ModelId>,
    /// When an order for an adapter was last given.
    pub adapter_ordered_at: HashMap<ModelId, Duration>,
    /// Number of orders that the engine has accepted; `None` until it reports the number.
    pub accepted_orders: Option<u64>,
    /// Whether the engine reports that it is carrying out an order, which may be one of a former
    /// leader.
    pub is_busy: bool,
    /// When the engine last accepted an order. Earlier reports do not include its effect.
    pub last_order_at: Duration,
    /// Whether a call to the engine is in progress.
    pub has_pending_call: bool,
    /// Order for a whole model that is in progress, and when it was given.
    pub active_order: Option<(OrderAction, ModelId, Duration)>,
    /// Model that is unloaded once gateways have stopped sending requests to it, and when this was
    /// decided.
    pub draining_model: Option<(ModelId, Duration)>,
    /// Model for which memory is being freed, and since when.
    pub reservation: Option<(ModelId, Duration)>,
    /// Loads that were ordered without an answer and may still begin, and when they were ordered.
    pub unconfirmed_loads: Vec<(ModelId, Duration)>,
    /// Whether the engine has received an order from a later leader.
    pub is_fenced: bool,
    /// Whether the engine is alive, suspected or lost.
    pub liveness: EngineLiveness,
    /// Whether the data centre of the engine is evacuated.
    pub evacuation: EvacuationState,
    /// When an order was last refused, which happens when another engine has taken over the
    /// address.
    pub last_refusal_at: Option<Duration>,
    /// When the status of the engine was last polled.
    pub last_poll_at: Duration,
    /// Polls without an answer since the last answer.
    pub unanswered_polls: u32,
}

impl EngineView {
    /// Returns the view of an engine that has just appeared in the platform's list.
    #[must_use]
    pub fn new(entry: TargetEntry) -> Self {
        let models = entry.models.iter().map(|held| held.model.clone());
        let adapters = entry
            .models
            .iter()
            .flat_map(|held| held.adapters.iter().cloned());
        Self {
            routable_models: entry.models.clone(),
            resident_models: models.collect(),
            resident_adapters: adapters.collect(),
            adapter_ordered_at: HashMap::new(),
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
            evacuation: EvacuationState::InService,
            last_refusal_at: None,
            last_poll_at: Duration::ZERO,
            unanswered_polls: 0,
        }
    }

    /// Applies a status report of the engine unless it is older than the last accepted order.
    pub fn apply_status(&mut self, status: EngineStatus, now: Duration) {
        let is_stale = self
            .accepted_orders
            .is_some_and(|orders| status.orders < orders)
            && now.saturating_sub(self.last_order_at) < MAX_REPORT_LAG;
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
            .retain(|(_, at)| now.saturating_sub(*at) < UNCONFIRMED_ORDER_LIMIT);
        let is_complete = match &self.active_order {
            Some((OrderAction::Load, model, _)) => self.resident_models.contains(model),
            Some((OrderAction::Unload, model, _)) => !self.resident_models.contains(model),
            None => true,
        };
        if is_complete && !status.is_busy {
            self.active_order = None;
        }
        self.cached_models = status.cached_models;
        self.routable_models = status.models;
        let draining = self.draining_model.as_ref().map(|(model, _)| model);
        let unloading = match &self.active_order {
            Some((OrderAction::Unload, model, _)) => Some(model),
            _ => None,
        };
        self.routable_models
            .retain(|held| Some(&held.model) != draining && Some(&held.model) != unloading);
    }

    /// Returns the memory in MB that is free for another model, assuming that all adapter slots are
    /// in use and that every unconfirmed load begins.
    #[must_use]
    pub fn free_mb(&self, plan: &EnginePlan) -> f64 {
        self.free_mb_of(&EngineMemory::new(plan))
    }

    /// Returns [`Self::free_mb`] from weights that have been looked up for many engines.
    pub(super) fn free_mb_of(&self, memory: &EngineMemory<'_>) -> f64 {
        let weights = |model: &ModelId| memory.weights_mb(model);
        let loading = match &self.active_order {
            Some((OrderAction::Load, model, _)) if !self.resident_models.contains(model) => {
                weights(model)
            }
            _ => 0.0,
        };
        let unconfirmed = self
            .unconfirmed_loads
            .iter()
            .filter(|(model, _)| !model.contains('/') && !self.resident_models.contains(model));
        let unconfirmed: f64 = unconfirmed.map(|(model, _)| weights(model)).sum();
        let resident: f64 = self.resident_models.iter().map(weights).sum();
        memory.capacity_mb - resident - loading - unconfirmed - memory.adapters_mb
    }

    /// Returns whether the engine accepts an order now.
    #[must_use]
    pub fn accepts_orders(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < REFUSAL_BACKOFF;
        self.accepted_orders.is_some()
            && !self.has_pending_call
            && !self.is_fenced
            && self.is_available()
            && !self.last_refusal_at.is_some_and(is_recent)
    }

    /// Returns whether the engine accepts an order to load or unload a whole model now.
    #[must_use]
    pub fn accepts_model_orders(&self, now: Duration) -> bool {
        self.accepts_orders(now)
            && !self.is_busy
            && self.active_order.is_none()
            && self.draining_model.is_none()
    }

    /// Returns whether the engine is neither draining, evacuated nor lost, so that its copies count.
    #[must_use]
    pub fn is_available(&self) -> bool {
        !self.entry.is_draining
            && self.evacuation == EvacuationState::InService
            && self.liveness != EngineLiveness::Lost
    }

    /// Returns whether a model is loaded or being loaded.
    #[must_use]
    pub fn holds_or_loads(&self, model: &str) -> bool {
        let is_loading =
            matches!(&self.active_order, Some((OrderAction::Load, loaded, _)) if loaded == model);
        is_loading || self.routable_models.iter().any(|held| held.model == model)
    }

    /// Returns the number of adapter slots in use, including those of unconfirmed loads.
    #[must_use]
    pub fn used_adapter_slots(&self) -> usize {
        let unconfirmed = self
            .unconfirmed_loads
            .iter()
            .filter(|(model, _)| model.contains('/') && !self.resident_adapters.contains(model));
        self.resident_adapters.len() + unconfirmed.count()
    }

    /// Returns the entry of the engine with the models to which gateways may send requests.
    #[must_use]
    pub fn routable_entry(&self) -> TargetEntry {
        TargetEntry {
            models: self.routable_models.clone(),
            ..self.entry.clone()
        }
    }
}
