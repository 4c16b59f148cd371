use hyper::{
    HeaderMap,
    header::{CONNECTION, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
};

/// Headers that apply to a single connection and are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Removes the headers that apply to a single connection, those that the `connection` header names among them.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}
