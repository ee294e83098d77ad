//! The claim that a home sends to the witness.

use crate::claims;

/// Request of the home to the witness for permission to run a key.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Claim {
    /// Key to run.
    pub key: claims::ClaimKey,
}
