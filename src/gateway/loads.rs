//! Exchange of per-target load between gateways; see docs/platform.md.

mod aggregator;
mod exchange;
mod source;
mod waiting;

pub use aggregator::LoadAggregator;
pub use exchange::LoadExchange;
pub use waiting::WaitSums;
