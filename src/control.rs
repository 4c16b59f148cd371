//! The control daemon: serves entries and operators, and runs the tasks of the leader.

mod admin;
mod bootstrap;
mod claims;
mod commands;
mod crashes;
mod daemon;
mod health;
mod known_members;
mod member_calls;
mod member_client;
mod members;
mod order_dispatcher;
mod peer_sender;
mod placement_controller;
mod platform;
mod raft_api;
mod refused_joins;
mod saved_addresses;
mod seat;
mod seat_search;
mod sync_service;
mod system;
mod tables;

pub(crate) use bootstrap::FleetBootstrap;
pub use daemon::{ControlDaemon, ServingControl};
pub use members::{MemberAddBody, MemberAnswer, MemberChangeBody, MemberView, MembersView};
pub use order_dispatcher::OrderDispatcher;
pub(crate) use peer_sender::HttpPeerSender;
pub use platform::LeavingVms;
pub(crate) use raft_api::raft_routes;
pub(crate) use refused_joins::RefusedJoins;
pub(crate) use saved_addresses::read_addresses;
pub(crate) use seat::hand_over_seat;
pub(crate) use seat_search::MemberReturn;
pub use sync_service::SyncService;
pub(crate) use system::{SystemPeer, SystemSecret};
