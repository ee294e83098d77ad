//! Whether an answer is the whole answer to its own request.

use crate::{backend, caller};

/// How an answer differs from what was asked.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ResponseFault {
    /// The answer is about another request body.
    BodyMismatch,
    /// The answer is not what a server gives.
    Malformed,
    /// The answer carries another request's id.
    RequestIdMismatch,
}

impl ResponseFault {
    /// Gives the fault's name in reports and histories.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BodyMismatch => "body-mismatch",
            Self::Malformed => "malformed",
            Self::RequestIdMismatch => "request-id-mismatch",
        }
    }
}

/// Checks the answer of a server, read whole.
///
/// # Errors
///
/// Fails with what differs if the answer is not that of the request.
pub fn check_response(
    request_id: &str,
    sent: &caller::RequestBody,
    echoed_request_id: Option<&str>,
    response: &[u8],
) -> Result<backend::ResponseBody, ResponseFault> {
    let Ok(response) = serde_json::from_slice::<backend::ResponseBody>(response) else {
        return Err(ResponseFault::Malformed);
    };
    if echoed_request_id != Some(request_id) || response.request_id != request_id {
        return Err(ResponseFault::RequestIdMismatch);
    }
    if response.body_bytes != sent.size_bytes() || response.body_sha256 != sent.sha256() {
        return Err(ResponseFault::BodyMismatch);
    }
    Ok(response)
}
