//! Target selection for requests; see docs/design.md, section 10, and docs/policy.md.

mod choice;
mod health;
mod load;
mod outlier;
mod pace;
mod pool;
mod pool_slots;
mod prefix_index;
mod prefix_popularity;
mod replica;
mod replica_pool;
mod request;
mod retry;
mod selection;
mod table;
mod tuning;

pub use choice::RouteChoice;
pub use health::HealthState;
pub use load::{LoadEstimate, LoadReport};
pub use pool::PoolId;
pub use prefix_index::{PrefixHolder, PrefixIndex};
pub use replica::{Availability, ReplicaSpec, Warmth};
pub use request::{ExchangeOutcome, PrefixBlock, RouteRequest};
pub use retry::RetryBudget;
pub use table::ReplicaTable;
pub use tuning::RouteTuning;
