use compact_str::CompactString;

use super::EnginePlan;
use crate::ids::ServiceId;

/// One service and how its targets are reached.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// Name of the service.
    pub id: ServiceId,
    /// Path of the health check.
    pub health_path: CompactString,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// What its model engines hold; `None` for a plain service.
    pub engine: Option<EnginePlan>,
}
