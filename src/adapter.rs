//! Interface to the platform that a fleet runs on, for gateways and coordinators. An adapter crate
//! implements [`PlatformAdapter`] for each platform; see docs/platform.md.

mod connection_headers;
mod engine_order;
mod engine_status;
mod metadata;
mod platform_adapter;
mod refusal;
mod seed_list;
mod seed_source;
mod target_entry;

pub use connection_headers::remove_connection_headers;
pub use engine_order::{EngineOrder, OrderAction, OrderResponse};
pub use engine_status::EngineStatus;
pub use metadata::{ForwardMetadata, PromptPart, RequestMetadata, ResponseMetadata};
pub use platform_adapter::{PlatformAdapter, PlatformFuture};
pub use refusal::{RefusalKind, RefusalNotice};
pub use seed_list::SeedList;
pub use seed_source::SeedSource;
pub use target_entry::{LoadedModel, TargetEntry};
