//! Planning of which adapters engines load and unload.

use std::time::Duration;

use super::{
    engine_table::{EngineTable, PlannedOrder, base_model, is_adapter},
    engine_view::EngineView,
    gateway_table::GatewayTable,
};
use crate::{adapter::OrderAction, ids::ModelId, plan::EnginePlan, sync::ServedModel};

/// Time since its last use after which an adapter can be evicted for another one.
const MIN_IDLE_TIME: Duration = Duration::from_secs(3);
/// Fraction of the mean load of an engine above which an adapter gets another copy.
const OVERLOAD_FRACTION: f64 = 0.2;

impl EngineTable {
    /// Plans orders for adapters: an adapter that requests wait for gets a copy, and an adapter
    /// with a high demand per copy gets another one.
    pub(super) fn plan_adapters(
        &mut self,
        service: &str,
        engine: &EnginePlan,
        gateways: &GatewayTable,
        orders: &mut Vec<PlannedOrder>,
        now: Duration,
    ) {
        let engines = self.service_engines(service);
        let available = engines.filter(|view| view.is_available()).count();
        let total: f64 = gateways.current_demand(now).map(|(_, tokens)| tokens).sum();
        #[allow(clippy::cast_precision_loss)] // Counts of engines are small.
        let mean = total / available.max(1) as f64;
        let mut awaited: Vec<&ServedModel> = gateways
            .awaited_models()
            .filter(|model| model.service == service && is_adapter(&model.model))
            .collect();
        awaited.sort();
        awaited.dedup();
        for model in awaited {
            if self.adapter_copies(service, &model.model) == 0 {
                self.plan_adapter_copy(service, engine, model, "awaited", orders, now);
            }
        }
        for (model, tokens) in gateways.current_demand(now) {
            if model.service != service || !is_adapter(&model.model) {
                continue;
            }
            let copies = self.adapter_copies(service, &model.model);
            #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
            let share = tokens / copies.max(1) as f64;
            if copies > 0 && share > OVERLOAD_FRACTION * mean {
                self.plan_adapter_copy(service, engine, model, "demand", orders, now);
            }
        }
    }

    fn adapter_copies(&self, service: &str, adapter: &ModelId) -> usize {
        let holders = self.service_engines(service).filter(|view| {
            view.is_available()
                && view
                    .routable_models
                    .iter()
                    .any(|held| held.adapters.contains(adapter))
        });
        holders.count()
    }

    /// Plans one order towards a copy of an adapter: a load on the engine with the fewest adapters,
    /// or an unload of an idle adapter when all slots of this engine are in use.
    fn plan_adapter_copy(
        &mut self,
        service: &str,
        engine: &EnginePlan,
        adapter: &ServedModel,
        reason: &'static str,
        orders: &mut Vec<PlannedOrder>,
        now: Duration,
    ) {
        let model = base_model(&adapter.model);
        let slots = engine.adapter_slots as usize;
        let candidates = self.service_engines(service).filter(|view| {
            let is_ordered = orders.iter().any(|order| order.target == view.entry.id);
            let held = view.routable_models.iter().find(|held| held.model == model);
            // An engine refuses adapter orders while it loads or unloads a whole model.
            view.accepts_model_orders(now)
                && !is_ordered
                && held.is_some_and(|held| !held.adapters.contains(&adapter.model))
        });
        let Some(view) =
            candidates.min_by_key(|view| (view.used_adapter_slots(), view.routable_models.len()))
        else {
            return;
        };
        let (Some(expected_orders), target) = (view.accepted_orders, view.entry.id.clone()) else {
            return;
        };
        let (action, model) = if view.used_adapter_slots() < slots {
            (OrderAction::Load, adapter.model.clone())
        } else {
            match self.eviction_candidate(view, now) {
                Some(evicted) => (OrderAction::Unload, evicted),
                None => return,
            }
        };
        orders.push(PlannedOrder {
            target,
            action,
            model,
            expected_orders,
            reason,
        });
    }

    /// Returns the least recently used adapter of an engine unless it was used within
    /// [`MIN_IDLE_TIME`].
    fn eviction_candidate(&self, view: &EngineView, now: Duration) -> Option<ModelId> {
        let last_used = |adapter: &ModelId| {
            let key = (view.entry.id.clone(), adapter.clone());
            self.adapter_last_used
                .get(&key)
                .copied()
                .unwrap_or_default()
        };
        let adapters = view.routable_models.iter().flat_map(|held| &held.adapters);
        let idle =
            adapters.filter(|adapter| now.saturating_sub(last_used(adapter)) > MIN_IDLE_TIME);
        idle.min_by_key(|adapter| last_used(adapter)).cloned()
    }
}
