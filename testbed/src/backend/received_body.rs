//! Digest and length of a request body.

use http_body_util::BodyExt as _;
use sha2::Digest as _;
use volo_http::body;

use crate::http_io;

/// Digest and length of a request body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedBody {
    /// SHA-256 of the body, in hexadecimal digits.
    pub sha256: String,
    /// Length of the body, in bytes.
    pub size_bytes: u64,
}

impl ReceivedBody {
    /// Reads a body frame by frame without storing it. Returns `None` if the
    /// body is truncated.
    pub async fn receive(mut content: body::Body) -> Option<Self> {
        let mut hasher = sha2::Sha256::new();
        let mut size_bytes = 0;
        while let Some(frame) = content.frame().await {
            if let Ok(data) = frame.ok()?.into_data() {
                size_bytes += data.len() as u64;
                hasher.update(&data);
            }
        }
        Some(Self {
            sha256: http_io::hex(&hasher.finalize()),
            size_bytes,
        })
    }
}
