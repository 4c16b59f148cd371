//! Links of the gateway to all targets: their loss, and connection attempts that tell it from slow answers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::select_ok;
use rand::seq::IteratorRandom;
use spdlog::prelude::*;
use tokio::net::TcpStream;

use super::{
    request::GatewayRequest,
    routing::split_model,
    sync_client::SyncClient,
    targets::{TableState, TargetTable},
};
use crate::{adapter::TargetEntry, route::Availability};

/// Interval at which unanswered attempts are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of connection attempts while all links are lost.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Number of targets that are tried at a time.
const PROBE_COUNT: usize = 3;
/// Time-out of a connection attempt; a round trip takes a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Watches the links until the task is dropped.
pub(super) async fn watch(targets: Arc<TargetTable>, sync_client: Arc<SyncClient>) {
    loop {
        let is_cut_off = targets.is_cut_off();
        let interval = if is_cut_off {
            RETRY_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        tokio::time::sleep(interval).await;
        let addresses = targets.probe_addresses();
        if addresses.is_empty() {
            continue;
        }
        let probes = addresses
            .into_iter()
            .map(|address| Box::pin(probe(address)));
        match select_ok(probes).await {
            Ok(_) => targets.record_link(),
            Err(()) => targets.record_no_link(),
        }
        // Coordinators leave cut-off gateways out when they name neighbours.
        if targets.is_cut_off() != is_cut_off {
            sync_client.sync_now();
        }
    }
}

async fn probe(address: SocketAddr) -> Result<(), ()> {
    let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    match connected {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(()),
    }
}

impl TargetTable {
    /// Returns whether all links to targets are lost.
    pub fn is_cut_off(&self) -> bool {
        self.state().links.is_cut_off()
    }

    /// Returns the targets to try if the links are or may be lost.
    fn probe_addresses(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let state = self.state();
        if !state.links.is_cut_off() && !state.links.is_suspicious(state.entries.len(), now) {
            return Vec::new();
        }
        let addresses = state.entries.values().map(|entry| entry.address);
        addresses.choose_multiple(&mut rand::rng(), PROBE_COUNT)
    }

    fn record_link(&self) {
        let now = self.now();
        self.state().record_heard(now);
    }

    fn record_no_link(&self) {
        let now = self.now();
        let mut state = self.state();
        let known = state.entries.len();
        if let Some(loss) = state.links.record_unreachable(known, now) {
            warn!("gateway: cut off from all targets; passing requests on", kv: {
                tried = loss.tried,
                targets = known,
                last_byte_ms = loss.silence.as_millis(),
            });
        }
    }

    /// Returns whether the targets that could serve a request get none only because they refuse connections of
    /// this gateway or are silent to it.
    pub(super) fn are_unreachable(&self, request: &GatewayRequest) -> bool {
        let state = self.state();
        let mut usable = state
            .entries
            .values()
            .filter(|entry| is_usable(request, entry))
            .map(|entry| state.availability(entry))
            .filter(|availability| *availability != Availability::Draining)
            .peekable();
        usable.peek().is_some() && usable.all(|availability| availability == Availability::Down)
    }
}

impl TableState {
    /// Records that a target was heard, which ends a loss of all links.
    pub(super) fn record_heard(&mut self, now: Duration) {
        if let Some(length) = self.links.record_heard(now) {
            info!("gateway: the links to targets are back", kv: {
                targets = self.entries.len(),
                cut_off_ms = length.as_millis(),
            });
        }
    }
}

/// Returns whether a target could serve a request if it were available.
fn is_usable(request: &GatewayRequest, entry: &TargetEntry) -> bool {
    let shares = &request.route.shares;
    let service = request.plan.service(&entry.service);
    let has_engine = service.is_some_and(|service| service.engine.is_some());
    let holds_model = match &request.metadata.model {
        Some(model) if has_engine => {
            let (base, adapter) = split_model(model);
            let resident = entry.models.iter().find(|resident| resident.model == base);
            resident.is_some_and(|resident| {
                adapter.is_none() || resident.adapters.iter().any(|known| known == model)
            })
        }
        _ => true,
    };
    holds_model
        && shares.iter().any(|share| share.service == entry.service)
        && request.scope.data_centres.allows(&entry.data_centre)
}
