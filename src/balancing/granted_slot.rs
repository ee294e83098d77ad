//! Slot granted by a dispatcher.

/// Slot granted by a dispatcher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct GrantedSlot {
    /// Time at which the slot is reclaimed if it was not returned.
    pub(crate) expires_ms: u64,
    /// Time at which the slot was granted.
    pub(crate) granted_at_ms: u64,
    /// Id of the server.
    pub(crate) server_id: String,
}
