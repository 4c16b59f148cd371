use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::OnceLock,
    time::Duration,
};

use super::{demand_trend::DemandTrend, load_groups::LoadGroups, neighbours::choose_neighbours};
use crate::{
    ids::{DataCentreId, EntryKey},
    sync::{
        AwaitedModel, GatewayReport, GatewayRoster, LoadTopology, ModelRequests, Neighbour,
        RosterEntry, ServedModel,
    },
};

/// Time without a report after which a gateway counts as gone.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of gateways that send their loads to every other one directly. In larger fleets,
/// the messages of one gateway would exceed what the link and the processor of a small VM can
/// handle.
pub(super) const MAX_DIRECT_GATEWAYS: usize = 20;
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
    /// Number of the roster, which grows as gateways come and go.
    roster_number: u64,
}

#[derive(Debug)]
pub(super) struct GatewayState {
    last_report_at: Duration,
    pub data_centre: DataCentreId,
    pub load_address: SocketAddr,
    /// Whether the gateway passes requests on because it does not reach targets.
    pub is_stranded: bool,
    news_address: Option<SocketAddr>,
    awaited_models: Vec<AwaitedModel>,
    /// When the gateway last synced with this coordinator and not with another one.
    synced_at: Option<Duration>,
}

impl GatewayState {
    fn new(entry: &RosterEntry, now: Duration) -> Self {
        Self {
            last_report_at: now,
            data_centre: entry.data_centre.clone(),
            load_address: entry.load_address,
            is_stranded: entry.is_stranded,
            news_address: None,
            awaited_models: Vec::new(),
            synced_at: None,
        }
    }

    fn has_synced(&self, now: Duration) -> bool {
        self.synced_at
            .is_some_and(|at| now.saturating_sub(at) < GATEWAY_TIMEOUT)
    }
}

fn roster_entry((gateway, state): (&EntryKey, &GatewayState)) -> RosterEntry {
    RosterEntry {
        gateway: gateway.clone(),
        data_centre: state.data_centre.clone(),
        load_address: state.load_address,
        is_stranded: state.is_stranded,
    }
}

impl GatewayTable {
    /// Records requests that gateways have reported.
    #[allow(clippy::cast_precision_loss)] // Token counts are estimates.
    pub fn record_demand(&mut self, demand: &[ModelRequests], now: Duration) {
        if !demand.is_empty() {
            self.first_demand_at.get_or_insert(now);
        }
        for requests in demand {
            let trend = self.demand.entry(requests.model.clone()).or_default();
            trend.record(requests.tokens as f64, f64::from(requests.requests), now);
        }
    }

    /// Records a gateway's report.
    pub fn record(&mut self, report: &GatewayReport, now: Duration) {
        self.record_demand(&report.demand, now);
        let state = GatewayState {
            last_report_at: now,
            data_centre: report.data_centre.clone(),
            load_address: report.load_address,
            is_stranded: report.is_stranded,
            news_address: report.news_address,
            awaited_models: report.awaited_models().collect(),
            synced_at: Some(now),
        };
        let former = self.gateways.insert(report.gateway.clone(), state);
        match former {
            Some(former) if former.load_address == report.load_address => {
                // The groups stay as they are.
                self.roster_number += u64::from(former.is_stranded != report.is_stranded);
            }
            _ => self.change_roster(),
        }
    }

    /// Records a gateway that has synced with a delegate.
    pub fn record_delegated(&mut self, entry: &RosterEntry, now: Duration) {
        let known = self.gateways.get_mut(&entry.gateway);
        let Some(known) = known.filter(|known| known.load_address == entry.load_address) else {
            self.gateways
                .insert(entry.gateway.clone(), GatewayState::new(entry, now));
            self.change_roster();
            return;
        };
        known.last_report_at = now;
        if known.is_stranded != entry.is_stranded {
            known.is_stranded = entry.is_stranded;
            self.roster_number += 1;
        }
        let is_recent = |at: Duration| now.saturating_sub(at) < MAX_SYNC_INTERVAL;
        if !known.synced_at.is_some_and(is_recent) {
            known.awaited_models.clear();
        }
    }

    fn change_roster(&mut self) {
        self.groups = OnceLock::new();
        self.roster_number += 1;
    }

    /// Returns whether the gateways are too many for the leader alone.
    #[must_use]
    pub fn needs_delegates(&self) -> bool {
        self.gateways.len() > MAX_DIRECT_GATEWAYS
    }

    /// Returns all gateways, unless the receiver has the roster already.
    #[must_use]
    pub fn roster_since(&self, number: u64) -> Option<GatewayRoster> {
        (self.roster_number != number).then(|| GatewayRoster {
            number: self.roster_number,
            gateways: self.gateways.iter().map(roster_entry).collect(),
        })
    }

    /// Replaces the gateways by those of a roster and those that have just synced with this coordinator.
    pub fn set_roster(&mut self, roster: Vec<RosterEntry>, now: Duration) {
        let mut former = std::mem::take(&mut self.gateways);
        for entry in roster {
            let known = former.remove(&entry.gateway);
            let known = known.filter(|known| known.load_address == entry.load_address);
            let mut state = known.unwrap_or_else(|| GatewayState::new(&entry, now));
            if !state.has_synced(now) {
                state.is_stranded = entry.is_stranded;
            }
            self.gateways.insert(entry.gateway, state);
        }
        former.retain(|_, state| state.has_synced(now));
        self.gateways.append(&mut former);
        self.change_roster();
    }

    /// Returns where a gateway is found.
    #[must_use]
    pub fn roster_entry(&self, gateway: &EntryKey) -> Option<RosterEntry> {
        self.gateways.get_key_value(gateway).map(roster_entry)
    }

    /// Returns the gateways that have lately synced with this coordinator.
    pub fn synced_gateways(&self, now: Duration) -> impl Iterator<Item = RosterEntry> {
        let synced = self.gateways.iter();
        let synced = synced.filter(move |(_, state)| state.has_synced(now));
        synced.map(roster_entry)
    }

    /// Returns a table of the same gateways, as if each had just reported, without what they reported.
    #[must_use]
    pub fn reported_at(&self, now: Duration) -> Self {
        let mut table = Self::default();
        let entries = self.gateways.iter().map(roster_entry).collect();
        table.set_roster(entries, now);
        table
    }

    /// Removes gateways without recent reports and models without demand.
    pub fn expire(&mut self, now: Duration) {
        let known = self.gateways.len();
        self.gateways
            .retain(|_, state| now.saturating_sub(state.last_report_at) < GATEWAY_TIMEOUT);
        if self.gateways.len() < known {
            self.change_roster();
        }
        self.demand
            .retain(|_, trend| trend.current(now) > MIN_TOKENS_PER_SECOND);
    }

    /// Returns the gateways that can be told of plans between their syncs, with the address for it.
    pub fn news_addresses(&self) -> impl Iterator<Item = (&EntryKey, SocketAddr)> {
        let gateways = self.gateways.iter();
        gateways.filter_map(|(key, state)| Some((key, state.news_address?)))
    }

    /// Returns the gateways that have lately synced with a coordinator.
    pub fn keys(&self) -> impl Iterator<Item = &EntryKey> {
        self.gateways.keys()
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

    /// Returns the gateways that a gateway may pass requests to.
    #[must_use]
    pub fn neighbours(&self, own: &EntryKey) -> Vec<Neighbour> {
        choose_neighbours(own, &self.gateways)
    }

    /// Returns the sync interval of each gateway, which grows with the number of gateways so that
    /// the leader's load is bounded.
    #[must_use]
    pub fn sync_interval(&self) -> Duration {
        (LEADER_SYNC_INTERVAL * self.count()).clamp(MIN_SYNC_INTERVAL, MAX_SYNC_INTERVAL)
    }

    /// Returns the models that requests wait for, with the regions that they allow.
    pub fn awaited_models(&self) -> impl Iterator<Item = &AwaitedModel> {
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
