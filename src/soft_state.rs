//! Soft state that the leader keeps in memory about entries, demand and engines.
//!
//! It is rebuilt from syncs within a second after a change of leader; see docs/design.md,
//! sections 4 and 7. The tables do no I/O, and the time is an argument.

mod demand;
mod load_subscriptions;
mod registry;
mod reporter;
mod reporter_assignments;
mod reports;
mod residency;
mod served_tokens;

pub use demand::{DemandTable, DemandTotals};
pub use load_subscriptions::LoadSubscriptions;
pub use registry::{EntryRegistry, EntryStatus};
pub use reporter::assign_reporter;
pub use reporter_assignments::ReporterAssignments;
pub use reports::{ReportTable, TargetHealth};
pub use residency::ResidencyLog;
pub use served_tokens::ServedTokens;
