use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, ModelId, ServiceId, SoftwareVersion, TargetId};

/// A model that an engine has in memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelId,
    /// Adapters of the model that the engine has in memory.
    pub adapters: Vec<ModelId>,
}

/// One target of the platform's target list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Id of this incarnation of the target.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Data centre that the target runs in.
    pub data_centre: DataCentreId,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is draining and accepts no new requests.
    #[serde(rename = "is_leaving")]
    pub is_draining: bool,
    /// Start time of the target, in milliseconds since the Unix epoch; 0 when it is not listed.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Version of the target's software; empty when it is not listed.
    #[serde(default)]
    pub software: SoftwareVersion,
    /// Whether the target has not warmed up yet. The time left is not kept, since it would change the entry with
    /// each read of the list.
    #[serde(default)]
    pub is_cold: bool,
    /// Models that the target has in memory.
    pub models: Vec<LoadedModel>,
}
