use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, SystemTime},
};

use reqwest::Client;
use spdlog::prelude::*;

use super::hub::SyncHub;
use crate::{
    border::{FleetConfig, TargetConfig},
    ids::{FencingNumber, TargetId, Term},
    order::{EngineOrder, OrderAction},
    sync::{EngineReport, ResidentCopy},
    voter::{LeaderLease, VoterHandle},
};

/// Time between two rounds of orders.
const ROUND_PERIOD: Duration = Duration::from_millis(250);
/// Time that an engine has to answer an order.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Orders loads for models without a copy, while this voter leads.
pub struct ModelPlacer {
    voter: VoterHandle,
    hub: Arc<SyncHub>,
    client: Client,
    sequence: u32,
}

impl ModelPlacer {
    pub fn new(voter: VoterHandle, hub: Arc<SyncHub>, client: Client) -> Self {
        Self {
            voter,
            hub,
            client,
            sequence: 0,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(ROUND_PERIOD).await;
            let Some(lease) = self.voter.lease().filter(LeaderLease::holds) else {
                continue;
            };
            let Some(config) = self.voter.local(|state| state.config().1) else {
                continue;
            };
            let started = SystemTime::now();
            self.hub.expire(lease);
            let reports = self.hub.reports(lease);
            self.order_missing(&config, &reports, lease.term).await;
            trace!(
                "place: round took {:?}",
                started.elapsed().unwrap_or_default()
            );
        }
    }

    async fn order_missing(
        &mut self,
        config: &FleetConfig,
        reports: &BTreeMap<TargetId, EngineReport>,
        term: Term,
    ) {
        for model in &config.models {
            let placed = reports.values().flat_map(|report| &report.copies);
            if placed.into_iter().any(|copy| copy.model == model.id) {
                continue;
            }
            let fits = |target: &&TargetConfig| {
                reports.get(&target.id).is_some_and(|report| {
                    let used: u64 = report.copies.iter().map(|copy| copy.memory_mib).sum();
                    report.in_progress.is_none()
                        && used + model.memory_mib <= target.accelerator_memory_mib
                })
            };
            let Some(target) = config.targets.iter().find(fits) else {
                continue;
            };
            let copy = ResidentCopy {
                model: model.id.clone(),
                version: model.version.clone(),
                first_accelerator: 0,
                span: model.span,
                memory_mib: model.memory_mib,
                ready: false,
            };
            self.send_order(target, OrderAction::Load(copy), term).await;
            // One order a round, so that the next report shows the memory that it takes.
            return;
        }
    }

    async fn send_order(&mut self, target: &TargetConfig, action: OrderAction, term: Term) {
        self.sequence += 1;
        let fencing: FencingNumber = (term << 32) | u64::from(self.sequence);
        info!("order: {fencing} to {}: {action:?}", target.id);
        let url = format!("http://{}/engine/v1/order", target.address);
        let order = EngineOrder { fencing, action };
        let answer = self
            .client
            .post(url)
            .timeout(ENGINE_TIMEOUT)
            .json(&order)
            .send()
            .await;
        if let Err(error) = answer {
            warn!("order: {fencing} to {} has no answer: {error}", target.id);
        }
    }
}
