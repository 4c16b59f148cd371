use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use super::demand_trend::DemandTrend;
use crate::{
    ids::{DataCentreId, EntryKey},
    sync::{GatewayReport, LoadTopology, ServedModel},
};

/// Silence after which a gateway counts as gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Gateways up to which each tells every other one its load. Above, the messages of a gateway would
/// grow with the fleet beyond what a small VM's link and processor bear.
const MOST_DIRECT_GATEWAYS: usize = 20;
/// Time between two syncs that the leader answers; one costs it some tenths of a millisecond.
const SYNC_SPACING: Duration = Duration::from_millis(10);
/// Bounds of the time between two syncs of a gateway. A change of plan must be in force within two
/// seconds.
const SHORTEST_SYNC_PERIOD: Duration = Duration::from_millis(250);
const LONGEST_SYNC_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for which requests are seen before copies are moved for their sake.
const SHORTEST_OBSERVATION: Duration = Duration::from_millis(2_500);
/// Demand below this many tokens a second is forgotten.
const FORGOTTEN_RATE: f64 = 0.5;

/// What the leader knows of the gateways that sync with it.
#[derive(Debug, Default)]
pub struct GatewayTable {
    gateways: BTreeMap<EntryKey, GatewayState>,
    demand: HashMap<ServedModel, DemandTrend>,
    /// When requests were first seen.
    first_demand: Option<Duration>,
}

#[derive(Debug)]
struct GatewayState {
    seen_at: Duration,
    data_centre: DataCentreId,
    load_address: SocketAddr,
    wanted: Vec<ServedModel>,
}

impl GatewayTable {
    /// Records a report.
    #[allow(clippy::cast_precision_loss)] // Token counts are estimates.
    pub fn record(&mut self, report: &GatewayReport, now: Duration) {
        if !report.demand.is_empty() {
            self.first_demand.get_or_insert(now);
        }
        for requests in &report.demand {
            let trend = self.demand.entry(requests.model.clone()).or_default();
            trend.record(requests.tokens as f64, f64::from(requests.requests), now);
        }
        let state = GatewayState {
            seen_at: now,
            data_centre: report.data_centre.clone(),
            load_address: report.load_address,
            wanted: report.missing_models.clone(),
        };
        self.gateways.insert(report.gateway.clone(), state);
    }

    /// Forgets gateways that fell silent and models that nobody asks for.
    pub fn expire(&mut self, now: Duration) {
        self.gateways
            .retain(|_, state| now.saturating_sub(state.seen_at) < SILENCE_LIMIT);
        self.demand
            .retain(|_, trend| trend.current(now) > FORGOTTEN_RATE);
    }

    /// Returns whom a gateway tells about load. In a large fleet the first gateway of each data
    /// centre relays; the order of names keeps the choice while it lives.
    #[must_use]
    pub fn load_topology(&self, own: &EntryKey) -> LoadTopology {
        let others = self.gateways.iter().filter(|(key, _)| *key != own);
        if self.gateways.len() <= MOST_DIRECT_GATEWAYS {
            let peers = others.map(|(_, state)| state.load_address);
            return LoadTopology::Direct {
                peers: peers.collect(),
            };
        }
        let mut relays: BTreeMap<&DataCentreId, (&EntryKey, SocketAddr)> = BTreeMap::new();
        for (key, state) in &self.gateways {
            let relay = (key, state.load_address);
            relays.entry(&state.data_centre).or_insert(relay);
        }
        let Some(state) = self.gateways.get(own) else {
            return LoadTopology::Unknown;
        };
        match relays.get(&state.data_centre) {
            Some((relay, _)) if *relay == own => {
                let members = others.filter(|(_, other)| other.data_centre == state.data_centre);
                let relays = relays.values().filter(|(relay, _)| *relay != own);
                LoadTopology::Relay {
                    members: members.map(|(_, other)| other.load_address).collect(),
                    relays: relays.map(|(_, address)| *address).collect(),
                }
            }
            Some((_, relay)) => LoadTopology::Member { relay: *relay },
            None => LoadTopology::Unknown,
        }
    }

    /// Returns the time between two syncs of a gateway, which bounds the syncs of all of them.
    #[must_use]
    pub fn sync_period(&self) -> Duration {
        let gateways = u32::try_from(self.gateways.len()).unwrap_or(u32::MAX);
        (SYNC_SPACING * gateways).clamp(SHORTEST_SYNC_PERIOD, LONGEST_SYNC_PERIOD)
    }

    /// Returns the models that requests wait for.
    pub fn wanted(&self) -> impl Iterator<Item = &ServedModel> {
        self.gateways.values().flat_map(|state| &state.wanted)
    }

    /// Tells whether requests were seen for long enough that their mix says something.
    #[must_use]
    pub fn knows_demand(&self, now: Duration) -> bool {
        self.first_demand
            .is_some_and(|first| now.saturating_sub(first) >= SHORTEST_OBSERVATION)
    }

    /// Returns the demand for each model and adapter.
    pub fn all_demand(&self, now: Duration) -> impl Iterator<Item = (&ServedModel, f64)> {
        self.demand
            .iter()
            .map(move |(model, trend)| (model, trend.current(now)))
    }

    /// Returns the demand for each model and adapter where its trend leads to within a time that
    /// depends on the model.
    pub fn demand_ahead(
        &self,
        now: Duration,
        horizon: impl Fn(&ServedModel) -> Duration,
    ) -> impl Iterator<Item = (&ServedModel, f64)> {
        self.demand
            .iter()
            .map(move |(model, trend)| (model, trend.forecast(now, horizon(model))))
    }
}
