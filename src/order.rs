//! Load and unload orders to engines; see docs/design.md, section 12.

mod decision;
mod message;

pub use decision::{DeliveryRecord, FencingMode, OrderDecision, evaluate_order};
pub use message::{EngineOrder, OrderAction, OrderAnswer};
