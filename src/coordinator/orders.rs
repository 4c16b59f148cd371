use std::{sync::Arc, time::Duration};

use spdlog::prelude::*;

use super::{engines::WantedOrder, state::CoordinatorState};
use crate::{
    adapter::{EngineOrder, OrderAction, TargetEntry},
    error::Result,
    ids::{Term, VmId},
    voter::LeaderLease,
};

/// Term of a fleet's first leader, before which nobody gave orders.
const FIRST_TERM: Term = 1;
/// Time between two rounds of decisions without a reason for an earlier one.
const ROUND_PERIOD: Duration = Duration::from_millis(200);
/// Shortest time between two rounds.
const SHORTEST_ROUND: Duration = Duration::from_millis(10);
/// Time between two reads of the platform's list. Leaving targets must get no new work within
/// seconds, and the platform counts calls.
const LIST_PERIOD: Duration = Duration::from_millis(600);
/// Time until an adapter that an engine is loading can be used.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(15);
/// Time that an engine has to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The leader's duty to read the platform's list and to give orders to engines.
pub struct OrderDuty {
    desk: Arc<CoordinatorState>,
    vm: VmId,
    holder_lease: Duration,
}

impl OrderDuty {
    pub fn new(desk: Arc<CoordinatorState>, vm: VmId, holder_lease: Duration) -> Self {
        Self {
            desk,
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
            tokio::time::sleep(LIST_PERIOD).await;
            let Ok(lease) = self.desk.lease() else {
                continue;
            };
            self.desk.follow_plan(&mut self.desk.tables(lease));
            let asked = self.desk.now();
            match self.desk.adapter.list_targets().await {
                Ok(list) => self.desk.accept_list(lease, list, asked),
                Err(error) => warn!("place: the platform's list is not readable: {error}"),
            }
        }
    }

    async fn run_rounds(&self) {
        loop {
            let _ = tokio::time::timeout(ROUND_PERIOD, self.desk.wanted.notified()).await;
            if let Ok(lease) = self.desk.lease() {
                self.round(lease);
            }
            tokio::time::sleep(SHORTEST_ROUND).await;
        }
    }

    fn round(&self, lease: LeaderLease) {
        let now = self.desk.now();
        let mut tables = self.desk.tables(lease);
        let tables = &mut *tables;
        tables.gateways.expire(now);
        let Some(plan) = tables.plan.clone() else {
            return;
        };
        for entry in tables.engines.due_checks(now) {
            tokio::spawn(check(Arc::clone(&self.desk), lease, entry));
        }
        // Until its lease is over, a former leader's orders may still be under way.
        let is_first = lease.term == FIRST_TERM;
        if !is_first && now.saturating_sub(tables.begun_at) < self.holder_lease {
            return;
        }
        let orders = tables.engines.decide(&plan, &tables.gateways, now);
        self.desk.publish_targets(tables);
        for order in orders {
            let Some(engine) = tables.engines.get(&order.target) else {
                continue;
            };
            let address = engine.entry.address;
            let sent = EngineOrder {
                target: order.target.clone(),
                action: order.action,
                model: order.model.clone(),
                expected_orders: order.after_orders,
                holder: self.vm.clone(),
                fence: lease.term,
            };
            tokio::spawn(give(Arc::clone(&self.desk), lease, order, sent, address));
        }
    }
}

async fn check(desk: Arc<CoordinatorState>, lease: LeaderLease, entry: TargetEntry) {
    let status = within(desk.adapter.engine_status(entry.address)).await;
    if let Err(error) = &status {
        debug!("place: {} does not report: {error}", entry.id);
    }
    let now = desk.now();
    let mut tables = desk.tables(lease);
    let status = status.ok();
    tables.engines.accept_status(&entry.id, status, now);
    desk.publish_targets(&mut tables);
}

async fn give(
    desk: Arc<CoordinatorState>,
    lease: LeaderLease,
    order: WantedOrder,
    sent: EngineOrder,
    address: std::net::SocketAddr,
) {
    // The order may have waited behind other work; a leader without a lease gives none.
    if !lease.holds() {
        return;
    }
    let answer = within(desk.adapter.send_order(address, &sent)).await;
    info!("place: order", kv: {
        target = order.target.as_str(),
        action:? = order.action,
        model = order.model.as_str(),
        after_orders = order.after_orders,
        fence = sent.fence,
        reason = order.reason,
        answer:? = answer.as_ref().ok(),
    });
    if let Err(error) = &answer {
        warn!("place: {} did not answer an order: {error}", order.target);
    }
    if order.action == OrderAction::Load && order.model.contains('/') && answer.is_ok() {
        tokio::time::sleep(ADAPTER_LOAD_TIME).await;
    }
    let now = desk.now();
    let mut tables = desk.tables(lease);
    tables.engines.end_order(&order, answer.ok(), now);
    desk.publish_targets(&mut tables);
    desk.wanted.notify_one();
}

async fn within<T>(call: impl Future<Output = Result<T>>) -> Result<T> {
    let answer = tokio::time::timeout(CALL_TIMEOUT, call).await;
    answer.unwrap_or_else(|_| {
        Err(crate::error::Error::Transport {
            peer: "engine".to_owned(),
            reason: "no answer in time".to_owned(),
        })
    })
}
