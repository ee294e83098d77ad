//! The reply of a witness to a claim.

/// Reply of a witness to a claim.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum ClaimReply {
    /// The home must not run the key.
    Denied,
    /// The home may run the key, once.
    Granted,
}
