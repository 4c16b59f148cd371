use std::{cmp::Reverse, collections::HashMap};

use super::packing::{Packing, PackingOrder};
use crate::{
    border::{AdapterConfig, FleetConfig, ModelConfig, ResidencyPolicy},
    fleet::ConfigIssue,
};

/// Whether room for the adapters is kept while the copies are placed.
#[derive(Clone, Copy)]
enum AdapterRoom {
    Kept,
    Later,
}

/// Checks that the engines in service can hold each model alone, and all pinned residents at once
/// with room for each other model beside them.
///
/// Packing is not solved exactly: the issues are those of the best of several orders. A
/// configuration that only an exhaustive search could place is refused, since the planner would
/// not place it either.
pub(super) fn check(config: &FleetConfig, issues: &mut Vec<ConfigIssue>) {
    let alone = check_alone(config);
    if !alone.is_empty() {
        issues.extend(alone);
        return;
    }
    let mut best: Option<Vec<ConfigIssue>> = None;
    for room in [AdapterRoom::Kept, AdapterRoom::Later] {
        for order in [
            PackingOrder::Tightest,
            PackingOrder::First,
            PackingOrder::Loosest,
        ] {
            let found = check_together(config, room, order);
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

/// Models and adapters that no engine could hold even if it were empty.
fn check_alone(config: &FleetConfig) -> Vec<ConfigIssue> {
    let mut issues = Vec::new();
    let empty = Packing::new(config);
    let mut models: HashMap<&str, (&ModelConfig, usize)> = HashMap::new();
    for (index, model) in config.models.iter().enumerate() {
        let fitting = empty.count_room(model, 0);
        models.insert(&model.id, (model, fitting));
        let is_pinned = model.residency == ResidencyPolicy::Pinned;
        let wanted = if is_pinned {
            model.min_copies as usize
        } else {
            1
        };
        if fitting == 0 {
            let message = format!(
                "no engine in service has {} accelerators in a row with {} MiB",
                model.span, model.memory_mib
            );
            issues.push(ConfigIssue::new(
                format!("models[{index}].memory_mib"),
                message,
            ));
        } else if fitting < wanted {
            let message = format!("only {fitting} engines in service can hold a copy");
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
        if empty.count_room(model, adapter.memory_mib) == 0 {
            let message = format!("no engine in service has room for it beside '{}'", model.id);
            issues.push(ConfigIssue::new(
                format!("adapters[{index}].memory_mib"),
                message,
            ));
        }
    }
    issues
}

/// Places all pinned residents, and tries each other model and adapter beside them.
fn check_together(
    config: &FleetConfig,
    room: AdapterRoom,
    order: PackingOrder,
) -> Vec<ConfigIssue> {
    let mut issues = Vec::new();
    let mut packing = Packing::new(config);
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
        // A pinned adapter keeps a copy of its model resident.
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
            let extra = match room {
                AdapterRoom::Kept if copy == 0 => adapters,
                _ => 0,
            };
            if !packing.place(model, extra, order) {
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
            // Adapters go in at once, before other copies take the room that was kept for them.
            if copy == 0 && extra > 0 && !packing.place_beside(&model.id, extra) {
                let message = "its pinned adapters do not fit beside it";
                issues.push(ConfigIssue::new(
                    format!("models[{index}].residency"),
                    message,
                ));
            }
        }
    }
    if matches!(room, AdapterRoom::Later) {
        let mut adapters = pinned_adapters;
        adapters.sort_by_key(|(_, adapter)| Reverse(adapter.memory_mib));
        for (index, adapter) in adapters {
            if !packing.place_beside(&adapter.model, adapter.memory_mib) {
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

/// Each model that is loaded on demand needs room beside the pinned residents.
fn check_on_demand(config: &FleetConfig, packing: &Packing, issues: &mut Vec<ConfigIssue>) {
    let mut models: HashMap<&str, &ModelConfig> = HashMap::new();
    for (index, model) in config.models.iter().enumerate() {
        models.insert(&model.id, model);
        let is_on_demand = model.residency == ResidencyPolicy::OnDemand;
        if is_on_demand && !packing.holds(&model.id) && packing.count_room(model, 0) == 0 {
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
            packing.has_room_beside(&model.id, adapter.memory_mib)
                || packing.count_room(model, adapter.memory_mib) > 0
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
