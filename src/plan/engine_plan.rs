use std::time::Duration;

use crate::ids::ModelId;

/// Configuration of the model engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePlan {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of one engine for tokens of running requests and cached prompts.
    pub kv_cache_tokens: u64,
    /// Memory of one engine for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Maximum number of adapters that one engine has loaded at a time.
    pub adapter_slots: u32,
    /// Maximum rate of loads from the weight store, over all engines.
    pub loads_per_second: f64,
    /// Models that the engines serve.
    pub models: Vec<ModelPlan>,
}

impl EnginePlan {
    /// Returns the model with a name.
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
    /// Memory that the model's weights occupy, in MB.
    pub weights_mb: f64,
    /// Memory that one adapter of the model occupies, in MB.
    pub adapter_mb: f64,
    /// Names of the model's adapters, as requests name them.
    pub adapters: Vec<ModelId>,
    /// Time to load the model from the weight store.
    pub load_time: Duration,
}
