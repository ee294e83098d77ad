//! What the daemon reads from a request's head.

use crate::daemon::traffic_threads::header_names;
use crate::verdict;

/// Longest request id, organisation id or idempotency key, in bytes.
const MAX_ID_BYTES: usize = 512;
/// Organisation of callers that name none.
const ANONYMOUS_ORGANISATION: &str = "anonymous";

/// What the daemon reads from a request's head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// Body length, where the caller states it.
    pub content_length_bytes: Option<u64>,
    /// Time that the caller gives the request, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether another entry VM sent the request on.
    pub is_forwarded: bool,
    /// The idempotency key with its prefix, as sent.
    pub idempotency_key: Option<String>,
    /// The organisation that the caller belongs to.
    pub organisation: String,
    /// The request's id; made up where the caller sent none.
    pub request_id: String,
}

impl RequestHead {
    /// Reads the head, or gives the reason for refusing the request.
    ///
    /// # Errors
    ///
    /// [`verdict::RefusalReason::RequestInvalid`] for a header that is not
    /// text, is too long or is not a number where one is due.
    pub fn parse<B>(
        request: &http::Request<B>,
        make_request_id: impl FnOnce() -> String,
    ) -> Result<Self, verdict::RefusalReason> {
        let headers = request.headers();
        let organisation = text(headers, header_names::ORGANISATION)?;
        let request_id = text(headers, header_names::REQUEST_ID)?;
        Ok(Self {
            content_length_bytes: number(headers, http::header::CONTENT_LENGTH.as_str())?,
            deadline_ms: number(headers, header_names::DEADLINE_MS)?,
            is_forwarded: headers.contains_key(header_names::HOP),
            idempotency_key: text(headers, header_names::IDEMPOTENCY_KEY)?.map(str::to_owned),
            organisation: organisation.unwrap_or(ANONYMOUS_ORGANISATION).to_owned(),
            request_id: request_id.map_or_else(make_request_id, str::to_owned),
        })
    }
}

impl RequestHead {
    /// Gives the request's id for the refusal of a head that cannot be read;
    /// an empty one where the caller sent none that can be echoed.
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
