//! Proposed bundle.

/// Proposed bundle that is in force or can still be rolled out.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Proposal {
    /// Version that was in force when the bundle was created, or `None` if there
    /// was none.
    pub base_version: Option<String>,
    /// The bundle in YAML.
    pub content: String,
    /// SHA-256 of `content` in hexadecimal digits.
    pub digest: String,
    /// Offset of the record that proposed it.
    pub offset: u64,
    /// Operator who proposed it.
    pub operator: String,
    /// Operators who signed it off, in log order.
    pub signed_off_by: Vec<String>,
}
