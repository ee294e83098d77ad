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

/// Returns whether the sender of a response closes the connection after it.
#[must_use]
pub fn closes_connection(headers: &http::HeaderMap) -> bool {
    let connection = headers.get(http::header::CONNECTION);
    let connection = connection.and_then(|value| value.to_str().ok());
    connection.is_some_and(|text| text.to_ascii_lowercase().contains("close"))
}

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
