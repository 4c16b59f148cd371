use std::collections::{HashMap, HashSet};

use crate::{
    border::FleetConfig,
    fleet::{ConfigIssue, NamedConfig},
};

/// Maximum length of an id, in characters.
const MAX_ID_CHARS: usize = 64;

/// Checks that ids are well-formed and unique.
pub(super) fn check(config: &FleetConfig, issues: &mut Vec<ConfigIssue>) {
    check_list("teams", &config.teams, issues);
    check_list("keys", &config.keys, issues);
    check_list("routes", &config.routes, issues);
    check_list("models", &config.models, issues);
    check_list("adapters", &config.adapters, issues);
    check_list("targets", &config.targets, issues);
    let models: HashSet<_> = config.models.iter().map(NamedConfig::id).collect();
    for (index, adapter) in config.adapters.iter().enumerate() {
        // Requests name models and adapters in the same field.
        if models.contains(&adapter.id) {
            let message = format!("'{}' is also the id of a model", adapter.id);
            issues.push(ConfigIssue::new(format!("adapters[{index}].id"), message));
        }
        check_id(
            &format!("adapters[{index}].version"),
            &adapter.version,
            issues,
        );
    }
    for (index, model) in config.models.iter().enumerate() {
        check_id(&format!("models[{index}].version"), &model.version, issues);
    }
    for (index, target) in config.targets.iter().enumerate() {
        check_id(&format!("targets[{index}].vm"), &target.vm, issues);
        let path = format!("targets[{index}].data_centre");
        check_id(&path, &target.data_centre, issues);
        if let Some(service) = &target.service {
            check_id(&format!("targets[{index}].service"), service, issues);
        }
    }
}

fn check_list<T: NamedConfig>(list: &str, items: &[T], issues: &mut Vec<ConfigIssue>) {
    let mut indices = HashMap::new();
    for (index, id) in items.iter().map(NamedConfig::id).enumerate() {
        let path = format!("{list}[{index}].id");
        check_id(&path, id, issues);
        if let Some(earlier) = indices.get(id) {
            let message = format!("'{id}' is already the id of {list}[{earlier}]");
            issues.push(ConfigIssue::new(path, message));
        } else {
            indices.insert(id, index);
        }
    }
}

fn check_id(path: &str, id: &str, issues: &mut Vec<ConfigIssue>) {
    if let Err(message) = check_identifier(id) {
        issues.push(ConfigIssue::new(path, message));
    }
}

/// Checks the length and the characters of an id.
///
/// # Errors
/// The reason why the id is invalid.
pub fn check_identifier(id: &str) -> Result<(), String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._:/-".contains(c);
    match id {
        "" => Err("must not be empty".to_owned()),
        id if id.chars().count() > MAX_ID_CHARS => {
            Err(format!("must have at most {MAX_ID_CHARS} characters"))
        }
        id => id.chars().find(|c| !is_allowed(*c)).map_or(Ok(()), |c| {
            Err(format!(
                "has the character {c:?}; letters, digits, '.', '_', ':', '/' and '-' are allowed"
            ))
        }),
    }
}
