use compact_str::CompactString;

use crate::{allowance::RateLimit, ids::TeamId};

/// One team, its keys and its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamPlan {
    /// Name of the team.
    pub id: TeamId,
    /// Keys that its callers may show.
    pub keys: Vec<CompactString>,
    /// Urgency that replaces the route's.
    pub priority: Option<u8>,
    /// Limit in tokens over the whole fleet; `None` for no limit.
    pub limit: Option<RateLimit>,
    /// Tokens that a request counts which does not declare its size.
    pub default_tokens: u64,
}
