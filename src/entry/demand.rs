use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use crate::{ids::ModelId, sync::ModelDemand};

#[derive(Debug, Default)]
struct DemandRow {
    requests: u32,
    tokens: u64,
    waiting: u32,
}

/// Accumulates the demand per model between two syncs.
#[derive(Debug, Default)]
pub struct DemandCounter {
    rows: Mutex<HashMap<ModelId, DemandRow>>,
}

impl DemandCounter {
    fn rows(&self) -> MutexGuard<'_, HashMap<ModelId, DemandRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request for a model or adapter and its estimated tokens.
    pub fn record_arrival(&self, model: &ModelId, tokens: u64) {
        let mut rows = self.rows();
        let row = rows.entry(model.clone()).or_default();
        row.requests = row.requests.saturating_add(1);
        row.tokens = row.tokens.saturating_add(tokens);
    }

    /// Counts a request that waits because no copy of its model is resident.
    pub fn begin_wait(&self, model: &ModelId) {
        self.rows().entry(model.clone()).or_default().waiting += 1;
    }

    /// Ends a wait that [`DemandCounter::begin_wait`] began.
    pub fn end_wait(&self, model: &ModelId) {
        if let Some(row) = self.rows().get_mut(model) {
            row.waiting = row.waiting.saturating_sub(1);
        }
    }

    /// Removes and returns the demand since the last call; only waiting requests are carried over.
    pub fn take(&self) -> Vec<ModelDemand> {
        let mut rows = self.rows();
        let demand = rows
            .iter()
            .map(|(model, row)| ModelDemand {
                model: model.clone(),
                requests: row.requests,
                tokens: row.tokens,
                waiting: row.waiting,
            })
            .collect();
        rows.retain(|_, row| row.waiting > 0);
        for row in rows.values_mut() {
            row.requests = 0;
            row.tokens = 0;
        }
        demand
    }
}
