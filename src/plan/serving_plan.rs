use super::{CallerLimits, PlanVersion, RoutePlan, ServicePlan, TeamPlan};

/// A whole serving plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingPlan {
    /// Number of the plan.
    pub version: PlanVersion,
    /// Routes.
    pub routes: Vec<RoutePlan>,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Teams; without any, requests need no key.
    pub teams: Vec<TeamPlan>,
}
