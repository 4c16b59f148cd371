use super::{CallerLimits, PlanVersion, RoutePlan, ServicePlan, TeamPlan};

/// A decoded serving plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingPlan {
    /// Version of the plan.
    pub version: PlanVersion,
    /// Routes that requests are matched with.
    pub routes: Vec<RoutePlan>,
    /// Services that the routes refer to.
    pub services: Vec<ServicePlan>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Teams; if there are none, requests need no key.
    pub teams: Vec<TeamPlan>,
}
