use std::{cmp::Reverse, collections::HashMap};

use super::packing::{EnginePacking, FitPolicy};
use crate::{
    border::{AdapterConfig, FleetConfig, ModelConfig, ResidencyPolicy},
    fleet::ConfigIssue,
};

/// When the pinned adapters are placed, relative to the copies of the models.
#[derive(Clone, Copy)]
enum AdapterPlacement {
    /// Together with the first copy of their model.
    WithModel,
    /// After the copies of all pinned models.
    AfterModels,
}

/// Checks that the engines in service can hold each model on its own, and all pinned models and
/// adapters at once with room for any single on-demand model or adapter.
///
/// The packing is heuristic: several fit policies are tried, and the issues of the best attempt are
/// reported. A configuration that only an exhaustive search could place is rejected, since the
/// planner would not place it either.
pub(super) fn check(config: &FleetConfig, issues: &mut Vec<ConfigIssue>) {
    let individual = check_individually(config);
    if !individual.is_empty() {
        issues.extend(individual);
        return;
    }
    let mut best: Option<Vec<ConfigIssue>> = None;
    for placement in [AdapterPlacement::WithModel, AdapterPlacement::AfterModels] {
        for policy in [FitPolicy::Best, FitPolicy::First, FitPolicy::Worst] {
            let found = check_combined(config, placement, policy);
            if found.is_empty() {
                return;
            }
            if best.as_ref().is_none_or(|best| found.len() < best.len()) {
                best = Some(found);
            }
        }
    }
    issues.extend(best.unwrap_or_default());
}

/// Returns issues for models and adapters that do not fit on enough empty engines.
fn check_individually(config: &FleetConfig) -> Vec<ConfigIssue> {
    let mut issues = Vec::new();
    let empty = EnginePacking::new(config);
    let mut models: HashMap<&str, (&ModelConfig, usize)> = HashMap::new();
    for (index, model) in config.models.iter().enumerate() {
        let engine_count = empty.count_engines_with_room(model, 0);
        models.insert(&model.id, (model, engine_count));
        let is_pinned = model.residency == ResidencyPolicy::Pinned;
        let required = if is_pinned {
            model.min_copies as usize
        } else {
            1
        };
        if engine_count == 0 {
            let message = format!(
                "no engine in service has {} accelerators in a row with {} MiB",
                model.span, model.memory_mib
            );
            issues.push(ConfigIssue::new(
                format!("models[{index}].memory_mib"),
                message,
            ));
        } else if engine_count < required {
            let message = format!("only {engine_count} engines in service can hold a copy");
            issues.push(ConfigIssue::new(
                format!("models[{index}].min_copies"),
                message,
            ));
        }
    }
    for (index, adapter) in config.adapters.iter().enumerate() {
        let Some((model, 1..)) = models.get(adapter.model.as_str()) else {
            continue;
        };
        if empty.count_engines_with_room(model, adapter.memory_mib) == 0 {
            let message = format!("no engine in service has room for it beside '{}'", model.id);
            issues.push(ConfigIssue::new(
                format!("adapters[{index}].memory_mib"),
                message,
            ));
        }
    }
    issues
}

/// Places all pinned models and adapters, then checks that each on-demand one fits beside them.
fn check_combined(
    config: &FleetConfig,
    placement: AdapterPlacement,
    policy: FitPolicy,
) -> Vec<ConfigIssue> {
    let mut issues = Vec::new();
    let mut packing = EnginePacking::new(config);
    let is_pinned = |policy: ResidencyPolicy| policy == ResidencyPolicy::Pinned;
    let mut adapter_mib: HashMap<&str, u64> = HashMap::new();
    let pinned_adapters: Vec<(usize, &AdapterConfig)> = config
        .adapters
        .iter()
        .enumerate()
        .filter(|(_, adapter)| is_pinned(adapter.residency))
        .collect();
    for (_, adapter) in &pinned_adapters {
        *adapter_mib.entry(&adapter.model).or_default() += adapter.memory_mib;
    }
    let mut residents: Vec<(usize, &ModelConfig)> = config
        .models
        .iter()
        .enumerate()
        // A pinned adapter requires a resident copy of its model.
        .filter(|(_, model)| {
            is_pinned(model.residency) || adapter_mib.contains_key(model.id.as_str())
        })
        .collect();
    residents.sort_by_key(|(_, model)| Reverse(u64::from(model.span) * model.memory_mib));
    for (index, model) in residents {
        let adapters = adapter_mib.get(model.id.as_str()).copied().unwrap_or(0);
        let copies = if is_pinned(model.residency) {
            model.min_copies
        } else {
            1
        };
        for copy in 0..copies {
            let reserved_mib = match placement {
                AdapterPlacement::WithModel if copy == 0 => adapters,
                _ => 0,
            };
            if !packing.place(model, reserved_mib, policy) {
                let message = format!(
                    "copy {} of {copies} does not fit beside the other pinned residents",
                    copy + 1
                );
                issues.push(ConfigIssue::new(
                    format!("models[{index}].residency"),
                    message,
                ));
                break;
            }
            // Places the adapters immediately, before other copies use the reserved memory.
            if copy == 0 && reserved_mib > 0 && !packing.place_adapter(&model.id, reserved_mib) {
                let message = "its pinned adapters do not fit beside it";
                issues.push(ConfigIssue::new(
                    format!("models[{index}].residency"),
                    message,
                ));
            }
        }
    }
    if matches!(placement, AdapterPlacement::AfterModels) {
        let mut adapters = pinned_adapters;
        adapters.sort_by_key(|(_, adapter)| Reverse(adapter.memory_mib));
        for (index, adapter) in adapters {
            if !packing.place_adapter(&adapter.model, adapter.memory_mib) {
                let message = "does not fit beside the other pinned residents";
                issues.push(ConfigIssue::new(
                    format!("adapters[{index}].residency"),
                    message,
                ));
            }
        }
    }
    check_on_demand(config, &packing, &mut issues);
    issues
}

/// Checks that each on-demand model and adapter fits beside the pinned ones.
fn check_on_demand(config: &FleetConfig, packing: &EnginePacking, issues: &mut Vec<ConfigIssue>) {
    let mut models: HashMap<&str, &ModelConfig> = HashMap::new();
    for (index, model) in config.models.iter().enumerate() {
        models.insert(&model.id, model);
        let is_on_demand = model.residency == ResidencyPolicy::OnDemand;
        if is_on_demand
            && !packing.has_copy(&model.id)
            && packing.count_engines_with_room(model, 0) == 0
        {
            let message = "does not fit beside the pinned residents";
            issues.push(ConfigIssue::new(
                format!("models[{index}].memory_mib"),
                message,
            ));
        }
    }
    for (index, adapter) in config.adapters.iter().enumerate() {
        if adapter.residency == ResidencyPolicy::Pinned {
            continue;
        }
        let fits = models.get(adapter.model.as_str()).is_some_and(|model| {
            packing.has_adapter_room(&model.id, adapter.memory_mib)
                || packing.count_engines_with_room(model, adapter.memory_mib) > 0
        });
        if !fits {
            let message = "does not fit beside the pinned residents";
            issues.push(ConfigIssue::new(
                format!("adapters[{index}].memory_mib"),
                message,
            ));
        }
    }
}
