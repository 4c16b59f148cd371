//! Border to the platform that a fleet runs on: what gateways and coordinators need of it, in the
//! product's own types. An adapter crate implements [`PlatformAdapter`]; see docs/platform.md.

mod engine_order;
mod engine_status;
mod metadata;
mod platform_adapter;
mod refusal;
mod target_entry;

pub use engine_order::{EngineOrder, OrderAction, OrderResponse};
pub use engine_status::EngineStatus;
pub use metadata::{ForwardMetadata, PromptPart, RequestMetadata, ResponseMetadata};
pub use platform_adapter::{PlatformAdapter, PlatformFuture};
pub use refusal::{RefusalKind, RefusalNotice};
pub use target_entry::{LoadedModel, TargetEntry};
