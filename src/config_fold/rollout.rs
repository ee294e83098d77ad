//! Roll-out of a bundle.

/// Roll-out that put a bundle in force.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Rollout {
    /// Time of the roll-out, in milliseconds since the Unix epoch by the log's
    /// clock. Never earlier than the time of an earlier record.
    pub appended_unix_ms: u64,
    /// Version that was in force before, or `None` if there was none.
    pub base_version: Option<String>,
    /// Version that came into force.
    pub bundle_version: String,
    /// SHA-256 of the bundle in YAML, in hexadecimal digits.
    pub digest: String,
    /// Offset of the record that rolled it out.
    pub offset: u64,
    /// Operator who rolled it out.
    pub operator: String,
}
