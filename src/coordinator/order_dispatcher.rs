use std::{sync::Arc, time::Duration};

use spdlog::prelude::*;

use super::{
    engine_table::PlannedOrder,
    leader_work::LeaderWork,
    state::{CoordinatorState, FIRST_TERM},
};
use crate::{
    adapter::{EngineOrder, OrderAction, TargetEntry},
    error::Result,
    ids::VmId,
    voter::LeaderLease,
};

/// Interval of planning rounds when nothing triggers an earlier one.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between planning rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of reading the platform's list. Draining targets must stop getting new requests within
/// seconds, but the platform counts the calls.
const LIST_INTERVAL: Duration = Duration::from_millis(600);
/// Time that an engine takes to load an adapter.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(15);
/// Timeout of a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Task of the leader that reads the platform's list, polls engines and sends orders to them.
pub struct OrderDispatcher {
    state: Arc<CoordinatorState>,
    vm: VmId,
    holder_lease: Duration,
}

impl OrderDispatcher {
    pub fn new(state: Arc<CoordinatorState>, vm: VmId, holder_lease: Duration) -> Self {
        Self {
            state,
            vm,
            holder_lease,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(self.run_list(), self.run_rounds());
    }

    async fn run_list(&self) {
        loop {
            tokio::time::sleep(LIST_INTERVAL).await;
            let Ok(lease) = self.state.lease() else {
                continue;
            };
            self.state.update_plan(&mut self.state.tables(lease));
            let requested_at = self.state.now();
            match self.state.adapter.list_targets().await {
                Ok(list) if self.state.observe_versions(lease, &list).await => {
                    self.state.apply_list(lease, list, requested_at);
                }
                Ok(_) => warn!(
                    "place: the versions in the platform's list are not committed, keeping the \
                     previous list"
                ),
                Err(error) => warn!(
                    "place: reading the platform's list failed, keeping the previous one: {error}"
                ),
            }
        }
    }

    async fn run_rounds(&self) {
        loop {
            let _ = tokio::time::timeout(ROUND_INTERVAL, self.state.round_trigger.notified()).await;
            if let Ok(lease) = self.state.lease() {
                let work = &self.state.work;
                LeaderWork::add(&work.rounds, 1);
                LeaderWork::timed(&work.round_time_us, || self.round(lease));
            }
            tokio::time::sleep(MIN_ROUND_INTERVAL).await;
        }
    }

    fn round(&self, lease: LeaderLease) {
        let now = self.state.now();
        let mut tables = self.state.tables(lease);
        let tables = &mut *tables;
        tables.gateways.expire(now);
        let Some(plan) = tables.plan.clone() else {
            return;
        };
        let due = tables.engines.due_polls(now);
        let own = if tables.delegates.live(now).is_empty() {
            due
        } else {
            for entry in due {
                tables.polls.add(entry, now);
            }
            tables.polls.take_overdue(now)
        };
        for entry in own {
            tokio::spawn(poll_status(Arc::clone(&self.state), lease, entry));
        }
        // Orders of a former leader may still be in flight until its lease has expired.
        let is_first = lease.term == FIRST_TERM;
        if !is_first && now.saturating_sub(tables.started_at) < self.holder_lease {
            return;
        }
        let evacuated = self.state.evacuated_data_centres();
        tables.engines.set_evacuated(&evacuated);
        let orders = tables.engines.plan_orders(&plan, &tables.gateways, now);
        self.state.publish_targets(tables);
        for order in orders {
            let Some(engine) = tables.engines.get(&order.target) else {
                continue;
            };
            let address = engine.entry.address;
            let message = EngineOrder {
                target: order.target.clone(),
                action: order.action,
                model: order.model.clone(),
                expected_orders: order.expected_orders,
                holder: self.vm.clone(),
                fence: lease.term,
            };
            tokio::spawn(send_order(
                Arc::clone(&self.state),
                lease,
                order,
                message,
                address,
            ));
        }
    }
}

async fn poll_status(state: Arc<CoordinatorState>, lease: LeaderLease, entry: TargetEntry) {
    LeaderWork::add(&state.work.engine_calls, 1);
    let status = with_timeout(state.adapter.engine_status(entry.address)).await;
    if let Err(error) = &status {
        debug!("place: polling the status of {} failed: {error}", entry.id);
    }
    let now = state.now();
    let mut tables = state.tables(lease);
    let status = status.ok();
    tables.engines.record_status(&entry.id, status, now);
    state.publish_targets(&mut tables);
}

async fn send_order(
    state: Arc<CoordinatorState>,
    lease: LeaderLease,
    order: PlannedOrder,
    message: EngineOrder,
    address: std::net::SocketAddr,
) {
    // The lease may have expired while this task waited to be scheduled; no order may be sent then.
    if !lease.is_valid() {
        return;
    }
    LeaderWork::add(&state.work.engine_calls, 1);
    let response = with_timeout(state.adapter.send_order(address, &message)).await;
    info!("place: order", kv: {
        target = order.target.as_str(),
        action:? = order.action,
        model = order.model.as_str(),
        after_orders = order.expected_orders,
        fence = message.fence,
        reason = order.reason,
        answer:? = response.as_ref().ok(),
    });
    if let Err(error) = &response {
        warn!(
            "place: no response from {} to an order, which may still be carried out: {error}",
            order.target
        );
    }
    if order.action == OrderAction::Load && order.model.contains('/') && response.is_ok() {
        tokio::time::sleep(ADAPTER_LOAD_TIME).await;
    }
    let now = state.now();
    let mut tables = state.tables(lease);
    tables.engines.finish_order(&order, response.ok(), now);
    state.publish_targets(&mut tables);
    state.round_trigger.notify_one();
}

/// Returns the response of a call to an engine, or an error after a timeout.
pub(super) async fn with_timeout<T>(call: impl Future<Output = Result<T>>) -> Result<T> {
    let response = tokio::time::timeout(CALL_TIMEOUT, call).await;
    response.unwrap_or_else(|_| {
        Err(crate::error::Error::Transport {
            peer: "engine".to_owned(),
            reason: "no response within the call timeout".to_owned(),
        })
    })
}
