use super::candidates::TriedTargets;
use crate::{
    ids::{TeamId, VersionId},
    route::{PoolId, PrefixBlock},
};

/// A request as queue and choice see it.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// Targets that can run it.
    pub pool: PoolId,
    /// Team that is charged; empty on routes open to all.
    pub team: TeamId,
    /// Weight of the team.
    pub weight: u32,
    /// Priority within the team and at the engine.
    pub priority: u8,
    /// Tokens that it may use.
    pub cost: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prefixes of the prompt.
    pub prefix: Vec<PrefixBlock>,
    /// Version that targets should hold; another one serves while none does.
    pub version: Option<VersionId>,
    /// Targets that must not be chosen.
    pub tried: TriedTargets,
}
