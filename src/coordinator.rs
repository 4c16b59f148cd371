//! Duties of the leading control daemon towards gateways: plans, allowance, the list of targets and
//! what engines hold; see docs/platform.md.

mod adapters;
mod api;
mod config;
mod daemon;
mod demand_trend;
mod desk;
mod engine_belief;
mod engines;
mod gateways;
mod grant_port;
mod member_duty;
mod orders;
mod outcomes;
mod placement;
mod plan_archive;
mod plan_desk;
mod target_journal;

pub use config::CoordinatorConfig;
pub use daemon::CoordinatorDaemon;
pub use demand_trend::DemandTrend;
pub use desk::CoordinatorDesk;
pub use engine_belief::{EngineBelief, EnginePresence};
pub use gateways::GatewayTable;
pub use placement::{CopyPlan, EngineLoad, ModelNeed, PlacementInput, PlacementOrder, plan_copies};
pub use plan_archive::PlanArchive;
pub use plan_desk::PlanDesk;
pub use target_journal::TargetJournal;
