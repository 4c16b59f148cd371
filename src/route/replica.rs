use std::time::Duration;

use smallvec::SmallVec;

use super::{LoadEstimate, PoolId, health::TargetHealth};
use crate::ids::{DataCentreId, TargetId, VersionId};

/// Whether a target takes new requests, apart from its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It does.
    #[default]
    Up,
    /// It is leaving and finishes what it runs.
    Draining,
    /// It cannot be reached.
    Down,
}

/// A target as the configuration and the residency table describe it.
#[derive(Clone, Debug)]
pub struct ReplicaSpec {
    /// Target.
    pub target: TargetId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Pools that it belongs to, with the version that it holds in each; services have none.
    pub pools: Vec<(PoolId, Option<VersionId>)>,
}

/// One target with what this entry knows of it.
#[derive(Debug)]
pub(super) struct Replica {
    pub target: TargetId,
    pub slots: f32,
    pub distance_ms: f32,
    pub availability: Availability,
    /// The cache dropped a prefix last used at this moment, so it has dropped older ones too.
    pub cache_horizon: Option<Duration>,
    pub load: LoadEstimate,
    pub health: TargetHealth,
    pub pools: SmallVec<[(PoolId, Option<VersionId>); 2]>,
    /// Distinguishes this target from earlier ones in the same place of the table.
    pub generation: u32,
}
