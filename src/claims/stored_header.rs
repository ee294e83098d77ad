//! A header of a stored response.

/// Header of a stored response.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StoredHeader {
    /// Name in lower case.
    pub name: String,
    /// Value as the backend server sent it.
    pub value: Vec<u8>,
}
