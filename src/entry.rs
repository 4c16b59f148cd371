//! The entry daemon: authenticates, admits, routes and streams callers' requests.

mod allowance;
mod crashes;
mod daemon;
mod demand;
mod follow;
mod poll;
mod proxy;
mod refusal;
mod request;
mod view;

pub use allowance::{ReservedTokens, SharedAllowance};
pub use crashes::CrashTable;
pub use daemon::EntryDaemon;
pub use demand::DemandCounter;
pub use follow::{SyncFollower, SyncParts};
pub use poll::PolledReports;
pub use refusal::CallerError;
pub use view::{EntryView, ResidencyTable, SharedView};
