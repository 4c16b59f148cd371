//! Tables that the leader keeps in memory about entries, demand and engines.
//!
//! They are rebuilt from syncs within a second after a change of leader; see docs/design.md,
//! sections 4 and 7. All of them are pure: the time is an argument.

mod demand;
mod duties;
mod loads;
mod registry;
mod reporter;
mod reports;
mod residency;
mod served;

pub use demand::{DemandTable, ModelLoad};
pub use duties::ReporterDuties;
pub use loads::LoadDigest;
pub use registry::{EntryRegistry, EntryStatus};
pub use reporter::assign_reporter;
pub use reports::{ReportTable, TargetHealth};
pub use residency::ResidencyLog;
pub use served::ServedTable;
