//! The serving plan: the routes, services, engines and teams that operators publish for gateways;
//! see docs/platform.md.
//!
//! A plan is published as a document in the format of an [adapter](crate::adapter). The log stores
//! the document, and each process decodes it.

mod caller_limits;
mod document_delta;
mod engine_plan;
mod index;
mod route_plan;
mod service_plan;
mod serving_plan;
mod team_plan;
mod warmup_plan;

pub use caller_limits::CallerLimits;
pub use document_delta::DocumentDelta;
pub use engine_plan::{EnginePlan, ModelPlan};
pub use index::{PlanIndex, TeamMatch};
pub use route_plan::{RouteKind, RoutePlan, ServiceShare};
pub use service_plan::ServicePlan;
pub use serving_plan::ServingPlan;
pub use team_plan::TeamPlan;
pub use warmup_plan::WarmupPlan;

/// Version of a plan, chosen by operators; the plan with the highest version is in force.
pub type PlanVersion = u64;
