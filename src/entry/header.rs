//! Removal of headers that must not be forwarded.

use hyper::header::{CONNECTION, HeaderMap, HeaderName};
use smallvec::SmallVec;

/// Hop-by-hop headers of HTTP/1.1, which are removed even if `Connection` does not list them.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Request headers that the entry sets itself or that are internal to the system.
const RESERVED_REQUEST_HEADERS: [&str; 5] = [
    "host",
    "expect",
    "x-request-id",
    "x-priority",
    crate::sync::SECRET_HEADER,
];

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: SmallVec<[HeaderName; 4]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes the headers of a caller's request that must not reach a target, except keys.
pub fn strip_request_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    for name in RESERVED_REQUEST_HEADERS {
        headers.remove(name);
    }
}
