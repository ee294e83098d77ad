//! Priority of a service's requests.

/// Priority of a service's requests when capacity is short; later variants have
/// the higher priority.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Work that can be delayed, such as catalogue imports.
    Bulk,
    /// Default priority.
    Normal,
    /// Orders and payments.
    Critical,
}
