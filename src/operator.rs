//! Operator tooling: the messages of the administration API, a client that follows redirects to
//! the leader, and the command line.

mod answer;
mod client;
mod command;
mod exit_code;
mod message;
mod output;
mod settings;
mod status;

pub use answer::AdminAnswer;
pub use client::{AdminReply, OperatorClient};
pub use command::run;
pub use exit_code::OperatorExit;
pub use message::{
    ApplyBody, ConfigView, DiffView, DrainView, DrainsView, HistoryView, InForceView, KeyAddBody,
    KeyRevokeBody,
};
pub use output::{OutputFormat, table};
pub use settings::{OperatorConfig, OperatorContext};
pub use status::{
    ClaimsStatus, EngineStatus, EntryFreshness, OrderStatus, RevisionStatus, StatusView,
    SuspectsStatus,
};
