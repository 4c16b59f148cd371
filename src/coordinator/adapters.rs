//! Which adapters engines load and unload.

use std::time::Duration;

use super::{
    engine_view::EngineView,
    engines::{EngineTable, WantedOrder, base, is_adapter},
    gateways::GatewayTable,
};
use crate::{adapter::OrderAction, ids::ModelId, plan::EnginePlan, sync::ServedModel};

/// Time for which an adapter that was used is not unloaded for another.
const ADAPTER_REST: Duration = Duration::from_secs(3);
/// Part of the mean load of an engine above which a single adapter gets another copy.
const HOT_ADAPTER: f64 = 0.2;

impl EngineTable {
    pub(super) fn decide_adapters(
        &mut self,
        service: &str,
        engine: &EnginePlan,
        gateways: &GatewayTable,
        orders: &mut Vec<WantedOrder>,
        now: Duration,
    ) {
        let lasting = self.engines_of(service);
        let lasting = lasting.filter(|belief| belief.is_available()).count();
        let total: f64 = gateways.all_demand(now).map(|(_, tokens)| tokens).sum();
        #[allow(clippy::cast_precision_loss)] // Counts of engines are small.
        let mean = total / lasting.max(1) as f64;
        let mut wanted: Vec<&ServedModel> = gateways
            .wanted()
            .filter(|model| model.service == service && is_adapter(&model.model))
            .collect();
        wanted.sort();
        wanted.dedup();
        for model in wanted {
            if self.adapter_copies(service, &model.model) == 0 {
                self.order_adapter(service, engine, model, "awaited", orders, now);
            }
        }
        for (model, tokens) in gateways.all_demand(now) {
            if model.service != service || !is_adapter(&model.model) {
                continue;
            }
            let copies = self.adapter_copies(service, &model.model);
            #[allow(clippy::cast_precision_loss)] // Counts of copies are small.
            let share = tokens / copies.max(1) as f64;
            if copies > 0 && share > HOT_ADAPTER * mean {
                self.order_adapter(service, engine, model, "demand", orders, now);
            }
        }
    }

    fn adapter_copies(&self, service: &str, adapter: &ModelId) -> usize {
        let holding = self.engines_of(service).filter(|belief| {
            belief.is_available()
                && belief
                    .routable_models
                    .iter()
                    .any(|held| held.adapters.contains(adapter))
        });
        holding.count()
    }

    fn order_adapter(
        &mut self,
        service: &str,
        engine: &EnginePlan,
        wanted: &ServedModel,
        reason: &'static str,
        orders: &mut Vec<WantedOrder>,
        now: Duration,
    ) {
        let model = base(&wanted.model);
        let places = engine.adapter_slots as usize;
        let open = self.engines_of(service).filter(|belief| {
            let is_ordered = orders.iter().any(|order| order.target == belief.entry.id);
            let held = belief
                .routable_models
                .iter()
                .find(|held| held.model == model);
            // An engine that loads or unloads a whole model refuses other orders meanwhile.
            belief.accepts_model_orders(now)
                && !is_ordered
                && held.is_some_and(|held| !held.adapters.contains(&wanted.model))
        });
        let Some(belief) =
            open.min_by_key(|belief| (belief.used_adapter_slots(), belief.routable_models.len()))
        else {
            return;
        };
        let (Some(after_orders), target) = (belief.accepted_orders, belief.entry.id.clone()) else {
            return;
        };
        let (action, model) = if belief.used_adapter_slots() < places {
            (OrderAction::Load, wanted.model.clone())
        } else {
            match self.idle_adapter(belief, now) {
                Some(idle) => (OrderAction::Unload, idle),
                None => return,
            }
        };
        orders.push(WantedOrder {
            target,
            action,
            model,
            after_orders,
            reason,
        });
    }

    /// Returns the adapter of an engine that was asked for least lately.
    fn idle_adapter(&self, belief: &EngineView, now: Duration) -> Option<ModelId> {
        let used = |adapter: &ModelId| {
            let key = (belief.entry.id.clone(), adapter.clone());
            self.adapter_uses.get(&key).copied().unwrap_or_default()
        };
        let adapters = belief
            .routable_models
            .iter()
            .flat_map(|held| &held.adapters);
        let idle = adapters.filter(|adapter| now.saturating_sub(used(adapter)) > ADAPTER_REST);
        idle.min_by_key(|adapter| used(adapter)).cloned()
    }
}
