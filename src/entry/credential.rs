//! Extracts the caller's key from a request and removes it wherever it may occur.

use hyper::{
    Uri,
    header::{AUTHORIZATION, COOKIE, HeaderMap, HeaderName, HeaderValue},
    http::{request::Parts, uri::PathAndQuery},
};
use smallvec::SmallVec;

use crate::border::RouteConfig;

/// Distinct keys in a request, usually one.
pub type SentKeys = SmallVec<[String; 1]>;

/// Removes and returns all keys from the locations that the route configures.
///
/// `Authorization` is removed from requests of open routes as well, since a caller may send the
/// same headers everywhere.
pub fn extract_keys(route: &RouteConfig, parts: &mut Parts) -> SentKeys {
    let mut keys = SentKeys::new();
    let mut add = |key: &str| {
        if !key.is_empty() && !keys.iter().any(|known| known == key) {
            keys.push(key.to_owned());
        }
    };
    for value in parts.headers.get_all(AUTHORIZATION) {
        if let Some(token) = value.to_str().ok().and_then(bearer_token) {
            add(token);
        }
    }
    parts.headers.remove(AUTHORIZATION);
    let named = route.key_header.as_deref().map(str::parse::<HeaderName>);
    if let Some(Ok(name)) = named {
        for value in parts.headers.get_all(&name) {
            if let Ok(text) = value.to_str() {
                add(bearer_token(text).unwrap_or(text.trim()));
            }
        }
        parts.headers.remove(&name);
    }
    if let Some(name) = &route.key_query {
        retain_query(&mut parts.uri, |pair_name, value| {
            let is_key = pair_name == name;
            if is_key {
                add(value);
            }
            !is_key
        });
    }
    if let Some(name) = &route.key_cookie {
        retain_cookies(&mut parts.headers, |cookie_name, value| {
            let is_key = cookie_name == name;
            if is_key {
                add(value);
            }
            !is_key
        });
    }
    keys
}

/// Removes headers, cookies and query parameters that contain `key` in a location that the route
/// does not configure, such as a second header added by the caller's library.
pub fn remove_occurrences(key: &str, parts: &mut Parts) {
    retain_cookies(&mut parts.headers, |_, value| !value.contains(key));
    let contains = |value: &HeaderValue| {
        let haystack = value.as_bytes();
        haystack
            .windows(key.len())
            .any(|part| part == key.as_bytes())
    };
    let leaking: SmallVec<[HeaderName; 2]> = parts
        .headers
        .iter()
        .filter(|(_, value)| contains(value))
        .map(|(name, _)| name.clone())
        .collect();
    for name in leaking {
        parts.headers.remove(name);
    }
    retain_query(&mut parts.uri, |_, value| !value.contains(key));
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.trim().split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}

/// Keeps the query parameters for which `keep` is true, in their original encoding.
fn retain_query(uri: &mut Uri, mut keep: impl FnMut(&str, &str) -> bool) {
    let Some(query) = uri.query() else {
        return;
    };
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| {
            form_urlencoded::parse(pair.as_bytes()).all(|(name, value)| keep(&name, &value))
        })
        .collect();
    let kept = kept.join("&");
    if kept.len() == query.len() {
        return;
    }
    let text = if kept.is_empty() {
        uri.path().to_owned()
    } else {
        format!("{}?{kept}", uri.path())
    };
    // The rest of a valid request target is valid; the fallback path "/" cannot expose a key.
    *uri = text
        .parse::<PathAndQuery>()
        .map_or_else(|_| Uri::from_static("/"), Uri::from);
}

/// Keeps the cookies for which `keep` is true.
fn retain_cookies(headers: &mut HeaderMap, mut keep: impl FnMut(&str, &str) -> bool) {
    let values: SmallVec<[HeaderValue; 1]> = headers.get_all(COOKIE).iter().cloned().collect();
    headers.remove(COOKIE);
    for value in values {
        let Ok(text) = value.to_str() else {
            continue;
        };
        let kept: Vec<&str> = text
            .split(';')
            .map(str::trim)
            .filter(|cookie| {
                let (name, value) = cookie.split_once('=').unwrap_or((cookie, ""));
                !cookie.is_empty() && keep(name.trim(), value.trim().trim_matches('"'))
            })
            .collect();
        match HeaderValue::from_str(&kept.join("; ")) {
            Ok(value) if !kept.is_empty() => {
                headers.append(COOKIE, value);
            }
            _ => {}
        }
    }
}
