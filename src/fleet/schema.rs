use std::sync::LazyLock;

use serde_json::Value;

use super::ConfigIssue;

/// JSON schema from which the types in [`crate::border`] are generated.
const SCHEMA_TEXT: &str = include_str!("../../schema/fleet.schema.json");

static SCHEMA: LazyLock<Value> =
    LazyLock::new(|| serde_json::from_str(SCHEMA_TEXT).expect("the committed schema is JSON"));

/// Validates a document against the schema and returns every violation. Deserialization into the
/// generated types would stop at the first one.
pub(super) fn check_schema(document: &Value) -> Vec<ConfigIssue> {
    let mut issues = Vec::new();
    check(document, &SCHEMA, "", &mut issues);
    issues
}

fn check(value: &Value, schema: &Value, path: &str, issues: &mut Vec<ConfigIssue>) {
    if let Some(name) = schema["$ref"].as_str() {
        let name = name.trim_start_matches("#/definitions/");
        return check(value, &SCHEMA["definitions"][name], path, issues);
    }
    let display_path = if path.is_empty() { "." } else { path };
    let kind = schema["type"].as_str().unwrap_or_default();
    if !has_type(value, kind) {
        let found = found_type(value);
        issues.push(ConfigIssue::new(
            display_path,
            format!("must be {}, not {found}", expected_type(kind)),
        ));
        return;
    }
    match value {
        Value::Object(_) => check_object(value, schema, path, issues),
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                check(item, &schema["items"], &format!("{path}[{index}]"), issues);
            }
        }
        Value::String(text) => {
            if let Some(names) = schema["enum"].as_array()
                && !names.iter().any(|name| name == text)
            {
                let names: Vec<_> = names.iter().filter_map(Value::as_str).collect();
                let message = format!("must be one of {}", names.join(", "));
                issues.push(ConfigIssue::new(display_path, message));
            }
        }
        Value::Number(number) => {
            let max = match schema["format"].as_str() {
                Some("uint8") => u64::from(u8::MAX),
                Some("uint32") => u64::from(u32::MAX),
                _ => return,
            };
            if number.as_u64().is_some_and(|number| number > max) {
                issues.push(ConfigIssue::new(
                    display_path,
                    format!("must be at most {max}"),
                ));
            }
        }
        Value::Null | Value::Bool(_) => {}
    }
}

fn check_object(value: &Value, schema: &Value, path: &str, issues: &mut Vec<ConfigIssue>) {
    let child_path = |name: &str| match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    };
    for name in schema["required"].as_array().into_iter().flatten() {
        let name = name.as_str().unwrap_or_default();
        if value.get(name).is_none() {
            issues.push(ConfigIssue::new(child_path(name), "is missing"));
        }
    }
    for (name, field) in value.as_object().into_iter().flatten() {
        match schema["properties"].get(name) {
            Some(property) => check(field, property, &child_path(name), issues),
            None => issues.push(ConfigIssue::new(child_path(name), "is not a known field")),
        }
    }
}

fn has_type(value: &Value, kind: &str) -> bool {
    match kind {
        "object" => value.is_object(),
        "array" => value.is_array(),
        "string" => value.is_string(),
        "boolean" => value.is_boolean(),
        "integer" => value.is_u64(),
        "number" => value.is_number(),
        _ => true,
    }
}

fn expected_type(kind: &str) -> &str {
    match kind {
        "object" => "an object",
        "array" => "an array",
        "string" => "a string",
        "boolean" => "true or false",
        "integer" => "a whole number from 0",
        _ => "a number",
    }
}

fn found_type(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "another number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}
