use serde::{Deserialize, Serialize};

use super::LoadedModel;
use crate::ids::ModelId;

/// Status that an engine reports about itself. It is up to some 100 ms old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Models in memory with their adapters.
    pub models: Vec<LoadedModel>,
    /// Adapters that are being loaded; they already occupy adapter slots.
    pub pending_adapters: Vec<ModelId>,
    /// Models whose weights are on the engine's own disk or in its host's memory, so that they load
    /// fast and without the weight store.
    pub cached_models: Vec<ModelId>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Number of orders accepted since the engine started.
    pub orders: u64,
    /// Start time of the engine, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}
