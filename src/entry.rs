//! The entry daemon: authenticates, admits, routes and streams callers' requests.

mod daemon;
mod follow;
mod proxy;
mod refusal;
mod request;
mod view;

pub use daemon::EntryDaemon;
pub use refusal::CallerError;
