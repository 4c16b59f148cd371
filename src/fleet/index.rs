use std::{collections::HashMap, sync::Arc};

use super::KeyHash;
use crate::{
    border::{
        AdapterConfig, FleetConfig, KeyConfig, ModelConfig, RouteConfig, TargetConfig, TeamConfig,
    },
    ids::{ModelId, RouteId, ServiceId, TargetId, TeamId},
};

/// Lookup tables for one accepted configuration.
#[derive(Debug, Default)]
pub struct FleetIndex {
    keys: HashMap<KeyHash, Arc<KeyConfig>>,
    teams: HashMap<TeamId, Arc<TeamConfig>>,
    models: HashMap<ModelId, Arc<ModelConfig>>,
    adapters: HashMap<ModelId, Arc<AdapterConfig>>,
    targets: HashMap<TargetId, Arc<TargetConfig>>,
    services: HashMap<ServiceId, Vec<Arc<TargetConfig>>>,
    /// Sorted by descending prefix length, so that the first match is the longest.
    routes: Vec<Arc<RouteConfig>>,
}

impl FleetIndex {
    /// Builds the tables. Keys with a malformed hash are skipped; validation rejects them earlier.
    #[must_use]
    pub fn new(config: &FleetConfig) -> Self {
        let mut index = Self::default();
        for key in &config.keys {
            if let Some(hash) = KeyHash::from_hex(&key.hash) {
                index.keys.insert(hash, Arc::new(key.clone()));
            }
        }
        for team in &config.teams {
            index.teams.insert(team.id.clone(), Arc::new(team.clone()));
        }
        for model in &config.models {
            index
                .models
                .insert(model.id.clone(), Arc::new(model.clone()));
        }
        for adapter in &config.adapters {
            index
                .adapters
                .insert(adapter.id.clone(), Arc::new(adapter.clone()));
        }
        for target in config.targets.iter().cloned().map(Arc::new) {
            if let Some(service) = &target.service {
                index
                    .services
                    .entry(service.clone())
                    .or_default()
                    .push(Arc::clone(&target));
            }
            index.targets.insert(target.id.clone(), target);
        }
        index.routes = config.routes.iter().cloned().map(Arc::new).collect();
        index
            .routes
            .sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        index
    }

    /// Finds the key with the given hash.
    #[must_use]
    pub fn key(&self, hash: &KeyHash) -> Option<&Arc<KeyConfig>> {
        self.keys
            .get_key_value(hash)
            .filter(|(stored, _)| stored.matches(hash))
            .map(|(_, key)| key)
    }

    /// Finds a team by its id.
    #[must_use]
    pub fn team(&self, id: &TeamId) -> Option<&Arc<TeamConfig>> {
        self.teams.get(id)
    }

    /// Finds a model by its id; adapters are not included.
    #[must_use]
    pub fn model(&self, id: &ModelId) -> Option<&Arc<ModelConfig>> {
        self.models.get(id)
    }

    /// Finds an adapter by its id.
    #[must_use]
    pub fn adapter(&self, id: &ModelId) -> Option<&Arc<AdapterConfig>> {
        self.adapters.get(id)
    }

    /// Finds a target by its id.
    #[must_use]
    pub fn target(&self, id: &TargetId) -> Option<&Arc<TargetConfig>> {
        self.targets.get(id)
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<TargetConfig>> {
        self.targets.values()
    }

    /// Returns the targets of a service, or an empty slice when it has none.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> &[Arc<TargetConfig>] {
        self.services.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns all models.
    pub fn models(&self) -> impl Iterator<Item = &Arc<ModelConfig>> {
        self.models.values()
    }

    /// Returns all adapters.
    pub fn adapters(&self) -> impl Iterator<Item = &Arc<AdapterConfig>> {
        self.adapters.values()
    }

    /// Returns all teams.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<TeamConfig>> {
        self.teams.values()
    }

    /// Finds a route by its id.
    #[must_use]
    pub fn route_by_id(&self, id: &RouteId) -> Option<&Arc<RouteConfig>> {
        self.routes.iter().find(|route| route.id == *id)
    }

    /// Finds the route with the longest prefix that matches `path` at a segment boundary.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&Arc<RouteConfig>> {
        self.routes.iter().find(|route| {
            let prefix = route.path_prefix.trim_end_matches('/');
            path.strip_prefix(prefix)
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        })
    }
}
