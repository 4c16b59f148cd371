use std::time::Duration;

use crate::ids::ModelId;

/// Model engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePlan {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens of running requests and cached prompts that one engine keeps.
    pub kv_cache_tokens: u64,
    /// Memory of one engine for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Adapters that one engine holds at once.
    pub adapter_slots: u32,
    /// Loads a second that the weight store allows over all engines.
    pub loads_per_second: f64,
    /// Models that the engines are to serve.
    pub models: Vec<ModelPlan>,
}

impl EnginePlan {
    /// Returns a model by its name.
    #[must_use]
    pub fn model(&self, id: &str) -> Option<&ModelPlan> {
        self.models.iter().find(|model| model.id == id)
    }
}

/// One model and its adapters.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelPlan {
    /// Name of the model.
    pub id: ModelId,
    /// Memory that its weights take, in MB.
    pub weights_mb: f64,
    /// Memory that one of its adapters takes, in MB.
    pub adapter_mb: f64,
    /// Number of its adapters.
    pub adapters: u32,
    /// Time that a load from the weight store takes.
    pub load_time: Duration,
}
