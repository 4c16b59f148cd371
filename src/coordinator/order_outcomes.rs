//! Tracking of orders in the engine table: when one is sent and when its outcome is known.

use std::time::Duration;

use super::engine_table::{EngineTable, PlannedOrder, base_model, is_adapter};
use crate::adapter::{LoadedModel, OrderAction, OrderResponse};

impl EngineTable {
    /// Records that an order is being sent.
    pub fn begin_order(&mut self, order: &PlannedOrder, now: Duration) {
        let Some(view) = self.engines.get_mut(&order.target) else {
            return;
        };
        view.has_pending_call = true;
        if is_adapter(&order.model) {
            view.adapter_ordered_at.insert(order.model.clone(), now);
        } else {
            view.active_order = Some((order.action, order.model.clone(), now));
            view.draining_model = None;
            if order.action == OrderAction::Load {
                view.reservation = None;
            }
        }
    }

    /// Records the outcome of an order; `None` when the engine did not respond, in which case it
    /// may still carry the order out.
    pub fn finish_order(
        &mut self,
        order: &PlannedOrder,
        response: Option<OrderResponse>,
        now: Duration,
    ) {
        let Some(view) = self.engines.get_mut(&order.target) else {
            return;
        };
        view.has_pending_call = false;
        let is_whole_model = !is_adapter(&order.model);
        match response {
            Some(OrderResponse::Accepted) => {
                if !is_whole_model && order.action == OrderAction::Load {
                    view.resident_adapters.push(order.model.clone());
                }
                view.accepted_orders = view.accepted_orders.map(|orders| orders + 1);
                view.last_poll_at = now;
                view.last_order_at = now;
                if is_whole_model {
                    return;
                }
            }
            Some(OrderResponse::Holds) => {
                if is_whole_model {
                    view.active_order = None;
                    view.accepted_orders = None;
                    view.last_poll_at = Duration::ZERO;
                    return;
                }
                // The engine unloads an unused adapter at once, and counts the order as accepted.
                if order.action == OrderAction::Unload {
                    view.accepted_orders = view.accepted_orders.map(|orders| orders + 1);
                    view.last_order_at = now;
                    view.resident_adapters.retain(|known| *known != order.model);
                }
            }
            Some(OrderResponse::Fenced) => {
                view.is_fenced = true;
                view.active_order = None;
                return;
            }
            Some(OrderResponse::Refused) => {
                view.last_refusal_at = Some(now);
                view.active_order = None;
                return;
            }
            Some(OrderResponse::Busy) => {
                view.active_order = None;
                view.accepted_orders = None;
                view.last_poll_at = Duration::ZERO;
                return;
            }
            None => {
                if order.action == OrderAction::Load {
                    view.unconfirmed_loads.push((order.model.clone(), now));
                }
                view.active_order = None;
                view.accepted_orders = None;
                view.last_poll_at = Duration::ZERO;
                return;
            }
        }
        if apply_adapter_order(&mut view.routable_models, order) {
            self.unpublished.insert(order.target.clone());
        }
    }
}

/// Adds or removes the adapter of an order. Returns whether this changed the models.
fn apply_adapter_order(models: &mut [LoadedModel], order: &PlannedOrder) -> bool {
    let Some(held) = models
        .iter_mut()
        .find(|held| held.model == base_model(&order.model))
    else {
        return false;
    };
    let is_held = held.adapters.contains(&order.model);
    match order.action {
        OrderAction::Load if !is_held => held.adapters.push(order.model.clone()),
        OrderAction::Unload if is_held => held.adapters.retain(|known| *known != order.model),
        _ => return false,
    }
    true
}
