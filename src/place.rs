//! Which model is resident on which accelerators; see docs/design.md, section 12, and
//! docs/placement.md for the alternatives and the measurements.
//!
//! The planner is pure: it gets the engines, the demand and the time, and returns steps.

mod adapters;
mod board;
mod demand;
mod engine;
mod evict;
mod plan;
mod planner;
mod rules;
mod schedule;
mod versions;

pub use demand::{DemandSmoother, SmoothedDemand};
pub use engine::{EngineRoom, EngineState};
pub use plan::{PlacementPlan, PlacementStep, StepReason};
pub use planner::{PlacementPlanner, PlanInput};
pub use rules::PlacementRules;
pub use schedule::{LoadKind, StoreSchedule};
