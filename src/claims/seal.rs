//! The seal that an entry VM sends to the witness.

use crate::claims;

/// Request of an entry VM to the witness to prevent every later run of a key
/// that has not been claimed yet.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Seal {
    /// Key to seal.
    pub key: claims::ClaimKey,
}
