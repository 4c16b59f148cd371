//! The serving plan: what operators publish for gateways, as routes, services, engines and teams;
//! see docs/platform.md.
//!
//! A plan arrives as a document whose format belongs to an [adapter](crate::adapter). The log keeps
//! the document and each process decodes it.

mod caller_limits;
mod document_delta;
mod engine_plan;
mod index;
mod route_plan;
mod service_plan;
mod serving_plan;
mod team_plan;

pub use caller_limits::CallerLimits;
pub use document_delta::DocumentDelta;
pub use engine_plan::{EnginePlan, ModelPlan};
pub use index::{PlanIndex, TeamMatch};
pub use route_plan::{RouteKind, RoutePlan, ServiceShare};
pub use service_plan::ServicePlan;
pub use serving_plan::ServingPlan;
pub use team_plan::TeamPlan;

/// Number of a plan, chosen by operators; the highest one is in force.
pub type PlanVersion = u64;
