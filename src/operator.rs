//! What operators use: the messages of the administration API, a client that follows the leader,
//! and the command line.

mod answer;
mod client;
mod message;
mod status;

pub use answer::AdminAnswer;
pub use client::{AdminReply, OperatorClient};
pub use message::{
    ApplyBody, ConfigView, DiffView, DrainView, DrainsView, HistoryView, InForceView, KeyAddBody,
    KeyRevokeBody,
};
pub use status::{
    ClaimsStatus, EngineStatus, EntryFreshness, InForce, OrderStatus, StatusView, SuspectsStatus,
};
