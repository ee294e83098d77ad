//! Parsing of the headers of a request.

use crate::daemon::traffic_threads::header_names;
use crate::verdict;

/// Maximum length of a request id, organisation id or idempotency key, in
/// bytes.
const MAX_ID_BYTES: usize = 512;
/// Organisation of callers that send no organisation header.
const ANONYMOUS_ORGANISATION: &str = "anonymous";

/// Headers of a request that the daemon evaluates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// Length of the body; `None` if the caller does not state it.
    pub content_length_bytes: Option<u64>,
    /// Time limit that the caller sets for the request, in milliseconds; `None` if
    /// it sets none.
    pub time_limit_ms: Option<u64>,
    /// Whether the request was forwarded by another entry VM.
    pub is_forwarded: bool,
    /// Idempotency key with its prefix, as sent by the caller; `None` if it sent
    /// none.
    pub idempotency_key: Option<String>,
    /// Organisation of the caller.
    pub organisation: String,
    /// Id of the request, generated if the caller sent none.
    pub request_id: String,
}

impl RequestHead {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns [`verdict::RefusalReason::RequestInvalid`] if a header is empty,
    /// too long or not visible ASCII text, or if a numeric header is not a
    /// number.
    pub fn parse<B>(
        request: &http::Request<B>,
        make_request_id: impl FnOnce() -> String,
    ) -> Result<Self, verdict::RefusalReason> {
        let headers = request.headers();
        let organisation = text(headers, header_names::ORGANISATION)?;
        let request_id = text(headers, header_names::REQUEST_ID)?;
        Ok(Self {
            content_length_bytes: number(headers, http::header::CONTENT_LENGTH.as_str())?,
            time_limit_ms: number(headers, header_names::DEADLINE_MS)?,
            is_forwarded: headers.contains_key(header_names::HOP),
            idempotency_key: text(headers, header_names::IDEMPOTENCY_KEY)?.map(str::to_owned),
            organisation: organisation.unwrap_or(ANONYMOUS_ORGANISATION).to_owned(),
            request_id: request_id.map_or_else(make_request_id, str::to_owned),
        })
    }
}

impl RequestHead {
    /// Returns the id of a request whose head is refused, or an empty string if
    /// the caller sent no valid id.
    #[must_use]
    pub fn parse_request_id<B>(request: &http::Request<B>) -> String {
        let id = text(request.headers(), header_names::REQUEST_ID);
        id.ok().flatten().unwrap_or_default().to_owned()
    }
}

fn text<'a>(
    headers: &'a http::HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, verdict::RefusalReason> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| verdict::RefusalReason::RequestInvalid)?;
    if text.is_empty() || text.len() > MAX_ID_BYTES {
        return Err(verdict::RefusalReason::RequestInvalid);
    }
    Ok(Some(text))
}

fn number(headers: &http::HeaderMap, name: &str) -> Result<Option<u64>, verdict::RefusalReason> {
    text(headers, name)?
        .map(|text| {
            text.parse()
                .map_err(|_| verdict::RefusalReason::RequestInvalid)
        })
        .transpose()
}
