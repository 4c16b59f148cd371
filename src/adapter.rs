//! Border to the platform that a fleet runs on: what gateways and coordinators need of it, in the
//! product's own types. An adapter crate implements [`PlatformAdapter`]; see docs/platform.md.

mod caller_facts;
mod engine_order;
mod engine_status;
mod platform_adapter;
mod refusal;
mod target_entry;

pub use caller_facts::{AnswerFacts, CallerFacts, PromptPart, SendFacts};
pub use engine_order::{EngineOrder, OrderAction, OrderAnswer};
pub use engine_status::EngineStatus;
pub use platform_adapter::{PlatformAdapter, PlatformCall};
pub use refusal::{RefusalKind, RefusalNotice};
pub use target_entry::{HeldModel, TargetEntry};
