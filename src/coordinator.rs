//! Duties of the leading control daemon towards gateways: plans, allowance, the list of targets and
//! what engines hold; see docs/platform.md.

mod adapters;
mod api;
mod config;
mod daemon;
mod demand_trend;
mod engine_view;
mod engines;
mod gateways;
mod grant_port;
mod member_duty;
mod orders;
mod outcomes;
mod placement;
mod plan_history;
mod plan_store;
mod state;
mod target_history;

pub use config::CoordinatorConfig;
pub use daemon::CoordinatorDaemon;
pub use demand_trend::DemandTrend;
pub use engine_view::{EngineLiveness, EngineView};
pub use gateways::GatewayTable;
pub use placement::{
    CopyAction, ModelNeed, PlacementEngine, PlacementInput, PlacementStep, plan_copies,
};
pub use plan_history::PlanHistory;
pub use plan_store::PlanStore;
pub use state::CoordinatorState;
pub use target_history::TargetHistory;
