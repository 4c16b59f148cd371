//! Validation rules beyond the schema. Each rule reports all issues that it finds.

mod capacity;
mod identifiers;
mod models;
mod packing;
mod routes;
mod targets;
mod teams;

pub use identifiers::check_identifier;
use serde::Serialize;
use serde_json::Value;

use super::{ConfigIssue, schema};
use crate::border::FleetConfig;

/// Maximum size of a configuration, in bytes of compact JSON with all defaults written out. Its
/// size in the log and in messages between voters is similar; a message is limited to 16 MiB.
pub const MAX_CONFIG_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of reported issues; an unrelated document would produce thousands.
const MAX_ISSUES: usize = 1_000;

/// Parses a configuration from JSON text and validates it.
///
/// # Errors
/// All issues, each with the path of the invalid value.
pub fn parse_config(text: &[u8]) -> Result<FleetConfig, Vec<ConfigIssue>> {
    let document: Value = serde_json::from_slice(text)
        .map_err(|error| vec![ConfigIssue::new(".", format!("is not JSON: {error}"))])?;
    check_document(&document)
}

/// Parses a configuration from a JSON document and validates it.
///
/// # Errors
/// All issues, each with the path of the invalid value.
pub fn check_document(document: &Value) -> Result<FleetConfig, Vec<ConfigIssue>> {
    // Rejects an oversized document before the more expensive checks.
    check_size(document)?;
    let issues = schema::check_schema(document);
    if !issues.is_empty() {
        return Err(truncate_issues(issues));
    }
    let config: FleetConfig = serde_path_to_error::deserialize(document).map_err(|error| {
        let path = error.path().to_string();
        vec![ConfigIssue::new(path, error.into_inner().to_string())]
    })?;
    match check_config(&config) {
        issues if issues.is_empty() => Ok(config),
        issues => Err(issues),
    }
}

fn check_size(document: &impl Serialize) -> Result<(), Vec<ConfigIssue>> {
    let size = serde_json::to_vec(document).map_or(usize::MAX, |bytes| bytes.len());
    if size <= MAX_CONFIG_BYTES {
        return Ok(());
    }
    let message =
        format!("has {size} bytes with its defaults, of which {MAX_CONFIG_BYTES} are allowed");
    Err(vec![ConfigIssue::new(".", message)])
}

/// Validates a parsed configuration and returns all issues.
#[must_use]
pub fn check_config(config: &FleetConfig) -> Vec<ConfigIssue> {
    if let Err(issues) = check_size(config) {
        return issues;
    }
    let mut issues = Vec::new();
    identifiers::check(config, &mut issues);
    teams::check(config, &mut issues);
    routes::check(config, &mut issues);
    models::check(config, &mut issues);
    targets::check(config, &mut issues);
    // The capacity check requires valid ids and sizes.
    if issues.is_empty() {
        capacity::check(config, &mut issues);
    }
    truncate_issues(issues)
}

/// Returns an issue for each model and adapter that does not fit on the targets in service.
#[must_use]
pub fn check_capacity(config: &FleetConfig) -> Vec<ConfigIssue> {
    let mut issues = Vec::new();
    capacity::check(config, &mut issues);
    truncate_issues(issues)
}

fn truncate_issues(mut issues: Vec<ConfigIssue>) -> Vec<ConfigIssue> {
    let count = issues.len();
    if count > MAX_ISSUES {
        issues.truncate(MAX_ISSUES);
        issues.push(ConfigIssue::new(
            ".",
            format!("has {} further issues", count - MAX_ISSUES),
        ));
    }
    issues
}

/// Adds an issue when `value` is outside `range`.
fn check_range(
    path: &str,
    value: u64,
    range: std::ops::RangeInclusive<u64>,
    issues: &mut Vec<ConfigIssue>,
) {
    if !range.contains(&value) {
        let message = format!("must be from {} to {}", range.start(), range.end());
        issues.push(ConfigIssue::new(path, message));
    }
}
