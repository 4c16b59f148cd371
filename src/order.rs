//! Orders to engines; see docs/design.md, section 12.

mod message;

pub use message::{EngineOrder, OrderAction, OrderAnswer};
