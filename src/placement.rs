//! Decides which models and adapters are resident on which accelerators; see docs/design.md,
//! section 12, and docs/placement.md for the alternatives and the measurements.
//!
//! The planner does no I/O: engines, demand and time are arguments, and the result is a list of
//! steps.

mod adapters;
mod demand;
mod draft;
mod engine;
mod evict;
mod params;
mod plan;
mod planner;
mod store_limiter;
mod versions;

pub use demand::{DemandEstimate, DemandEstimator};
pub use engine::{EngineCapacity, EngineState};
pub use params::PlacementParams;
pub use plan::{PlacementPlan, PlacementStep, StepReason};
pub use planner::{PlacementPlanner, PlanInput};
pub use store_limiter::{LoadKind, StoreLimiter};
