use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use spdlog::prelude::*;

use super::{
    engine_memory::EngineMemory,
    engine_view::{EngineLiveness, EngineView},
    gateway_table::GatewayTable,
    placement::{
        CopyAction, ModelNeed, PlacementEngine, PlacementInput, SPARE_COPY_REASON, describe_load,
        plan_copies,
    },
    regional_needs::RegionalNeeds,
};
use crate::{
    adapter::{EngineStatus, OrderAction, TargetEntry},
    ids::{ModelId, TargetId},
    plan::{EnginePlan, PlanIndex},
    region::RegionTable,
    sync::ServedModel,
};

/// Poll interval for engines that carry out an order, are not known to be alive or have not
/// reported their number of orders.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of times that this interval doubles while an engine does not answer. The platform's list shows one
/// that has restarted.
const MAX_POLL_DOUBLINGS: u32 = 3;
/// Poll interval for all other engines; detects restarts.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(8);
/// Interval of the log line about demand and load.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time by which a trend of demand is extrapolated.
const MAX_FORECAST_HORIZON: Duration = Duration::from_secs(3);
/// Interval of placement plans, which check every model against every engine. Orders for adapters
/// and unloads of drained models are planned in every round.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(150);
/// Delay of an unload in addition to the sync interval, within which all gateways stop sending
/// requests to the model.
const DRAIN_MARGIN: Duration = Duration::from_millis(100);
/// Time after which an order counts as lost if the engine does not report its effect.
const ORDER_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time for which freed memory is reserved for a model.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(15);
/// Minimum number of loads that may begin at once after an idle period. The weight store measures
/// its rate over several seconds and tolerates as many loads in excess of it.
const MIN_LOAD_BURST: f64 = 3.0;
/// Time in which the weight store's rate amounts to the loads that may begin at once.
const LOAD_BURST_SECONDS: f64 = 0.25;
/// Maximum fraction of the engines that make room for another model at the same time. Each of them
/// serves one model less meanwhile.
const MAX_RESERVING_FRACTION: f64 = 0.1;
/// Fraction of the weight store's rate that is used, since loads ordered by a former leader may
/// still begin.
const LOAD_RATE_FRACTION: f64 = 0.9;

/// Changes of the targets since they were last published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChanges {
    /// The complete list, since targets were added or removed.
    All(Vec<TargetEntry>),
    /// Entries that have changed.
    Some(Vec<TargetEntry>),
}

/// An order that is to be sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Engine that receives the order.
    pub target: TargetId,
    /// Action of the engine.
    pub action: OrderAction,
    /// Model, or `model/adapter`.
    pub model: ModelId,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
    /// Reason for the log.
    pub reason: &'static str,
}

/// The leader's view of all targets, from which the orders to engines are planned.
#[derive(Debug, Default)]
pub struct EngineTable {
    pub(super) engines: BTreeMap<TargetId, EngineView>,
    /// Targets of services without engines.
    other_targets: Vec<TargetEntry>,
    /// When a request for an adapter was last reported.
    pub(super) adapter_used_at: HashMap<ModelId, Duration>,
    /// Token bucket that limits loads from the weight store.
    load_tokens: f64,
    load_tokens_updated_at: Duration,
    load_logged_at: Duration,
    last_placement_at: Option<Duration>,
    /// Engines that have changed since they were last published to gateways.
    pub(super) unpublished: BTreeSet<TargetId>,
    /// Whether targets were added or removed, or plain ones changed, since the last publication.
    is_list_unpublished: bool,
    pub(super) regional_needs: RegionalNeeds,
}

impl EngineTable {
    /// Returns an empty table for the regions in the settings.
    #[must_use]
    pub fn new(regions: Arc<RegionTable>) -> Self {
        Self {
            regional_needs: RegionalNeeds::new(regions),
            ..Self::default()
        }
    }

    /// Applies the platform's list. Of a known engine that was not restarted only the entry is
    /// replaced, since its own reports are newer than the list.
    pub fn apply_list(&mut self, plan: &PlanIndex, list: Vec<TargetEntry>) {
        let mut engines = BTreeMap::new();
        let mut other_targets = Vec::new();
        for entry in list {
            let service = plan.service(&entry.service);
            if service.is_none_or(|service| service.engine.is_none()) {
                other_targets.push(entry);
                continue;
            }
            let known = self.engines.remove(&entry.id);
            let known = known.filter(|known| known.entry.started_ms == entry.started_ms);
            if known.as_ref().is_none_or(|known| known.entry != entry) {
                self.unpublished.insert(entry.id.clone());
            }
            let view = match known {
                Some(known) => EngineView { entry, ..known },
                None => EngineView::new(entry),
            };
            engines.insert(view.entry.id.clone(), view);
        }
        self.is_list_unpublished |= !self.engines.is_empty() || other_targets != self.other_targets;
        self.engines = engines;
        self.other_targets = other_targets;
    }

    /// Returns what has changed since the last call.
    pub fn take_unpublished(&mut self) -> TargetChanges {
        let changed = std::mem::take(&mut self.unpublished);
        if std::mem::take(&mut self.is_list_unpublished) {
            return TargetChanges::All(self.targets());
        }
        let views = changed.iter().filter_map(|id| self.engines.get(id));
        TargetChanges::Some(views.map(EngineView::routable_entry).collect())
    }

    /// Returns all targets with the models to which gateways may send requests.
    pub fn targets(&self) -> Vec<TargetEntry> {
        let engines = self.engines.values().map(EngineView::routable_entry);
        engines.chain(self.other_targets.iter().cloned()).collect()
    }

    /// Returns the targets as listed by the platform.
    pub(super) fn listed_entries(&self) -> impl Iterator<Item = &TargetEntry> {
        let engines = self.engines.values().map(|view| &view.entry);
        engines.chain(&self.other_targets)
    }

    /// Returns the view of an engine.
    #[must_use]
    pub fn get(&self, target: &TargetId) -> Option<&EngineView> {
        self.engines.get(target)
    }

    /// Returns the engines whose status is due to be polled, and marks them as polled.
    pub fn due_polls(&mut self, now: Duration) -> Vec<TargetEntry> {
        let mut due = Vec::new();
        for view in self.engines.values_mut() {
            let is_unsettled = view.active_order.is_some()
                || view.is_busy
                || view.liveness != EngineLiveness::Alive;
            let interval = if view.accepted_orders.is_none() || is_unsettled {
                BUSY_POLL_INTERVAL * 2_u32.pow(view.unanswered_polls.min(MAX_POLL_DOUBLINGS))
            } else {
                IDLE_POLL_INTERVAL
            };
            let is_poll_forced = view.accepted_orders.is_none() && view.last_poll_at.is_zero();
            if !view.has_pending_call
                && (is_poll_forced || now.saturating_sub(view.last_poll_at) >= interval)
            {
                view.has_pending_call = true;
                view.last_poll_at = now;
                due.push(view.entry.clone());
            }
        }
        due
    }

    /// Records the result of a status poll; `None` when the engine did not answer.
    pub fn record_status(
        &mut self,
        target: &TargetId,
        status: Option<EngineStatus>,
        now: Duration,
    ) {
        let Some(view) = self.engines.get_mut(target) else {
            return;
        };
        view.has_pending_call = false;
        let Some(status) = status else {
            view.unanswered_polls = view.unanswered_polls.saturating_add(1);
            if view.liveness == EngineLiveness::Suspected {
                view.liveness = EngineLiveness::Lost;
                warn!("place: an engine is lost", kv: { target = target.as_str() });
            }
            return;
        };
        view.liveness = EngineLiveness::Alive;
        view.unanswered_polls = 0;
        let previous = view.routable_models.clone();
        let is_overdue = view
            .active_order
            .as_ref()
            .is_some_and(|(_, _, since)| now.saturating_sub(*since) > ORDER_TIMEOUT);
        if is_overdue {
            view.active_order = None;
        }
        view.apply_status(status, now);
        if view.routable_models != previous {
            self.unpublished.insert(target.clone());
        }
    }

    /// Records that a gateway gets no response from a target, so that its status is polled soon.
    /// The platform's list shows a lost target only seconds later.
    pub fn mark_suspected(&mut self, target: &TargetId) {
        match self.engines.get_mut(target) {
            Some(view) if view.liveness == EngineLiveness::Alive => {
                view.liveness = EngineLiveness::Suspected;
            }
            _ => {}
        }
    }

    /// Plans the next orders. Each engine gets at most one at a time.
    pub fn plan_orders(
        &mut self,
        plan: &PlanIndex,
        gateways: &GatewayTable,
        now: Duration,
    ) -> Vec<PlannedOrder> {
        let mut orders = Vec::new();
        let last_placement_at = self.last_placement_at.replace(now);
        let is_due =
            last_placement_at.is_none_or(|at| now.saturating_sub(at) >= PLACEMENT_INTERVAL);
        if !is_due {
            self.last_placement_at = last_placement_at;
        }
        self.regional_needs.record(gateways.awaited_models(), now);
        for service in plan.services() {
            let Some(engine) = &service.engine else {
                continue;
            };
            self.refill_load_tokens(engine, now);
            self.plan_drained_unloads(gateways, &mut orders, now);
            self.plan_awaited_adapters(&service.id, engine, gateways, &mut orders, now);
            if is_due {
                self.plan_demanded_adapters(&service.id, engine, gateways, &mut orders, now);
                self.plan_copy_changes(&service.id, engine, gateways, &mut orders, now);
                self.plan_spare_adapters(&service.id, engine, &mut orders, now);
            }
        }
        for order in &orders {
            self.begin_order(order, now);
        }
        orders
    }

    fn refill_load_tokens(&mut self, engine: &EnginePlan, now: Duration) {
        let elapsed = now
            .saturating_sub(self.load_tokens_updated_at)
            .as_secs_f64();
        self.load_tokens_updated_at = now;
        let refill = elapsed * engine.loads_per_second * LOAD_RATE_FRACTION;
        self.load_tokens = (self.load_tokens + refill).min(load_burst(engine));
    }

    fn plan_drained_unloads(
        &self,
        gateways: &GatewayTable,
        orders: &mut Vec<PlannedOrder>,
        now: Duration,
    ) {
        let drain_delay = drain_delay(gateways);
        for view in self.engines.values() {
            match (&view.draining_model, view.accepted_orders) {
                (Some((model, since)), Some(expected_orders))
                    if view.accepts_orders(now) && now.saturating_sub(*since) >= drain_delay =>
                {
                    orders.push(PlannedOrder {
                        target: view.entry.id.clone(),
                        action: OrderAction::Unload,
                        model: model.clone(),
                        expected_orders,
                        reason: "makes room",
                    });
                }
                _ => {}
            }
        }
    }

    pub(super) fn service_engines<'e>(
        &'e self,
        service: &'e str,
    ) -> impl Iterator<Item = &'e EngineView> {
        self.engines
            .values()
            .filter(move |view| view.entry.service == service)
    }

    fn plan_copy_changes(
        &mut self,
        service: &str,
        engine: &EnginePlan,
        gateways: &GatewayTable,
        orders: &mut Vec<PlannedOrder>,
        now: Duration,
    ) {
        let mut input = self.placement_input(service, engine, gateways, orders, now);
        if !gateways.has_demand_history(now) {
            for need in &mut input.models {
                need.tokens_per_second = 0.0;
            }
        }
        if now.saturating_sub(self.load_logged_at) >= LOAD_LOG_INTERVAL {
            self.load_logged_at = now;
            let (models, engines) = describe_load(&input);
            info!("place: demand", kv: { models = models.as_str(), engines = engines.as_str() });
        }
        let reserving = input
            .engines
            .iter()
            .filter(|engine| engine.reserved_for.is_some());
        #[allow(clippy::cast_precision_loss)] // Counts of engines are small.
        let (mut reservations, engines) = (reserving.count() as f64, input.engines.len() as f64);
        // By the time that memory is free, the store allows more loads than it does now.
        let refill = engine.loads_per_second * drain_delay(gateways).as_secs_f64();
        let max_reservations = (self.load_tokens + refill)
            .min(engines * MAX_RESERVING_FRACTION)
            .max(self.load_tokens);
        for step in plan_copies(&input) {
            let Some(view) = self.engines.get_mut(&step.engine) else {
                continue;
            };
            let Some(expected_orders) = view.accepted_orders else {
                continue;
            };
            match step.action {
                // Without load tokens to use the freed memory, an unload would only remove a copy.
                CopyAction::Unload(_) if reservations >= max_reservations + 1.0 => {}
                CopyAction::Unload(model) => {
                    reservations += 1.0;
                    info!("place: retires a copy", kv: {
                        target = step.engine.as_str(),
                        model = model.as_str(),
                        reason = step.reason,
                    });
                    view.routable_models.retain(|held| held.model != model);
                    self.unpublished.insert(view.entry.id.clone());
                    view.draining_model = Some((model, now));
                    view.reservation = Some((step.model, now));
                }
                CopyAction::Load(model)
                    if !view.cached_models.contains(&model)
                        && self.load_tokens < required_load_tokens(step.reason, engine) => {}
                CopyAction::Load(model) => {
                    if !view.cached_models.contains(&model) {
                        self.load_tokens -= 1.0;
                    }
                    orders.push(PlannedOrder {
                        target: step.engine,
                        action: OrderAction::Load,
                        model,
                        expected_orders,
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
        orders: &[PlannedOrder],
        now: Duration,
    ) -> PlacementInput {
        let mut demand: HashMap<&str, f64> = HashMap::new();
        let memory = EngineMemory::new(engine);
        let horizon = |model: &ServedModel| {
            let load_time = memory.load_time(base_model(&model.model));
            load_time.min(MAX_FORECAST_HORIZON)
        };
        for (model, tokens) in gateways.forecast_demand(now, horizon) {
            if model.service == service {
                *demand.entry(base_model(&model.model)).or_default() += tokens;
            }
        }
        let awaited: HashSet<&str> = gateways
            .awaited_models()
            .map(|awaited| &awaited.model)
            .filter(|model| model.service == service)
            .map(|model| base_model(&model.model))
            .collect();
        let mut regional = self.regional_needs.filters(service);
        let models = engine.models.iter().map(|model| ModelNeed {
            id: model.id.clone(),
            weights_mb: model.weights_mb,
            tokens_per_second: demand.get(model.id.as_str()).copied().unwrap_or(0.0),
            has_waiting_requests: awaited.contains(model.id.as_str()),
            regional_copies: regional.remove(model.id.as_str()).unwrap_or_default(),
        });
        let engines = self.service_engines(service).map(|view| {
            let loading = match &view.active_order {
                Some((OrderAction::Load, model, _)) => Some(model.clone()),
                _ => None,
            };
            let held = view.routable_models.iter().map(|held| held.model.clone());
            let mut models: Vec<ModelId> = held.chain(loading.clone()).collect();
            models.dedup();
            let is_ordered = orders.iter().any(|order| order.target == view.entry.id);
            let reserved_for = view.reservation.as_ref();
            let reserved_for = reserved_for
                .filter(|(_, since)| now.saturating_sub(*since) < RESERVATION_TIMEOUT)
                .map(|(model, _)| model.clone());
            PlacementEngine {
                cached_models: view.cached_models.clone(),
                reserved_for,
                id: view.entry.id.clone(),
                data_centre: view.entry.data_centre.clone(),
                models,
                loading,
                free_mb: view.free_mb_of(&memory),
                accepts_model_orders: view.accepts_model_orders(now) && !is_ordered,
                is_available: view.is_available(),
            }
        });
        PlacementInput {
            engines: engines.collect(),
            models: models.collect(),
        }
    }

    /// Records a request for an adapter.
    pub fn record_adapter_use(&mut self, adapter: &ModelId, now: Duration) {
        if is_adapter(adapter) {
            self.adapter_used_at.insert(adapter.clone(), now);
        }
    }
}

/// Returns the number of load tokens that must be available for a load. Spare copies are only
/// loaded from a full bucket, which leaves tokens for loads that requests wait for.
fn required_load_tokens(reason: &str, engine: &EnginePlan) -> f64 {
    match reason {
        SPARE_COPY_REASON => load_burst(engine),
        _ => 1.0,
    }
}

/// Returns the number of loads that may begin at once.
fn load_burst(engine: &EnginePlan) -> f64 {
    MIN_LOAD_BURST.max(engine.loads_per_second * LOAD_BURST_SECONDS)
}

/// Returns the time after which no gateway sends requests to a model that was taken from the list.
fn drain_delay(gateways: &GatewayTable) -> Duration {
    gateways.sync_interval() + DRAIN_MARGIN
}

pub(super) fn is_adapter(model: &str) -> bool {
    model.contains('/')
}

pub(super) fn base_model(model: &str) -> &str {
    model.split_once('/').map_or(model, |(base, _)| base)
}
