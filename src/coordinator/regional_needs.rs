use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use spdlog::prelude::*;

use super::engine_table::base_model;
use crate::{
    region::{DataCentreFilter, RegionLimit, RegionTable},
    sync::AwaitedModel,
};

/// Time for which a model keeps a copy in the regions of requests that have waited for it. Gateways
/// report only models without an allowed copy, so the leader does not know when such requests end.
/// Without a retention, a copy with copies elsewhere would be evicted and loaded over and over.
const RETENTION: Duration = Duration::from_secs(300);

/// Models that requests with allowed regions have waited for, each of which needs a copy in these
/// regions.
#[derive(Debug, Default)]
pub(super) struct RegionalNeeds {
    regions: Arc<RegionTable>,
    /// When a gateway last reported that the model is missing.
    missed_at: BTreeMap<AwaitedModel, Duration>,
}

impl RegionalNeeds {
    /// Returns an empty table for the regions in the settings.
    pub fn new(regions: Arc<RegionTable>) -> Self {
        Self {
            regions,
            missed_at: BTreeMap::new(),
        }
    }

    /// Records the models that requests wait for now.
    pub fn record<'m>(&mut self, awaited: impl Iterator<Item = &'m AwaitedModel>, now: Duration) {
        self.missed_at
            .retain(|_, at| now.saturating_sub(*at) < RETENTION);
        for model in awaited.filter(|model| model.regions.is_limited()) {
            if self.missed_at.insert(model.clone(), now).is_none() {
                info!("place: a model is needed in regions", kv: {
                    service = model.model.service.as_str(),
                    model = model.model.model.as_str(),
                    regions = model.regions.to_string().as_str(),
                });
            }
        }
    }

    /// Returns the data centres in the regions that a limit allows.
    pub fn filter(&self, limit: &RegionLimit) -> DataCentreFilter {
        self.regions.filter(limit)
    }

    /// Returns, by model of a service, the data centres in which it needs a copy. An adapter needs a
    /// copy of its model.
    pub fn filters(&self, service: &str) -> HashMap<&str, Vec<DataCentreFilter>> {
        let mut filters: HashMap<&str, Vec<DataCentreFilter>> = HashMap::new();
        let needs = self.missed_at.keys();
        for need in needs.filter(|need| need.model.service == service) {
            let filter = self.filter(&need.regions);
            let known = filters.entry(base_model(&need.model.model)).or_default();
            if !known.contains(&filter) {
                known.push(filter);
            }
        }
        filters
    }
}
