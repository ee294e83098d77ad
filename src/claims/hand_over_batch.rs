//! A message of a leaving home to a witness.

use crate::claims;

/// Keys that a leaving home hands over to one witness. The home ends a batch at
/// the configured size.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HandOverBatch {
    /// Keys with their final outcomes.
    pub entries: Vec<claims::HandOverEntry>,
}
