//! Limits on requests to targets that have just started or turned cold; see docs/design/warmup.md.

mod limited_targets;
mod warmth_table;
mod warmup_limit;

use std::time::Duration;

use compact_str::format_compact;

pub use limited_targets::LimitedTargets;
pub use warmth_table::{ColdSource, WarmthChange, WarmthTable};
pub use warmup_limit::{WarmupBounds, WarmupLimit};

use crate::ids::{TargetId, TeamId};

/// Tokens of one request, so that rates that are not whole numbers of requests can be kept.
pub const REQUEST_TOKENS: u64 = 1_000;

/// Maximum age of a reservation when its request is written. The bound counts requests by the time at which
/// they are sent and the ledger by the time at which they are reserved, so this time counts against the burst.
pub const MAX_RESERVATION_AGE: Duration = Duration::from_millis(100);

/// Maximum time for which a request waits for a reservation at a cold target.
pub const MAX_RESERVATION_WAIT: Duration = Duration::from_millis(50);

/// First character of the ids under which the ledger keeps the limits of targets. Plans with a team whose
/// name starts with it are refused.
const ID_PREFIX: char = '\0';

/// Returns the id under which the ledger keeps the limit of a target.
#[must_use]
pub fn limit_id(target: &TargetId) -> TeamId {
    format_compact!("{ID_PREFIX}{target}")
}

/// Returns whether a name could be the id of a target's limit and must not be that of a team.
#[must_use]
pub fn is_limit_id(name: &str) -> bool {
    name.starts_with(ID_PREFIX)
}
