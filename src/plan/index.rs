use std::{collections::HashMap, sync::Arc};

use compact_str::CompactString;

use super::{RoutePlan, ServicePlan, ServingPlan, TeamPlan};
use crate::ids::ServiceId;

/// Whose request it is.
#[derive(Clone, Debug)]
pub enum TeamMatch {
    /// The key belongs to this team.
    Team(Arc<TeamPlan>),
    /// The plan has no teams, or the route is open to all.
    Anonymous,
    /// The key is unknown or missing.
    Unknown,
}

/// A plan with the tables that requests are looked up in.
#[derive(Debug, Default)]
pub struct PlanIndex {
    plan: ServingPlan,
    hosts: HashMap<CompactString, HashMap<CompactString, Arc<RoutePlan>>>,
    services: HashMap<ServiceId, Arc<ServicePlan>>,
    keys: HashMap<CompactString, Arc<TeamPlan>>,
}

impl PlanIndex {
    /// Builds the tables of a plan.
    #[must_use]
    pub fn new(plan: ServingPlan) -> Self {
        let mut hosts: HashMap<_, HashMap<_, _>> = HashMap::new();
        for route in &plan.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let services = plan.services.iter();
        let services = services.map(|service| (service.id.clone(), Arc::new(service.clone())));
        let mut keys = HashMap::new();
        for team in &plan.teams {
            let shared = Arc::new(team.clone());
            keys.extend(
                team.keys
                    .iter()
                    .map(|key| (key.clone(), Arc::clone(&shared))),
            );
        }
        Self {
            hosts,
            services: services.collect(),
            keys,
            plan,
        }
    }

    /// Returns the plan.
    #[must_use]
    pub fn plan(&self) -> &ServingPlan {
        &self.plan
    }

    /// Finds the route with the longest prefix that begins the path. Prefixes end with a slash, so
    /// only as many look-ups are needed as the path has slashes.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RoutePlan>> {
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        path.rmatch_indices('/')
            .find_map(|(slash, _)| routes.get(&path[..=slash]))
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<&Arc<ServicePlan>> {
        self.services.get(id)
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServicePlan>> {
        self.services.values()
    }

    /// Finds the team that a request belongs to.
    #[must_use]
    pub fn team(&self, route: &RoutePlan, key: Option<&str>) -> TeamMatch {
        let team = key.and_then(|key| self.keys.get(key));
        match team {
            Some(team) => TeamMatch::Team(Arc::clone(team)),
            None if route.is_public || self.plan.teams.is_empty() => TeamMatch::Anonymous,
            None => TeamMatch::Unknown,
        }
    }
}
