//! Coordinators: control daemons whose leader serves gateways with plans, allowance and the list of
//! targets, and decides which models engines load; see docs/platform.md.

mod acknowledgement;
mod adapter_orders;
mod api;
mod config;
mod daemon;
mod delegate_client;
mod delegate_table;
mod delegate_view;
mod delegated_polls;
mod delegation;
mod demand_trend;
mod engine_memory;
mod engine_table;
mod engine_view;
mod evacuated_engines;
mod evacuation_store;
mod gateway_table;
mod grant_server;
mod leader_work;
mod load_groups;
mod model_copies;
mod model_waits;
mod neighbours;
mod order_dispatcher;
mod order_outcomes;
mod pending_gateway;
mod placement;
mod plan_confirmations;
mod plan_history;
mod plan_pusher;
mod plan_store;
mod regional_needs;
mod rejection_limits;
mod served_list;
mod state;
mod stream_versions;
mod target_history;
mod thread_runtime;
mod warmup_limits;

pub use config::CoordinatorConfig;
pub use daemon::CoordinatorDaemon;
pub use delegate_view::DelegateView;
pub use delegated_polls::DelegatedPolls;
pub use demand_trend::DemandTrend;
pub use engine_table::{EngineTable, PlannedOrder, TargetChanges};
pub use engine_view::{EngineLiveness, EngineView};
pub use evacuation_store::EvacuationStore;
pub use gateway_table::GatewayTable;
pub use model_waits::{ModelWait, ModelWaits, WantedModel};
pub use placement::{
    CopyAction, ModelNeed, PlacementEngine, PlacementInput, PlacementStep, plan_copies,
};
pub use plan_confirmations::PlanConfirmations;
pub use plan_history::PlanHistory;
pub use plan_store::PlanStore;
pub use state::CoordinatorState;
pub use target_history::TargetHistory;
