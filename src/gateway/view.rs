use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError, RwLock},
    time::Duration,
};

use crate::{
    clock::BootInstant,
    plan::PlanIndex,
    sync::{ModelRequests, ServedModel},
};

/// The plan in force at this gateway.
#[derive(Debug, Default)]
pub struct PlanView {
    plan: RwLock<Option<Arc<PlanIndex>>>,
    /// Start of the last sync in which the leader had no newer plan.
    proved_at: RwLock<Option<BootInstant>>,
}

impl PlanView {
    /// Returns the plan; `None` before the first one is received.
    pub fn get(&self) -> Option<Arc<PlanIndex>> {
        let plan = self.plan.read().unwrap_or_else(PoisonError::into_inner);
        plan.clone()
    }

    /// Records that the plan was the newest one at `proved_at`.
    pub fn record_proof(&self, proved_at: BootInstant) {
        let mut known = self
            .proved_at
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *known = (*known).max(Some(proved_at));
    }

    /// Returns the time since the plan was last proved to be the newest one.
    pub fn proof_age(&self) -> Option<Duration> {
        let proved_at = *self
            .proved_at
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        proved_at.map(|at| at.elapsed())
    }

    /// Replaces the plan if `index` is newer, and returns whether it was. A gateway never returns
    /// to an older plan.
    pub fn set(&self, index: PlanIndex) -> bool {
        let mut plan = self.plan.write().unwrap_or_else(PoisonError::into_inner);
        let version = index.plan().version;
        let is_newer = plan.as_ref().is_none_or(|old| old.plan().version < version);
        if is_newer {
            *plan = Some(Arc::new(index));
        }
        is_newer
    }
}

/// Number and tokens of requests by model since the last report to the leader.
#[derive(Debug, Default)]
pub struct ModelDemand {
    counts: Mutex<HashMap<ServedModel, (u32, u64)>>,
}

impl ModelDemand {
    /// Counts a request for a model.
    pub fn record(&self, model: &ServedModel, tokens: u64) {
        self.add(model, 1, tokens);
    }

    fn add(&self, model: &ServedModel, requests: u32, tokens: u64) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(model.clone()).or_default();
        count.0 += requests;
        count.1 += tokens;
    }

    /// Returns the counts and resets them.
    pub fn take(&self) -> Vec<ModelRequests> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = std::mem::take(&mut *counts).into_iter();
        counts
            .map(|(model, (requests, tokens))| ModelRequests {
                model,
                requests,
                tokens,
            })
            .collect()
    }

    /// Adds the counts of a failed report back.
    pub fn put_back(&self, demand: &[ModelRequests]) {
        for requests in demand {
            self.add(&requests.model, requests.requests, requests.tokens);
        }
    }
}
