//! A key that a leaving home hands over.

use crate::claims;

/// Key that a leaving home hands over.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HandOverEntry {
    /// Key to hand over.
    pub key: claims::ClaimKey,
    /// Final outcome of the key.
    #[serde(rename = "settled")]
    pub outcome: claims::KeyOutcome,
}
