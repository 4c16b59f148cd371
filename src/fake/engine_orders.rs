use std::time::Duration;

use rocket::{
    Route, State, get, post, routes,
    serde::json::{Json, Value, json},
};

use super::engine::EngineShared;
use crate::{
    order::{EngineOrder, OrderAction, OrderAnswer},
    sync::EngineReport,
};

/// Calls of the leader: report, orders and cache events.
pub fn routes() -> Vec<Route> {
    routes![report, take_order, cache_events]
}

#[get("/engine/v1/report")]
fn report(shared: &State<EngineShared>) -> Json<EngineReport> {
    let (running, queued) = shared.slots.load();
    Json(shared.state().report(running, queued))
}

#[post("/engine/v1/order", data = "<order>")]
fn take_order(order: Json<EngineOrder>, shared: &State<EngineShared>) -> Json<OrderAnswer> {
    let order = order.into_inner();
    let answer = shared.state().accept(&order);
    if answer != OrderAnswer::Accepted {
        return Json(answer);
    }
    let duration = Duration::from_millis(match &order.action {
        OrderAction::Load(_) => shared.options.load_ms,
        OrderAction::Unload(_) => shared.options.unload_ms,
    });
    if duration.is_zero() {
        shared.state().finish(&order);
    } else {
        let shared = EngineShared::clone(shared);
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            shared.state().finish(&order);
        });
    }
    Json(answer)
}

#[get("/engine/v1/events?<after>")]
fn cache_events(after: Option<u64>, shared: &State<EngineShared>) -> Json<Value> {
    let events = shared.cache().events(after.unwrap_or_default());
    Json(json!({ "events": events }))
}
