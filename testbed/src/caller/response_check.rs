//! Check that a response is complete and belongs to its request.

use crate::{backend, caller};

/// Mismatch between a response and its request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ResponseFault {
    /// The response is for another request body.
    BodyMismatch,
    /// The response is not valid JSON of a backend server.
    Malformed,
    /// The response carries the id of another request.
    RequestIdMismatch,
}

impl ResponseFault {
    /// Returns the fault's name in reports and histories.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BodyMismatch => "body-mismatch",
            Self::Malformed => "malformed",
            Self::RequestIdMismatch => "request-id-mismatch",
        }
    }
}

/// Checks the complete response of a server against its request.
///
/// # Errors
///
/// Returns the mismatch if the response does not belong to the request.
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
