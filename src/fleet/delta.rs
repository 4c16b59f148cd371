use serde::{Deserialize, Serialize};

use super::ListDelta;
use crate::{
    border::{
        AdapterConfig, FleetConfig, KeyConfig, ModelConfig, RouteConfig, TargetConfig, TeamConfig,
        WeightStoreConfig,
    },
    error::{Error, Result},
};

/// Exact difference between two configurations, including the order of the lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)] // The fields match those of the configuration.
pub struct FleetDelta {
    pub teams: ListDelta<TeamConfig>,
    pub keys: ListDelta<KeyConfig>,
    pub routes: ListDelta<RouteConfig>,
    pub models: ListDelta<ModelConfig>,
    pub adapters: ListDelta<AdapterConfig>,
    pub targets: ListDelta<TargetConfig>,
    pub weight_store: Option<WeightStoreConfig>,
}

impl FleetDelta {
    /// Computes the difference from `old` to `new`.
    #[must_use]
    pub fn between(old: &FleetConfig, new: &FleetConfig) -> Self {
        let weight_store = (old.weight_store != new.weight_store).then(|| new.weight_store.clone());
        Self {
            teams: ListDelta::between(&old.teams, &new.teams),
            keys: ListDelta::between(&old.keys, &new.keys),
            routes: ListDelta::between(&old.routes, &new.routes),
            models: ListDelta::between(&old.models, &new.models),
            adapters: ListDelta::between(&old.adapters, &new.adapters),
            targets: ListDelta::between(&old.targets, &new.targets),
            weight_store,
        }
    }

    /// Applies the difference to its base configuration and returns the result.
    ///
    /// # Errors
    /// [`Error::Decode`] when `old` is not the base of the difference. Not every mismatch is
    /// detected, so callers compare revisions first.
    pub fn apply_to(&self, old: &FleetConfig) -> Result<FleetConfig> {
        self.try_apply(old).ok_or_else(|| Error::Decode {
            what: "configuration difference",
            reason: "it starts from another configuration".to_owned(),
        })
    }

    fn try_apply(&self, old: &FleetConfig) -> Option<FleetConfig> {
        let weight_store = self.weight_store.as_ref().unwrap_or(&old.weight_store);
        Some(FleetConfig {
            teams: self.teams.apply_to(&old.teams)?,
            keys: self.keys.apply_to(&old.keys)?,
            routes: self.routes.apply_to(&old.routes)?,
            models: self.models.apply_to(&old.models)?,
            adapters: self.adapters.apply_to(&old.adapters)?,
            targets: self.targets.apply_to(&old.targets)?,
            weight_store: weight_store.clone(),
        })
    }
}
