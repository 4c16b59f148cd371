use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::OnceLock,
    time::Duration,
};

use super::{demand_trend::DemandTrend, load_groups::LoadGroups};
use crate::{
    ids::{DataCentreId, EntryKey},
    sync::{GatewayReport, LoadTopology, ServedModel},
};

/// Time without a report after which a gateway counts as gone.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of gateways that send their loads to every other one directly. In larger fleets,
/// the messages of one gateway would exceed what the link and the processor of a small VM can
/// handle.
const MAX_DIRECT_GATEWAYS: usize = 20;
/// Mean interval between the syncs of all gateways together. One sync takes the leader some tenths
/// of a millisecond.
const LEADER_SYNC_INTERVAL: Duration = Duration::from_millis(10);
/// Bounds of the sync interval of one gateway. A new plan must be in force within two seconds.
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(250);
const MAX_SYNC_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which requests must have been observed before copies are moved because of demand.
const MIN_DEMAND_HISTORY: Duration = Duration::from_millis(2_500);
/// Demand at or below which a model is no longer tracked.
const MIN_TOKENS_PER_SECOND: f64 = 0.5;

/// Gateways that sync with the leader, and the demand that they report.
#[derive(Debug, Default)]
pub struct GatewayTable {
    gateways: BTreeMap<EntryKey, GatewayState>,
    demand: HashMap<ServedModel, DemandTrend>,
    /// When the first requests were reported.
    first_demand_at: Option<Duration>,
    /// Groups of gateways that share a relay; empty after a gateway has come or gone.
    groups: OnceLock<LoadGroups>,
}

#[derive(Debug)]
pub(super) struct GatewayState {
    last_report_at: Duration,
    pub data_centre: DataCentreId,
    pub load_address: SocketAddr,
    news_address: Option<SocketAddr>,
    awaited_models: Vec<ServedModel>,
}

impl GatewayTable {
    /// Records a gateway's report.
    #[allow(clippy::cast_precision_loss)] // Token counts are estimates.
    pub fn record(&mut self, report: &GatewayReport, now: Duration) {
        if !report.demand.is_empty() {
            self.first_demand_at.get_or_insert(now);
        }
        for requests in &report.demand {
            let trend = self.demand.entry(requests.model.clone()).or_default();
            trend.record(requests.tokens as f64, f64::from(requests.requests), now);
        }
        let state = GatewayState {
            last_report_at: now,
            data_centre: report.data_centre.clone(),
            load_address: report.load_address,
            news_address: report.news_address,
            awaited_models: report.missing_models.clone(),
        };
        let former = self.gateways.insert(report.gateway.clone(), state);
        if former.is_none_or(|former| former.load_address != report.load_address) {
            self.groups = OnceLock::new();
        }
    }

    /// Removes gateways without recent reports and models without demand.
    pub fn expire(&mut self, now: Duration) {
        let known = self.gateways.len();
        self.gateways
            .retain(|_, state| now.saturating_sub(state.last_report_at) < GATEWAY_TIMEOUT);
        if self.gateways.len() < known {
            self.groups = OnceLock::new();
        }
        self.demand
            .retain(|_, trend| trend.current(now) > MIN_TOKENS_PER_SECOND);
    }

    /// Returns the gateways that can be told of plans between their syncs, with the address for it.
    pub fn news_addresses(&self) -> impl Iterator<Item = (&EntryKey, SocketAddr)> {
        let gateways = self.gateways.iter();
        gateways.filter_map(|(key, state)| Some((key, state.news_address?)))
    }

    /// Returns the number of gateways.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.gateways.len()).unwrap_or(u32::MAX)
    }

    /// Returns where a gateway sends its loads. In a large fleet, the gateways of each data centre
    /// form groups, and the first one of each group in the order of keys is its relay, so that the
    /// choice is stable while this gateway runs. A relay sends every change to each member of its
    /// group, which bounds the size of the group.
    #[must_use]
    pub fn load_topology(&self, own: &EntryKey) -> LoadTopology {
        let others = self.gateways.iter().filter(|(key, _)| *key != own);
        if self.gateways.len() <= MAX_DIRECT_GATEWAYS {
            let peers = others.map(|(_, state)| state.load_address);
            return LoadTopology::Direct {
                peers: peers.collect(),
            };
        }
        let groups = self.groups.get_or_init(|| LoadGroups::new(&self.gateways));
        groups.topology(own)
    }

    /// Returns the sync interval of each gateway, which grows with the number of gateways so that
    /// the leader's load is bounded.
    #[must_use]
    pub fn sync_interval(&self) -> Duration {
        (LEADER_SYNC_INTERVAL * self.count()).clamp(MIN_SYNC_INTERVAL, MAX_SYNC_INTERVAL)
    }

    /// Returns the models that requests wait for.
    pub fn awaited_models(&self) -> impl Iterator<Item = &ServedModel> {
        self.gateways
            .values()
            .flat_map(|state| &state.awaited_models)
    }

    /// Returns whether requests have been observed for long enough to be representative.
    #[must_use]
    pub fn has_demand_history(&self, now: Duration) -> bool {
        self.first_demand_at
            .is_some_and(|first| now.saturating_sub(first) >= MIN_DEMAND_HISTORY)
    }

    /// Returns the current demand for each model and adapter, in tokens per second.
    pub fn current_demand(&self, now: Duration) -> impl Iterator<Item = (&ServedModel, f64)> {
        self.demand
            .iter()
            .map(move |(model, trend)| (model, trend.current(now)))
    }

    /// Returns the demand for each model and adapter, in tokens per second, that is forecast for
    /// the end of a horizon that depends on the model.
    pub fn forecast_demand(
        &self,
        now: Duration,
        horizon: impl Fn(&ServedModel) -> Duration,
    ) -> impl Iterator<Item = (&ServedModel, f64)> {
        self.demand
            .iter()
            .map(move |(model, trend)| (model, trend.forecast(now, horizon(model))))
    }
}
