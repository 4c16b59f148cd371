//! The control daemon: serves entries and operators, and carries out the leader's duties.

mod admin;
mod claims;
mod commands;
mod crashes;
mod daemon;
mod founder;
mod health;
mod hub;
mod members;
mod orders;
mod peer_sender;
mod placer;
mod platform;
mod raft_api;
mod system;
mod tables;

pub use daemon::{ControlDaemon, ServingControl};
pub(crate) use founder::{FleetFounder, ask_member, read_addresses};
pub use hub::SyncHub;
pub use members::{AddMember, MemberAnswer, MemberView, MembersView, NamedMember};
pub use orders::OrderDesk;
pub(crate) use peer_sender::HttpPeerSender;
pub use platform::LeavingVms;
pub(crate) use raft_api::raft_routes;
pub(crate) use system::{SystemPeer, SystemSecret};
