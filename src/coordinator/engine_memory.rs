use std::{collections::HashMap, time::Duration};

use crate::plan::{EnginePlan, ModelPlan};

/// Memory of an engine by what may occupy it, with the models of the plan indexed by name.
#[derive(Debug)]
pub(super) struct EngineMemory<'p> {
    /// Memory for weights and adapters.
    pub capacity_mb: f64,
    /// Memory that adapters occupy when all slots are in use.
    pub adapters_mb: f64,
    models: HashMap<&'p str, &'p ModelPlan>,
}

impl<'p> EngineMemory<'p> {
    pub fn new(plan: &'p EnginePlan) -> Self {
        let adapters = plan.models.iter().map(|model| model.adapter_mb);
        let models = plan.models.iter().map(|model| (model.id.as_str(), model));
        Self {
            capacity_mb: plan.weights_mb,
            adapters_mb: adapters.fold(0.0, f64::max) * f64::from(plan.adapter_slots),
            models: models.collect(),
        }
    }

    /// Returns the memory of a model's weights; 0 for a model that is not configured.
    pub fn weights_mb(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, |plan| plan.weights_mb)
    }

    /// Returns the time to load a model from the weight store; 0 for one that is not configured.
    pub fn load_time(&self, model: &str) -> Duration {
        let plan = self.models.get(model);
        plan.map_or(Duration::ZERO, |plan| plan.load_time)
    }
}
