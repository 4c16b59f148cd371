use std::{collections::HashMap, sync::Arc};

use compact_str::CompactString;

use super::{RoutePlan, ServicePlan, ServingPlan, TeamPlan};
use crate::ids::ServiceId;

/// Team that a request belongs to.
#[derive(Clone, Debug)]
pub enum TeamMatch {
    /// The key belongs to this team.
    Team(Arc<TeamPlan>),
    /// No key is needed: the plan has no teams, or the route is public.
    Anonymous,
    /// The key is unknown or missing.
    Unknown,
}

/// A plan with lookup tables for routes, services and teams.
#[derive(Debug, Default)]
pub struct PlanIndex {
    plan: ServingPlan,
    /// Routes by host and path prefix.
    routes: HashMap<CompactString, HashMap<CompactString, Arc<RoutePlan>>>,
    services: HashMap<ServiceId, Arc<ServicePlan>>,
    teams_by_key: HashMap<CompactString, Arc<TeamPlan>>,
}

impl PlanIndex {
    /// Builds the lookup tables of a plan.
    #[must_use]
    pub fn new(plan: ServingPlan) -> Self {
        let mut routes: HashMap<_, HashMap<_, _>> = HashMap::new();
        for route in &plan.routes {
            let host_routes = routes.entry(route.host.clone()).or_default();
            host_routes.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let services = plan.services.iter();
        let services = services.map(|service| (service.id.clone(), Arc::new(service.clone())));
        let mut teams_by_key = HashMap::new();
        for team in &plan.teams {
            let shared = Arc::new(team.clone());
            teams_by_key.extend(
                team.keys
                    .iter()
                    .map(|key| (key.clone(), Arc::clone(&shared))),
            );
        }
        Self {
            routes,
            services: services.collect(),
            teams_by_key,
            plan,
        }
    }

    /// Returns the plan itself.
    #[must_use]
    pub fn plan(&self) -> &ServingPlan {
        &self.plan
    }

    /// Returns the route of the host whose prefix is the longest that matches the path. Prefixes end
    /// with a slash, so there is at most one lookup per slash in the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RoutePlan>> {
        let routes = self.routes.get(host.to_ascii_lowercase().as_str())?;
        path.rmatch_indices('/')
            .find_map(|(slash, _)| routes.get(&path[..=slash]))
    }

    /// Returns the service with a name.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<&Arc<ServicePlan>> {
        self.services.get(id)
    }

    /// Returns all services in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServicePlan>> {
        self.services.values()
    }

    /// Returns the team that a request with a key on a route belongs to.
    #[must_use]
    pub fn team(&self, route: &RoutePlan, key: Option<&str>) -> TeamMatch {
        let team = key.and_then(|key| self.teams_by_key.get(key));
        match team {
            Some(team) => TeamMatch::Team(Arc::clone(team)),
            None if route.is_public || self.plan.teams.is_empty() => TeamMatch::Anonymous,
            None => TeamMatch::Unknown,
        }
    }
}
