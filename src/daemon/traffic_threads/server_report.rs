//! State that a backend server reports in response headers.

use crate::daemon::traffic_threads::header_names;

/// State that a backend server reports in response headers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerReport {
    /// Whether the server accepts no new requests.
    pub draining: bool,
    /// Load of the server in permille of its slots; `None` if it is not reported.
    pub load_permille: Option<u32>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
}

impl ServerReport {
    /// Parses the report from the headers of a response.
    #[must_use]
    pub fn parse(headers: &http::HeaderMap) -> Self {
        Self {
            draining: is_true(headers, header_names::DRAINING),
            load_permille: headers
                .get(header_names::LOAD)
                .and_then(|value| value.to_str().ok())
                .and_then(load_permille),
            not_run: is_true(headers, header_names::NOT_RUN),
        }
    }
}

fn is_true(headers: &http::HeaderMap, name: &str) -> bool {
    headers.get(name).is_some_and(|value| value == "true")
}

fn load_permille(text: &str) -> Option<u32> {
    let (in_flight, slots) = text.split_once('/')?;
    let in_flight: u32 = in_flight.trim().parse().ok()?;
    let slots: u32 = slots.trim().parse().ok()?;
    in_flight.checked_mul(1_000)?.checked_div(slots)
}
