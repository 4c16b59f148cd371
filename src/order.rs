//! Orders to engines; see docs/design.md, section 12.

mod message;
mod verdict;

pub use message::{EngineOrder, OrderAction, OrderAnswer};
pub use verdict::{DeliveryRecord, FencingCheck, OrderVerdict, judge_order};
