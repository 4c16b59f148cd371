use super::candidates::TriedTargets;
use crate::{
    ids::{TeamId, VersionId},
    route::{PoolId, PrefixBlock},
};

/// The properties of a request that queueing and target selection use.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// Pool of targets that can run the request.
    pub pool: PoolId,
    /// Team that is charged; empty on open routes.
    pub team: TeamId,
    /// Weight of the team.
    pub weight: u32,
    /// Priority within the team's queue and at the engine.
    pub priority: u8,
    /// Maximum number of tokens that the request may use.
    pub cost: u64,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hashed prefixes of the prompt.
    pub prefix: Vec<PrefixBlock>,
    /// Preferred version; any version is used while no target serves it.
    pub version: Option<VersionId>,
    /// Targets that must not be selected again.
    pub tried: TriedTargets,
}
