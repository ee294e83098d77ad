//! One key that a leaving home hands over.

use crate::claims;

/// One key that a leaving home hands over.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HandOverEntry {
    /// The key.
    pub key: claims::ClaimKey,
    /// How it ended.
    #[serde(rename = "settled")]
    pub outcome: claims::KeyOutcome,
}
