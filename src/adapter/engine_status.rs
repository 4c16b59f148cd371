use super::LoadedModel;
use crate::ids::ModelId;

/// What an engine reports about itself, some 100 ms old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineStatus {
    /// Models in memory with their adapters.
    pub models: Vec<LoadedModel>,
    /// Adapters on their way into memory; they take places already.
    pub pending_adapters: Vec<ModelId>,
    /// Models whose weights the engine keeps on its own disk or in its host's memory; they load fast
    /// and without the weight store.
    pub cached_models: Vec<ModelId>,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// Orders accepted since the engine started.
    pub orders: u64,
    /// When the engine started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}
