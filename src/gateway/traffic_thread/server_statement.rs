//! What a backend server states about itself in the head of a response.

use crate::ports;

/// Largest limit that is taken for one, in requests a second.
const MAX_LIMIT_PER_S: f64 = 1_000_000.0;

/// What a backend server states about itself in the head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatement {
    /// Requests a second that the server takes from all VMs together; `None` if it
    /// names no limit, or one that cannot be read.
    pub limit_per_s: Option<f64>,
    /// Limit that cannot be read; `None` if there is none.
    pub unreadable: Option<String>,
}

/// Reads the statements in the headers of a response.
#[must_use]
pub fn read(names: &ports::HeaderNames, headers: &http::HeaderMap) -> ServerStatement {
    let Some(value) = headers.get(&names.send_limit) else {
        return ServerStatement {
            limit_per_s: None,
            unreadable: None,
        };
    };
    let text = value.to_str().unwrap_or("").trim();
    let limit_per_s = parse_decimal(text).filter(|limit| *limit <= MAX_LIMIT_PER_S);
    ServerStatement {
        limit_per_s,
        unreadable: limit_per_s
            .is_none()
            .then(|| String::from_utf8_lossy(value.as_bytes()).into_owned()),
    }
}

/// Parses a decimal number without sign or exponent.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    is_decimal.then(|| text.parse().ok())?
}
