use std::collections::{HashMap, HashSet};

use super::check_range;
use crate::{
    border::{FleetConfig, RouteAccess, RouteConfig, RouteIdempotency, RouteKind, TargetKind},
    fleet::ConfigIssue,
};

/// Paths that entry daemons serve themselves.
const RESERVED_PATHS: [&str; 3] = ["/healthz", "/readyz", "/metrics"];
/// Headers that cannot carry a key because the proxy interprets or removes them.
const RESERVED_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "content-type",
    "host",
    "idempotency-key",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];
const MAX_PREFIX_BYTES: usize = 256;
const MAX_KEY_NAME_BYTES: usize = 64;
const MAX_TIMEOUT_MS: u64 = 3_600_000;
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
const MAX_REQUEST_TOKENS: u64 = 1_000_000_000;

/// Validates routes.
pub(super) fn check(config: &FleetConfig, issues: &mut Vec<ConfigIssue>) {
    let services: HashSet<_> = config
        .targets
        .iter()
        .filter(|target| target.kind == TargetKind::Service)
        .filter_map(|target| target.service.as_ref())
        .collect();
    let mut prefixes = HashMap::new();
    for (index, route) in config.routes.iter().enumerate() {
        let path = |field: &str| format!("routes[{index}].{field}");
        let mut add_issue = |field: &str, message: String| {
            issues.push(ConfigIssue::new(path(field), message));
        };
        if let Err(message) = check_prefix(&route.path_prefix) {
            add_issue("path_prefix", message);
        }
        let normalized = route.path_prefix.trim_end_matches('/');
        if let Some(earlier) = prefixes.insert(normalized, index) {
            add_issue(
                "path_prefix",
                format!("is also the prefix of routes[{earlier}]"),
            );
        }
        match (route.kind, &route.service) {
            (RouteKind::Model, Some(_)) => {
                add_issue("service", "must be absent for kind 'model'".to_owned());
            }
            (RouteKind::Service, None) => {
                add_issue("service", "is missing for kind 'service'".to_owned());
            }
            (RouteKind::Service, Some(service)) if !services.contains(service) => {
                add_issue(
                    "service",
                    format!("no target belongs to service '{service}'"),
                );
            }
            _ => {}
        }
        if route.access == RouteAccess::Open && route.idempotency == RouteIdempotency::Claimed {
            let message = "claims belong to a team, so the route must not be open";
            add_issue("idempotency", message.to_owned());
        }
        for (field, message) in check_key_names(route) {
            add_issue(field, message);
        }
        check_range(
            &path("timeout_ms"),
            route.timeout_ms,
            1..=MAX_TIMEOUT_MS,
            issues,
        );
        let body = route.max_body_bytes;
        check_range(&path("max_body_bytes"), body, 0..=MAX_BODY_BYTES, issues);
        let tokens = route.request_tokens;
        check_range(
            &path("request_tokens"),
            tokens,
            0..=MAX_REQUEST_TOKENS,
            issues,
        );
    }
}

fn check_prefix(prefix: &str) -> Result<(), String> {
    let inner = prefix.strip_suffix('/').unwrap_or(prefix);
    let mut segments = inner.split('/').skip(1);
    let is_reserved = |reserved: &&str| {
        let rest = prefix.strip_prefix(*reserved);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    match prefix {
        prefix if !prefix.starts_with('/') => Err("must start with '/'".to_owned()),
        prefix if prefix.len() > MAX_PREFIX_BYTES => {
            Err(format!("must have at most {MAX_PREFIX_BYTES} bytes"))
        }
        prefix if prefix.bytes().any(|byte| !is_path_byte(byte)) => {
            Err("must have only letters, digits and the characters /-._~ of a path".to_owned())
        }
        _ if segments.any(|segment| matches!(segment, "" | "." | "..")) => {
            Err("must not have an empty, '.' or '..' segment".to_owned())
        }
        _ => RESERVED_PATHS
            .iter()
            .find(|path| is_reserved(path))
            .map_or(Ok(()), |path| {
                Err(format!("'{path}' is answered by the entry daemon itself"))
            }),
    }
}

fn is_path_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"/-._~".contains(&byte)
}

fn check_key_names(route: &RouteConfig) -> Vec<(&'static str, String)> {
    let mut issues = Vec::new();
    let names = [
        ("key_header", &route.key_header),
        ("key_query", &route.key_query),
        ("key_cookie", &route.key_cookie),
    ];
    for (field, name) in names {
        let Some(name) = name else { continue };
        let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if name.is_empty() || name.len() > MAX_KEY_NAME_BYTES || !name.bytes().all(is_token) {
            let message =
                format!("must have 1 to {MAX_KEY_NAME_BYTES} letters, digits, '-', '_' and '.'");
            issues.push((field, message));
        }
        if field == "key_header" && RESERVED_HEADERS.contains(&name.to_ascii_lowercase().as_str()) {
            issues.push((field, format!("'{name}' cannot carry a key")));
        }
    }
    issues
}
