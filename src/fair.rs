//! Weighted fair queue over teams, with priorities within a team; see docs/design.md, section 9,
//! and docs/policy.md.

mod charge;
mod limits;
mod queue;
mod refusal;
mod service_rate;
mod team_queue;
mod team_table;

use std::time::Duration;

pub use limits::QueueLimits;
pub use queue::{FairQueue, TicketId};
pub use refusal::{PushRefusal, RefusedItem};

/// Highest priority of a request; 0 is the lowest.
pub const MAX_PRIORITY: u8 = 9;

/// Delay of the virtual arrival for each priority level below the highest. An item of the lowest
/// priority is therefore overtaken only by items of its team that arrive within
/// `9 x AGING_STEP` = 27 s after it.
pub const AGING_STEP: Duration = Duration::from_secs(3);
