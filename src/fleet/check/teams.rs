use std::collections::{HashMap, HashSet};

use super::check_range;
use crate::{
    border::{FleetConfig, RouteAccess, RouteKind, TeamConfig},
    fleet::{ConfigIssue, KeyHash, NamedConfig},
};

/// Maximum rate and burst, in tokens; 1000 times the design scale.
const MAX_TOKENS: u64 = 10_000_000_000;

/// Validates teams and their keys.
pub(super) fn check(config: &FleetConfig, issues: &mut Vec<ConfigIssue>) {
    for (index, team) in config.teams.iter().enumerate() {
        let path = |field: &str| format!("teams[{index}].{field}");
        let rate = team.rate_tokens_per_second;
        check_range(
            &path("rate_tokens_per_second"),
            rate,
            0..=MAX_TOKENS,
            issues,
        );
        check_range(
            &path("burst_tokens"),
            team.burst_tokens,
            1..=MAX_TOKENS,
            issues,
        );
        check_range(&path("weight"), team.weight.into(), 1..=1_000, issues);
        check_burst(config, team, &path("burst_tokens"), issues);
    }
    check_keys(config, issues);
}

/// Checks the burst against the cost of a single request, since a request that costs more than the
/// burst can never be admitted.
fn check_burst(config: &FleetConfig, team: &TeamConfig, path: &str, issues: &mut Vec<ConfigIssue>) {
    let keyed_routes = || {
        let routes = config.routes.iter();
        routes.filter(|route| route.access == RouteAccess::Keyed)
    };
    if keyed_routes().any(|route| route.kind == RouteKind::Model) {
        let largest = config
            .models
            .iter()
            .max_by_key(|model| model.max_tokens_default);
        if let Some(model) = largest.filter(|model| model.max_tokens_default > team.burst_tokens) {
            let message = format!(
                "must be at least {}, which one request for model '{}' takes by default",
                model.max_tokens_default, model.id
            );
            issues.push(ConfigIssue::new(path, message));
        }
    }
    let services = keyed_routes().filter(|route| route.kind == RouteKind::Service);
    let largest = services.max_by_key(|route| route.request_tokens);
    if let Some(route) = largest.filter(|route| route.request_tokens > team.burst_tokens) {
        let message = format!(
            "must be at least {}, which one request to route '{}' takes",
            route.request_tokens, route.id
        );
        issues.push(ConfigIssue::new(path, message));
    }
}

fn check_keys(config: &FleetConfig, issues: &mut Vec<ConfigIssue>) {
    let teams: HashSet<_> = config.teams.iter().map(NamedConfig::id).collect();
    let mut hashes = HashMap::new();
    for (index, key) in config.keys.iter().enumerate() {
        let path = |field: &str| format!("keys[{index}].{field}");
        if !teams.contains(&key.team) {
            let message = format!("there is no team '{}'", key.team);
            issues.push(ConfigIssue::new(path("team"), message));
        }
        check_range(&path("priority"), key.priority.into(), 0..=9, issues);
        let Some(hash) = KeyHash::from_hex(&key.hash) else {
            let message = "must be 64 hexadecimal digits";
            issues.push(ConfigIssue::new(path("hash"), message));
            continue;
        };
        if let Some(earlier) = hashes.insert(hash, index) {
            let message = format!("is already the hash of keys[{earlier}]");
            issues.push(ConfigIssue::new(path("hash"), message));
        }
    }
}
