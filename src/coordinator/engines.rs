use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use spdlog::prelude::*;

use super::{
    engine_view::{EngineLiveness, EngineView},
    gateways::GatewayTable,
    placement::{
        CopyAction, ModelNeed, PlacementEngine, PlacementInput, SPARE_REASON, describe_load,
        plan_copies,
    },
};
use crate::{
    adapter::{EngineStatus, OrderAction, TargetEntry},
    ids::{ModelId, TargetId},
    plan::{EnginePlan, PlanIndex},
    sync::ServedModel,
};

/// Time between two questions to an engine that carries out an order.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Time between two questions to an engine that does nothing; it may have been restarted.
const IDLE_CHECK_PERIOD: Duration = Duration::from_secs(8);
/// Time between two log lines about demand and load.
const DESCRIBE_PERIOD: Duration = Duration::from_secs(2);
/// Longest time for which a trend of demand is continued.
const LONGEST_HORIZON: Duration = Duration::from_secs(3);
/// Time between two plans for all copies, which look at each model for each engine. Orders for
/// adapters and those that were waited for go out between them.
const COPY_PERIOD: Duration = Duration::from_millis(150);
/// Time beyond a sync of all gateways in which they stop sending requests for a model before it is
/// unloaded.
const RETIRE_MARGIN: Duration = Duration::from_millis(100);
/// Time after which an order that the engine does not show counts as lost.
const LOST_ORDER_LIMIT: Duration = Duration::from_secs(20);
/// Time for which room is kept for the model that it was made for.
const RESERVATION_LIMIT: Duration = Duration::from_secs(15);
/// Loads that may begin at once after a quiet time. The weight store counts them over several
/// seconds and allows as many on top.
const LOAD_BURST: f64 = 3.0;
/// Part of the store's rate that is used; loads of a former leader may still begin.
const LOAD_RATE_SHARE: f64 = 0.9;

/// An order that the table asks for; its number of earlier orders is part of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedOrder {
    /// The engine.
    pub target: TargetId,
    /// What it is to do.
    pub action: OrderAction,
    /// Model, or `model/adapter`.
    pub model: ModelId,
    /// Orders that the engine has accepted before.
    pub after_orders: u64,
    /// Why.
    pub reason: &'static str,
}

/// What the leader believes about all targets, and the orders that follow from it.
#[derive(Debug, Default)]
pub struct EngineTable {
    pub(super) engines: BTreeMap<TargetId, EngineView>,
    plain: Vec<TargetEntry>,
    pub(super) adapter_uses: HashMap<(TargetId, ModelId), Duration>,
    load_tokens: f64,
    load_tokens_at: Duration,
    described_at: Duration,
    copies_at: Option<Duration>,
    /// Whether gateways lack something of what the table says.
    pub(super) is_changed: bool,
}

impl EngineTable {
    /// Takes over the platform's list. Models of engines that were asked themselves stay, since the
    /// list is older.
    pub fn apply_list(&mut self, plan: &PlanIndex, list: Vec<TargetEntry>) {
        let mut engines = BTreeMap::new();
        let mut services = Vec::new();
        for entry in list {
            let service = plan.service(&entry.service);
            if service.is_none_or(|service| service.engine.is_none()) {
                services.push(entry);
                continue;
            }
            let old = self.engines.remove(&entry.id);
            let old = old.filter(|old| old.entry.started_ms == entry.started_ms);
            self.is_changed |= old.as_ref().is_none_or(|old| old.entry != entry);
            let belief = match old {
                Some(old) => EngineView { entry, ..old },
                None => EngineView::new(entry),
            };
            engines.insert(belief.entry.id.clone(), belief);
        }
        self.is_changed |= !self.engines.is_empty() || services != self.plain;
        self.engines = engines;
        self.plain = services;
    }

    /// Tells whether gateways lack something, once.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Returns the targets with the models that requests can use.
    pub fn targets(&self) -> Vec<TargetEntry> {
        let engines = self.engines.values().map(EngineView::routable_entry);
        engines.chain(self.plain.iter().cloned()).collect()
    }

    /// Returns an engine.
    pub fn get(&self, target: &TargetId) -> Option<&EngineView> {
        self.engines.get(target)
    }

    /// Returns the engines to ask for their state, and marks them as asked.
    pub fn due_checks(&mut self, now: Duration) -> Vec<TargetEntry> {
        let mut due = Vec::new();
        for belief in self.engines.values_mut() {
            let is_awaited = belief.active_order.is_some()
                || belief.is_busy
                || belief.liveness != EngineLiveness::Alive;
            let period = if belief.accepted_orders.is_none() || is_awaited {
                CHECK_PERIOD
            } else {
                IDLE_CHECK_PERIOD
            };
            let is_new = belief.accepted_orders.is_none() && belief.last_poll_at.is_zero();
            if !belief.has_pending_call
                && (is_new || now.saturating_sub(belief.last_poll_at) >= period)
            {
                belief.has_pending_call = true;
                belief.last_poll_at = now;
                due.push(belief.entry.clone());
            }
        }
        due
    }

    /// Takes over an engine's answer about its state; `None` when it gave none.
    pub fn accept_status(
        &mut self,
        target: &TargetId,
        status: Option<EngineStatus>,
        now: Duration,
    ) {
        let Some(belief) = self.engines.get_mut(target) else {
            return;
        };
        belief.has_pending_call = false;
        let Some(status) = status else {
            if belief.liveness == EngineLiveness::Suspected {
                belief.liveness = EngineLiveness::Lost;
                warn!("place: an engine is lost", kv: { target = target.as_str() });
            }
            return;
        };
        belief.liveness = EngineLiveness::Alive;
        let before = belief.routable_models.clone();
        let is_lost = belief
            .active_order
            .as_ref()
            .is_some_and(|(_, _, since)| now.saturating_sub(*since) > LOST_ORDER_LIMIT);
        if is_lost {
            belief.active_order = None;
        }
        belief.accept(status, now);
        self.is_changed |= belief.routable_models != before;
    }

    /// Notes that a gateway hears nothing of a target, so that it is asked for its state now. The
    /// platform's list tells seconds later that it is gone.
    pub fn suspect(&mut self, target: &TargetId) {
        match self.engines.get_mut(target) {
            Some(belief) if belief.liveness == EngineLiveness::Alive => {
                belief.liveness = EngineLiveness::Suspected;
            }
            _ => {}
        }
    }

    /// Decides on orders. Each engine gets one at a time.
    pub fn decide(
        &mut self,
        plan: &PlanIndex,
        gateways: &GatewayTable,
        now: Duration,
    ) -> Vec<WantedOrder> {
        let mut orders = Vec::new();
        let copies_at = self.copies_at.replace(now);
        let is_due = copies_at.is_none_or(|at| now.saturating_sub(at) >= COPY_PERIOD);
        if !is_due {
            self.copies_at = copies_at;
        }
        for service in plan.services() {
            let Some(engine) = &service.engine else {
                continue;
            };
            self.refill_loads(engine, now);
            self.decide_retired(gateways, &mut orders, now);
            self.decide_adapters(&service.id, engine, gateways, &mut orders, now);
            if is_due {
                self.decide_copies(&service.id, engine, gateways, &mut orders, now);
            }
        }
        for order in &orders {
            self.begin_order(order, now);
        }
        orders
    }

    fn refill_loads(&mut self, engine: &EnginePlan, now: Duration) {
        let elapsed = now.saturating_sub(self.load_tokens_at).as_secs_f64();
        self.load_tokens_at = now;
        let refill = elapsed * engine.loads_per_second * LOAD_RATE_SHARE;
        self.load_tokens = (self.load_tokens + refill).min(LOAD_BURST);
    }

    fn decide_retired(
        &self,
        gateways: &GatewayTable,
        orders: &mut Vec<WantedOrder>,
        now: Duration,
    ) {
        let retire_delay = gateways.sync_period() + RETIRE_MARGIN;
        for belief in self.engines.values() {
            match (&belief.draining_model, belief.accepted_orders) {
                (Some((model, since)), Some(after_orders))
                    if belief.accepts_orders(now) && now.saturating_sub(*since) >= retire_delay =>
                {
                    orders.push(WantedOrder {
                        target: belief.entry.id.clone(),
                        action: OrderAction::Unload,
                        model: model.clone(),
                        after_orders,
                        reason: "makes room",
                    });
                }
                _ => {}
            }
        }
    }

    pub(super) fn engines_of<'e>(
        &'e self,
        service: &'e str,
    ) -> impl Iterator<Item = &'e EngineView> {
        self.engines
            .values()
            .filter(move |belief| belief.entry.service == service)
    }

    fn decide_copies(
        &mut self,
        service: &str,
        engine: &EnginePlan,
        gateways: &GatewayTable,
        orders: &mut Vec<WantedOrder>,
        now: Duration,
    ) {
        let mut input = self.placement_input(service, engine, gateways, orders, now);
        if !gateways.knows_demand(now) {
            for need in &mut input.models {
                need.tokens_per_second = 0.0;
            }
        }
        if now.saturating_sub(self.described_at) >= DESCRIBE_PERIOD {
            self.described_at = now;
            let (models, engines) = describe_load(&input);
            info!("place: demand", kv: { models = models.as_str(), engines = engines.as_str() });
        }
        let made = input
            .engines
            .iter()
            .filter(|load| load.reserved_for.is_some());
        #[allow(clippy::cast_precision_loss)] // Counts of engines are small.
        let mut rooms = made.count() as f64;
        for step in plan_copies(&input) {
            let Some(belief) = self.engines.get_mut(&step.engine) else {
                continue;
            };
            let Some(after_orders) = belief.accepted_orders else {
                continue;
            };
            match step.action {
                // Room that no load can fill soon only takes a copy away.
                CopyAction::Unload(_) if rooms >= self.load_tokens + 1.0 => {}
                CopyAction::Unload(model) => {
                    rooms += 1.0;
                    info!("place: retires a copy", kv: {
                        target = step.engine.as_str(),
                        model = model.as_str(),
                        reason = step.reason,
                    });
                    belief.routable_models.retain(|held| held.model != model);
                    self.is_changed = true;
                    belief.draining_model = Some((model, now));
                    belief.reservation = Some((step.model, now));
                }
                CopyAction::Load(model)
                    if !belief.cached_models.contains(&model)
                        && self.load_tokens < needed_tokens(step.reason) => {}
                CopyAction::Load(model) => {
                    if !belief.cached_models.contains(&model) {
                        self.load_tokens -= 1.0;
                    }
                    orders.push(WantedOrder {
                        target: step.engine,
                        action: OrderAction::Load,
                        model,
                        after_orders,
                        reason: step.reason,
                    });
                }
            }
        }
    }

    fn placement_input(
        &self,
        service: &str,
        engine: &EnginePlan,
        gateways: &GatewayTable,
        orders: &[WantedOrder],
        now: Duration,
    ) -> PlacementInput {
        let mut demand: HashMap<&str, f64> = HashMap::new();
        let horizon = |model: &ServedModel| {
            let plan = engine.model(base(&model.model));
            plan.map_or(Duration::ZERO, |plan| plan.load_time)
                .min(LONGEST_HORIZON)
        };
        for (model, tokens) in gateways.demand_ahead(now, horizon) {
            if model.service == service {
                *demand.entry(base(&model.model)).or_default() += tokens;
            }
        }
        let awaited: Vec<&str> = gateways
            .wanted()
            .filter(|model| model.service == service)
            .map(|model| base(&model.model))
            .collect();
        let models = engine.models.iter().map(|model| ModelNeed {
            id: model.id.clone(),
            weights_mb: model.weights_mb,
            tokens_per_second: demand.get(model.id.as_str()).copied().unwrap_or(0.0),
            has_waiting_requests: awaited.contains(&model.id.as_str()),
        });
        let engines = self.engines_of(service).map(|belief| {
            let loading = match &belief.active_order {
                Some((OrderAction::Load, model, _)) => Some(model.clone()),
                _ => None,
            };
            let held = belief.routable_models.iter().map(|held| held.model.clone());
            let mut models: Vec<ModelId> = held.chain(loading.clone()).collect();
            models.dedup();
            let is_ordered = orders.iter().any(|order| order.target == belief.entry.id);
            let reserved = belief.reservation.as_ref();
            let reserved = reserved
                .filter(|(_, since)| now.saturating_sub(*since) < RESERVATION_LIMIT)
                .map(|(model, _)| model.clone());
            PlacementEngine {
                cached_models: belief.cached_models.clone(),
                reserved_for: reserved,
                id: belief.entry.id.clone(),
                models,
                loading,
                free_mb: belief.free_mb(engine),
                accepts_model_orders: belief.accepts_model_orders(now) && !is_ordered,
                is_available: belief.is_available(),
            }
        });
        PlacementInput {
            engines: engines.collect(),
            models: models.collect(),
        }
    }

    /// Notes that requests for an adapter came, wherever it is held.
    pub fn note_adapter_use(&mut self, adapter: &ModelId, now: Duration) {
        if !is_adapter(adapter) {
            return;
        }
        for belief in self.engines.values() {
            if belief
                .routable_models
                .iter()
                .any(|held| held.adapters.contains(adapter))
            {
                let key = (belief.entry.id.clone(), adapter.clone());
                self.adapter_uses.insert(key, now);
            }
        }
    }
}

/// Spare copies leave a load for what callers wait for.
fn needed_tokens(reason: &str) -> f64 {
    match reason {
        SPARE_REASON => LOAD_BURST,
        _ => 1.0,
    }
}

pub(super) fn is_adapter(model: &str) -> bool {
    model.contains('/')
}

pub(super) fn base(model: &str) -> &str {
    model.split_once('/').map_or(model, |(base, _)| base)
}
