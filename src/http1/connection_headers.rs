//! Hop-by-hop headers.

/// Hop-by-hop headers: they apply to a single connection and must not be
/// forwarded. Headers that `Connection` lists are hop-by-hop as well.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Removes all hop-by-hop headers, including those that `Connection` lists.
pub fn remove_connection_headers(headers: &mut http::HeaderMap) {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}
