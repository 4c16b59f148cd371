//! The control daemon: serves entries and operators, and carries out the leader's duties.

mod admin;
mod claims;
mod commands;
mod crashes;
mod daemon;
mod hub;
mod placer;
mod system;

pub use daemon::ControlDaemon;
pub use hub::SyncHub;
