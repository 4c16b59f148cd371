use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{EntryKey, ModelId},
    sync::ModelDemand,
};

/// Waiting counts older than this are dropped with their entry.
const WAITING_LIFETIME: Duration = Duration::from_secs(2);

/// Demand for one model over the fleet since the last reading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandTotals {
    /// Requests that arrived.
    pub requests: u64,
    /// Tokens that they asked for.
    pub tokens: u64,
    /// Requests that wait now because no copy is resident.
    pub waiting: u64,
}

/// Sums the demand that entries report.
#[derive(Debug, Default)]
pub struct DemandTable {
    arrived: BTreeMap<ModelId, (u64, u64)>,
    waiting: BTreeMap<EntryKey, (Duration, Vec<(ModelId, u32)>)>,
}

impl DemandTable {
    /// Adds what an entry reported in one sync.
    pub fn record(&mut self, entry: &EntryKey, demand: &[ModelDemand], now: Duration) {
        for model in demand {
            let (requests, tokens) = self.arrived.entry(model.model.clone()).or_default();
            *requests += u64::from(model.requests);
            *tokens += model.tokens;
        }
        let waiting: Vec<_> = demand
            .iter()
            .filter(|model| model.waiting > 0)
            .map(|model| (model.model.clone(), model.waiting))
            .collect();
        if waiting.is_empty() {
            self.waiting.remove(entry);
        } else {
            self.waiting.insert(entry.clone(), (now, waiting));
        }
    }

    /// Returns the demand since the last call, for models that have any.
    pub fn take(&mut self, now: Duration) -> BTreeMap<ModelId, DemandTotals> {
        self.waiting
            .retain(|_, (at, _)| now.saturating_sub(*at) <= WAITING_LIFETIME);
        let mut loads: BTreeMap<ModelId, DemandTotals> = std::mem::take(&mut self.arrived)
            .into_iter()
            .map(|(model, (requests, tokens))| {
                (
                    model,
                    DemandTotals {
                        requests,
                        tokens,
                        waiting: 0,
                    },
                )
            })
            .collect();
        for (model, count) in self.waiting.values().flat_map(|(_, waiting)| waiting) {
            loads.entry(model.clone()).or_default().waiting += u64::from(*count);
        }
        loads
    }
}
