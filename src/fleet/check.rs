//! Rules that go beyond the schema. Each returns every issue that it finds.

mod capacity;
mod models;
mod names;
mod packing;
mod routes;
mod targets;
mod teams;

pub use names::check_identifier;
use serde::Serialize;
use serde_json::Value;

use super::{ConfigIssue, shape};
use crate::border::FleetConfig;

/// Largest configuration, in bytes of compact JSON with all defaults written out. The log and the
/// messages between voters carry it in about that size; a message has room for 16 MiB.
pub const MAX_CONFIG_BYTES: usize = 4 * 1024 * 1024;
/// Most issues that are reported; a document of another kind would give thousands.
const MAX_ISSUES: usize = 1_000;

/// Parses a configuration from JSON text and checks it.
///
/// # Errors
/// Every issue, by the path of the offending value.
pub fn parse_config(text: &[u8]) -> Result<FleetConfig, Vec<ConfigIssue>> {
    let document: Value = serde_json::from_slice(text)
        .map_err(|error| vec![ConfigIssue::new(".", format!("is not JSON: {error}"))])?;
    check_document(&document)
}

/// Parses a configuration from a JSON document and checks it.
///
/// # Errors
/// Every issue, by the path of the offending value.
pub fn check_document(document: &Value) -> Result<FleetConfig, Vec<ConfigIssue>> {
    // What is too large already needs no further work.
    check_size(document)?;
    let issues = shape::check_shape(document);
    if !issues.is_empty() {
        return Err(bounded(issues));
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

fn check_size(part: &impl Serialize) -> Result<(), Vec<ConfigIssue>> {
    let size = serde_json::to_vec(part).map_or(usize::MAX, |bytes| bytes.len());
    if size <= MAX_CONFIG_BYTES {
        return Ok(());
    }
    let message =
        format!("has {size} bytes with its defaults, of which {MAX_CONFIG_BYTES} are allowed");
    Err(vec![ConfigIssue::new(".", message)])
}

/// Returns every issue of a parsed configuration.
#[must_use]
pub fn check_config(config: &FleetConfig) -> Vec<ConfigIssue> {
    if let Err(issues) = check_size(config) {
        return issues;
    }
    let mut issues = Vec::new();
    names::check(config, &mut issues);
    teams::check(config, &mut issues);
    routes::check(config, &mut issues);
    models::check(config, &mut issues);
    targets::check(config, &mut issues);
    // Packing works on ids and sizes that are valid.
    if issues.is_empty() {
        capacity::check(config, &mut issues);
    }
    bounded(issues)
}

/// Returns the models and adapters for which the targets in service have no room.
#[must_use]
pub fn check_capacity(config: &FleetConfig) -> Vec<ConfigIssue> {
    let mut issues = Vec::new();
    capacity::check(config, &mut issues);
    bounded(issues)
}

fn bounded(mut issues: Vec<ConfigIssue>) -> Vec<ConfigIssue> {
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

/// Adds an issue when a number lies outside its range.
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
