use compact_str::CompactString;

use super::{EnginePlan, WarmupPlan};
use crate::ids::ServiceId;

/// One service and the parameters of connections to its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// Name of the service.
    pub id: ServiceId,
    /// Path of the health check.
    pub health_path: CompactString,
    /// Maximum number of connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Configuration of the service's model engines; `None` for a service without engines.
    pub engine: Option<EnginePlan>,
    /// What cold targets of the service can handle; `None` if they have no limit.
    pub warmup: Option<WarmupPlan>,
}
