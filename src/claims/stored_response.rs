//! A stored response of a key.

use crate::claims;

/// HTTP response stored with its key and returned to resends of the request.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StoredResponse {
    /// Complete body.
    #[serde(with = "body_as_vec")]
    pub body: bytes::Bytes,
    /// Headers in the order in which the backend server sent them.
    pub headers: Vec<claims::StoredHeader>,
    /// Fingerprint of the request that was run.
    pub request_fingerprint: u64,
    /// HTTP status code.
    pub status: u16,
}

impl StoredResponse {
    /// Returns the memory that this response takes in a table, without the
    /// struct.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(header_bytes).sum();
        self.body.len() + headers
    }
}

fn header_bytes(header: &claims::StoredHeader) -> usize {
    size_of::<claims::StoredHeader>() + header.name.len() + header.value.len()
}

mod body_as_vec {
    //! Serialises the body, because `bytes` is built without its `serde`
    //! feature.

    use serde::Deserialize as _;

    pub fn serialize<S: serde::Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(body)
    }

    pub fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<bytes::Bytes, D::Error> {
        Vec::<u8>::deserialize(deserializer).map(bytes::Bytes::from)
    }
}
