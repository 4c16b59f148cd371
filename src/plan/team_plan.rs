use compact_str::CompactString;

use crate::{allowance::RateLimit, ids::TeamId, region::RegionLimit};

/// One team with its keys and its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamPlan {
    /// Name of the team.
    pub id: TeamId,
    /// Keys that authenticate the team's callers.
    pub keys: Vec<CompactString>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Rate limit in tokens over the whole fleet; `None` for no limit.
    pub limit: Option<RateLimit>,
    /// Number of tokens charged for a request that does not declare its size.
    pub default_tokens: u64,
    /// Regions whose targets may run the team's requests.
    pub allowed_regions: RegionLimit,
}
