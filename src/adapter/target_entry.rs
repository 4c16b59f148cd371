use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, ModelId, ServiceId, TargetId};

/// A model that an engine holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelId,
    /// Its adapters that the engine holds.
    pub adapters: Vec<ModelId>,
}

/// One target on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Name of this life of the target.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    #[serde(rename = "is_leaving")]
    pub is_draining: bool,
    /// When it started, in milliseconds since the Unix epoch; 0 when it does not say.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Models that it holds.
    pub models: Vec<LoadedModel>,
}
