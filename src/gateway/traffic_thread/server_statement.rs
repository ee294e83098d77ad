//! What a backend server states about itself in the head of a response.

use std::time;

use crate::gateway;
use crate::http1;
use crate::ports;

/// Largest limit that is taken for one, in requests a second.
const MAX_LIMIT_PER_S: f64 = 1_000_000.0;
/// Longest rest that a server gets, in seconds. A server that wants none at all leaves.
const MAX_REST_S: f64 = 300.0;
const MILLISECONDS_PER_S: f64 = 1_000.0;

/// What a backend server states about itself in the head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatement {
    /// Whether the server leaves.
    pub is_leaving: bool,
    /// Requests a second that the server takes from all VMs together, `None` if it names
    /// no limit; or the text that cannot be read.
    pub limit_per_s: Result<Option<f64>, String>,
    /// Time for which the server wants no request of this VM, in milliseconds, `None` if
    /// it asks for no rest; or the text that cannot be read.
    pub rest_ms: Result<Option<u64>, String>,
}

/// Records what a server states about itself in a response of its own.
pub fn record(
    shared: &gateway::Shared,
    choice: &gateway::Choice,
    sent_ms: u64,
    head: &http::Response<http1::ResponseBody>,
) {
    let statement = read(&shared.headers, head.status(), head.headers());
    if statement.is_leaving {
        shared.record_leaving(choice.incarnation);
    }
    match statement.limit_per_s {
        Ok(limit_per_s) => shared.record_named_limit(choice, sent_ms, limit_per_s),
        Err(limit) => {
            let name = "server.limit-unreadable";
            record_unreadable(shared, choice, name, &format!("limit={limit:?}"));
        }
    }
    match statement.rest_ms {
        Ok(Some(rest_ms)) => shared.record_rest(choice.incarnation, rest_ms),
        Ok(None) => {}
        Err(rest) => {
            let name = "server.rest-unreadable";
            record_unreadable(shared, choice, name, &format!("rest={rest:?}"));
        }
    }
}

fn record_unreadable(
    shared: &gateway::Shared,
    choice: &gateway::Choice,
    name: &'static str,
    field: &str,
) {
    shared.metrics.counters.add(name);
    shared
        .decision_log
        .record(name, || format!("server={} {field}", choice.backend.id));
}

/// Reads the statements in the head of a response.
///
/// Only a server that turns a request away asks for rest. In other responses,
/// `Retry-After` is meant for the caller.
#[must_use]
pub fn read(
    names: &ports::HeaderNames,
    status: http::StatusCode,
    headers: &http::HeaderMap,
) -> ServerStatement {
    let rest = headers.get(http::header::RETRY_AFTER);
    let rest = rest.filter(|_| status == http::StatusCode::SERVICE_UNAVAILABLE);
    ServerStatement {
        is_leaving: is_leaving(names, headers),
        limit_per_s: read_value(headers.get(&names.send_limit), |text| {
            parse_decimal(text).filter(|limit| *limit <= MAX_LIMIT_PER_S)
        }),
        rest_ms: read_value(rest, |text| parse_rest_ms(text, headers)),
    }
}

/// Returns whether a server states that it leaves.
#[must_use]
pub fn is_leaving(names: &ports::HeaderNames, headers: &http::HeaderMap) -> bool {
    let leaving = headers.get(&names.leaving);
    leaving.is_some_and(|value| value.as_bytes().trim_ascii() == b"1")
}

fn read_value<T>(
    value: Option<&http::HeaderValue>,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, String> {
    let Some(value) = value else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| parse(text.trim()));
    match parsed {
        Some(parsed) => Ok(Some(parsed)),
        None => Err(String::from_utf8_lossy(value.as_bytes()).into_owned()),
    }
}

/// Parses a time of rest: seconds, or a date that is compared with that of the response.
fn parse_rest_ms(text: &str, headers: &http::HeaderMap) -> Option<u64> {
    let seconds = parse_decimal(text).or_else(|| {
        let until = httpdate::parse_http_date(text).ok()?;
        let date = headers.get(http::header::DATE);
        let date = date.and_then(|date| httpdate::parse_http_date(date.to_str().ok()?).ok());
        let rest = until.duration_since(date.unwrap_or_else(time::SystemTime::now));
        Some(rest.map_or(0.0, |rest| rest.as_secs_f64()))
    })?;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive number that is at most `MAX_REST_S`"
    )]
    let rest_ms = (seconds.min(MAX_REST_S) * MILLISECONDS_PER_S) as u64;
    Some(rest_ms)
}

/// Parses a decimal number without sign or exponent.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    is_decimal.then(|| text.parse().ok())?
}
