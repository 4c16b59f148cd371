//! Planning of which adapters engines load and unload.

use std::{collections::HashSet, time::Duration};

use super::{
    engine_table::{EngineTable, PlannedOrder, base_model, is_adapter},
    engine_view::EngineView,
    gateway_table::GatewayTable,
    model_copies::ModelCopies,
};
use crate::{
    adapter::OrderAction,
    ids::{ModelId, TargetId},
    plan::EnginePlan,
    region::DataCentreFilter,
    sync::AwaitedModel,
};

/// Number of adapters that one plan may load ahead of requests in any fleet.
const MIN_SPARE_ADAPTERS: usize = 2;
/// Number of engines for which a plan may load one adapter ahead of requests.
const ENGINES_PER_SPARE_ADAPTER: usize = 8;
/// Slots of an engine that are left free for adapters that requests wait for.
const FREE_ADAPTER_SLOTS: usize = 1;
/// Time since its last use after which an adapter can be evicted for another one.
const MIN_IDLE_TIME: Duration = Duration::from_secs(3);
/// Fraction of the mean load of an engine above which an adapter gets another copy.
const OVERLOAD_FRACTION: f64 = 0.2;

/// An adapter that needs another copy.
struct AdapterNeed<'n> {
    adapter: &'n ModelId,
    /// Data centres in which the copy is useful.
    data_centres: &'n DataCentreFilter,
    reason: &'static str,
}

impl EngineTable {
    /// Plans orders for adapters that requests wait for and that no allowed engine holds.
    pub(super) fn plan_awaited_adapters(
        &self,
        service: &str,
        engine: &EnginePlan,
        gateways: &GatewayTable,
        orders: &mut Vec<PlannedOrder>,
        now: Duration,
    ) {
        let mut awaited: Vec<&AwaitedModel> = gateways
            .awaited_models()
            .filter(|awaited| awaited.model.service == service && is_adapter(&awaited.model.model))
            .collect();
        if awaited.is_empty() {
            return;
        }
        awaited.sort();
        awaited.dedup();
        let copies = ModelCopies::count(self.service_engines(service));
        for awaited in awaited {
            let adapter = &awaited.model.model;
            let data_centres = self.regional_needs.filter(&awaited.regions);
            if !copies.has_adapter_in(base_model(adapter), adapter, &data_centres) {
                let need = AdapterNeed {
                    adapter,
                    data_centres: &data_centres,
                    reason: "awaited",
                };
                self.plan_adapter_copy(&copies, engine, &need, orders, now);
            }
        }
    }

    /// Plans orders for another copy of adapters with a high demand per copy.
    pub(super) fn plan_demanded_adapters(
        &self,
        service: &str,
        engine: &EnginePlan,
        gateways: &GatewayTable,
        orders: &mut Vec<PlannedOrder>,
        now: Duration,
    ) {
        let copies = ModelCopies::count(self.service_engines(service));
        let engines = self.service_engines(service);
        let available = engines.filter(|view| view.is_available()).count();
        let total: f64 = gateways.current_demand(now).map(|(_, tokens)| tokens).sum();
        #[allow(clippy::cast_precision_loss)] // Counts of engines are small.
        let mean = total / available.max(1) as f64;
        for (model, tokens) in gateways.current_demand(now) {
            if model.service != service || !is_adapter(&model.model) {
                continue;
            }
            let held = copies.of_adapter(&model.model);
            #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
            let share = tokens / held.max(1) as f64;
            if held > 0 && share > OVERLOAD_FRACTION * mean {
                let need = AdapterNeed {
                    adapter: &model.model,
                    data_centres: &DataCentreFilter::Any,
                    reason: "demand",
                };
                self.plan_adapter_copy(&copies, engine, &need, orders, now);
            }
        }
    }

    /// Plans loads of adapters that no engine holds on engines with free slots, so that the first
    /// request for each does not wait for an order.
    pub(super) fn plan_spare_adapters(
        &self,
        service: &str,
        engine: &EnginePlan,
        orders: &mut Vec<PlannedOrder>,
        now: Duration,
    ) {
        let copies = ModelCopies::count(self.service_engines(service));
        let slots = engine.adapter_slots as usize;
        let max_loads = MIN_SPARE_ADAPTERS.max(self.engines.len() / ENGINES_PER_SPARE_ADAPTER);
        let mut ordered: HashSet<TargetId> =
            orders.iter().map(|order| order.target.clone()).collect();
        let mut loads = 0;
        for model in &engine.models {
            let missing = model.adapters.iter();
            for adapter in missing.filter(|adapter| copies.of_adapter(adapter) == 0) {
                if loads == max_loads {
                    return;
                }
                let candidates = copies.holders(&model.id).filter(|(view, _)| {
                    view.accepts_model_orders(now)
                        && view.used_adapter_slots() + FREE_ADAPTER_SLOTS < slots
                        && !view.resident_adapters.contains(adapter)
                        && !ordered.contains(&view.entry.id)
                });
                let view = candidates.min_by_key(|(view, _)| view.used_adapter_slots());
                let Some((view, _)) = view else { continue };
                let Some(expected_orders) = view.accepted_orders else {
                    continue;
                };
                loads += 1;
                ordered.insert(view.entry.id.clone());
                orders.push(PlannedOrder {
                    target: view.entry.id.clone(),
                    action: OrderAction::Load,
                    model: adapter.clone(),
                    expected_orders,
                    reason: "spare adapter",
                });
            }
        }
    }

    /// Plans one order towards a copy of an adapter: a load on the engine with the fewest adapters,
    /// or an unload of an idle adapter when all slots of this engine are in use.
    fn plan_adapter_copy(
        &self,
        copies: &ModelCopies<'_>,
        engine: &EnginePlan,
        need: &AdapterNeed<'_>,
        orders: &mut Vec<PlannedOrder>,
        now: Duration,
    ) {
        let adapter = need.adapter;
        let model = base_model(adapter);
        let slots = engine.adapter_slots as usize;
        let candidates = copies.holders(model).filter(|(view, held)| {
            let is_ordered = orders.iter().any(|order| order.target == view.entry.id);
            // An engine refuses adapter orders while it loads or unloads a whole model.
            view.accepts_model_orders(now)
                && !is_ordered
                && need.data_centres.allows(&view.entry.data_centre)
                && !held.adapters.contains(adapter)
        });
        let candidates = candidates.map(|(view, _)| view);
        let Some(view) =
            candidates.min_by_key(|view| (view.used_adapter_slots(), view.routable_models.len()))
        else {
            return;
        };
        let (Some(expected_orders), target) = (view.accepted_orders, view.entry.id.clone()) else {
            return;
        };
        let (action, model) = if view.used_adapter_slots() < slots {
            (OrderAction::Load, adapter.clone())
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
            reason: need.reason,
        });
    }

    /// Returns the least recently used adapter of an engine unless it was used within
    /// [`MIN_IDLE_TIME`].
    fn eviction_candidate(&self, view: &EngineView, now: Duration) -> Option<ModelId> {
        let last_used = |adapter: &ModelId| {
            let ordered_at = view.adapter_ordered_at.get(adapter);
            let used_at = self.adapter_used_at.get(adapter);
            ordered_at.max(used_at).copied().unwrap_or_default()
        };
        let adapters = view.routable_models.iter().flat_map(|held| &held.adapters);
        let idle =
            adapters.filter(|adapter| now.saturating_sub(last_used(adapter)) > MIN_IDLE_TIME);
        idle.min_by_key(|adapter| last_used(adapter)).cloned()
    }
}
