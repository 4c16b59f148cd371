use std::collections::HashMap;

use super::check_range;
use crate::{
    border::{FleetConfig, ModelConfig},
    fleet::ConfigIssue,
};

/// Maximum memory of one accelerator, in MiB.
pub(super) const MAX_MEMORY_MIB: u64 = 16 * 1024 * 1024;
/// Maximum number of accelerators of one target.
pub(super) const MAX_ACCELERATORS: u64 = 1_024;
const MAX_COPIES: u64 = 10_000;
const MAX_GENERATED_TOKENS: u64 = 10_000_000;

/// Validates models, adapters and the weight store.
pub(super) fn check(config: &FleetConfig, issues: &mut Vec<ConfigIssue>) {
    for (index, model) in config.models.iter().enumerate() {
        let path = |field: &str| format!("models[{index}].{field}");
        check_range(
            &path("memory_mib"),
            model.memory_mib,
            1..=MAX_MEMORY_MIB,
            issues,
        );
        check_range(
            &path("span"),
            model.span.into(),
            1..=MAX_ACCELERATORS,
            issues,
        );
        check_range(
            &path("min_copies"),
            model.min_copies.into(),
            1..=MAX_COPIES,
            issues,
        );
        let tokens = model.max_tokens_default;
        check_range(
            &path("max_tokens_default"),
            tokens,
            1..=MAX_GENERATED_TOKENS,
            issues,
        );
    }
    let models: HashMap<_, &ModelConfig> = config
        .models
        .iter()
        .map(|model| (&model.id, model))
        .collect();
    for (index, adapter) in config.adapters.iter().enumerate() {
        let path = |field: &str| format!("adapters[{index}].{field}");
        check_range(
            &path("memory_mib"),
            adapter.memory_mib,
            1..=MAX_MEMORY_MIB,
            issues,
        );
        if !models.contains_key(&adapter.model) {
            let message = format!("there is no model '{}'", adapter.model);
            issues.push(ConfigIssue::new(path("model"), message));
        }
    }
    let store = &config.weight_store;
    if !(store.loads_per_second > 0.0 && store.loads_per_second <= 100_000.0) {
        let message = "must be greater than 0 and at most 100000";
        issues.push(ConfigIssue::new("weight_store.loads_per_second", message));
    }
    for (field, value) in [
        ("concurrent_loads", store.concurrent_loads),
        ("concurrent_adapter_loads", store.concurrent_adapter_loads),
    ] {
        check_range(
            &format!("weight_store.{field}"),
            value.into(),
            1..=100_000,
            issues,
        );
    }
}
