use crate::ids::{ModelId, ServiceId};

/// Identifies a set of targets that can take the same requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PoolId {
    /// Engines that hold a model or an adapter.
    Model(ModelId),
    /// Targets of a plain service.
    Service(ServiceId),
}
