//! What becomes of orders: what the leader believes while one is under way and after its answer.

use std::time::Duration;

use super::engines::{EngineTable, WantedOrder, base, is_adapter};
use crate::adapter::{LoadedModel, OrderAction, OrderResponse};

impl EngineTable {
    /// Marks an engine as called with an order.
    pub fn begin_order(&mut self, order: &WantedOrder, now: Duration) {
        let Some(belief) = self.engines.get_mut(&order.target) else {
            return;
        };
        belief.has_pending_call = true;
        if is_adapter(&order.model) {
            let key = (order.target.clone(), order.model.clone());
            self.adapter_uses.insert(key, now);
        } else {
            belief.active_order = Some((order.action, order.model.clone(), now));
            belief.draining_model = None;
            if order.action == OrderAction::Load {
                belief.reservation = None;
            }
        }
    }

    /// Takes over the outcome of an order; `None` when the engine gave no answer and may carry it
    /// out later.
    pub fn end_order(&mut self, order: &WantedOrder, answer: Option<OrderResponse>, now: Duration) {
        let Some(belief) = self.engines.get_mut(&order.target) else {
            return;
        };
        belief.has_pending_call = false;
        let is_whole = !is_adapter(&order.model);
        match answer {
            Some(OrderResponse::Accepted) => {
                if !is_whole && order.action == OrderAction::Load {
                    belief.resident_adapters.push(order.model.clone());
                }
                belief.accepted_orders = belief.accepted_orders.map(|orders| orders + 1);
                belief.last_poll_at = now;
                belief.last_order_at = now;
                if is_whole {
                    return;
                }
            }
            Some(OrderResponse::Holds) => {
                if is_whole {
                    belief.active_order = None;
                    belief.accepted_orders = None;
                    belief.last_poll_at = Duration::ZERO;
                    return;
                }
                // An adapter that no request uses is gone at once, and the order counts.
                if order.action == OrderAction::Unload {
                    belief.accepted_orders = belief.accepted_orders.map(|orders| orders + 1);
                    belief.last_order_at = now;
                    belief
                        .resident_adapters
                        .retain(|known| *known != order.model);
                }
            }
            Some(OrderResponse::Fenced) => {
                belief.is_fenced = true;
                belief.active_order = None;
                return;
            }
            Some(OrderResponse::Refused) => {
                belief.last_refusal_at = Some(now);
                belief.active_order = None;
                return;
            }
            Some(OrderResponse::Busy) => {
                belief.active_order = None;
                belief.accepted_orders = None;
                belief.last_poll_at = Duration::ZERO;
                return;
            }
            None => {
                if order.action == OrderAction::Load {
                    belief.unconfirmed_loads.push((order.model.clone(), now));
                }
                belief.active_order = None;
                belief.accepted_orders = None;
                belief.last_poll_at = Duration::ZERO;
                return;
            }
        }
        self.is_changed |= change_adapter(&mut belief.routable_models, order);
    }
}

fn change_adapter(held: &mut [LoadedModel], order: &WantedOrder) -> bool {
    let Some(held) = held
        .iter_mut()
        .find(|held| held.model == base(&order.model))
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
