use std::time::Duration;

use smallvec::SmallVec;

use super::{LoadEstimate, PoolId, health::TargetHealth};
use crate::{
    ids::{DataCentreId, TargetId, VersionId},
    pace::TargetPace,
};

/// Whether a target accepts new requests, apart from its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// The target accepts new requests.
    #[default]
    Up,
    /// The target finishes its running requests and accepts no new ones.
    Draining,
    /// The target cannot be reached.
    Down,
}

/// Whether a target has warmed up since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Warmth {
    /// The target handles as many requests as its slots allow.
    #[default]
    Warm,
    /// The target can handle only a few requests.
    Cold,
}

/// Description of a target from the configuration and the residency table.
#[derive(Clone, Debug)]
pub struct ReplicaSpec {
    /// Identifier of the target.
    pub target: TargetId,
    /// Data centre of the target.
    pub data_centre: DataCentreId,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Pools of the target, with the version that it holds in each; services have no versions.
    pub pools: Vec<(PoolId, Option<VersionId>)>,
}

/// State of one target, as known to this entry.
#[derive(Debug)]
pub(super) struct Replica {
    pub target: TargetId,
    pub data_centre: DataCentreId,
    pub slots: f32,
    pub distance_ms: f32,
    pub availability: Availability,
    pub warmth: Warmth,
    /// Latest use of a prefix that is known to be evicted from the cache. Prefixes last used before
    /// this time have been evicted too.
    pub cache_horizon: Option<Duration>,
    pub load: LoadEstimate,
    pub health: TargetHealth,
    /// Pace of the target; `None` until it states one.
    pub pace: Option<TargetPace>,
    pub pools: SmallVec<[(PoolId, Option<VersionId>); 2]>,
    /// Distinguishes this target from earlier ones at the same index of the table.
    pub generation: u32,
}

impl Replica {
    /// Returns the factor on the expected time to the first byte. A stated pace may be below 1, unlike the
    /// slowdown, which only tells slow targets from the rest of the pool.
    pub fn time_factor(&self, now: Duration) -> f32 {
        let pace = self.pace.as_ref();
        pace.map_or(self.health.slowdown, |pace| pace.factor(now))
    }
}
