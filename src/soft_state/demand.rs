use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{EntryKey, ModelId},
    sync::ModelDemand,
};

/// Age after which an entry's counts of waiting requests are discarded.
const MAX_WAITING_AGE: Duration = Duration::from_secs(2);

/// Demand for one model or adapter over all entries since the last call of [`DemandTable::take`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandTotals {
    /// Requests that arrived.
    pub requests: u64,
    /// Tokens that these requests asked for.
    pub tokens: u64,
    /// Requests that currently wait because no copy is resident.
    pub waiting: u64,
}

/// Sums of the demand that entries report.
#[derive(Debug, Default)]
pub struct DemandTable {
    /// Requests and tokens of each model.
    totals: BTreeMap<ModelId, (u64, u64)>,
    /// Waiting requests at each entry, with the time of its report.
    waiting: BTreeMap<EntryKey, (Duration, Vec<(ModelId, u32)>)>,
}

impl DemandTable {
    /// Adds the demand that an entry reported in one sync.
    pub fn record(&mut self, entry: &EntryKey, demand: &[ModelDemand], now: Duration) {
        for model in demand {
            let (requests, tokens) = self.totals.entry(model.model.clone()).or_default();
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

    /// Returns the demand since the last call, without models that have none.
    pub fn take(&mut self, now: Duration) -> BTreeMap<ModelId, DemandTotals> {
        self.waiting
            .retain(|_, (reported_at, _)| now.saturating_sub(*reported_at) <= MAX_WAITING_AGE);
        let mut totals: BTreeMap<ModelId, DemandTotals> = std::mem::take(&mut self.totals)
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
            totals.entry(model.clone()).or_default().waiting += u64::from(*count);
        }
        totals
    }
}
