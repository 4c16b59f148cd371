//! Headers that concern one connection only and are not passed on.

use hyper::header::{CONNECTION, HeaderMap, HeaderName};
use smallvec::SmallVec;

/// Hop-by-hop headers of HTTP/1.1, whether `Connection` names them or not.
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

/// Request headers that the entry sets itself or that belong to the system.
const OWN_REQUEST_HEADERS: [&str; 5] = [
    "host",
    "expect",
    "x-request-id",
    "x-priority",
    crate::sync::SECRET_HEADER,
];

/// Removes hop-by-hop headers, also those that `Connection` names.
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

/// Removes what a target must not see of a caller's request, apart from keys.
pub fn strip_request(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    for name in OWN_REQUEST_HEADERS {
        headers.remove(name);
    }
}
