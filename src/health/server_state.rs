//! State of a backend server that is up.

/// State of a backend server that is up. Lists of this type leave out servers
/// that are down.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServerState {
    /// Whether the server is starting and not yet at full speed.
    pub cold: bool,
    /// Whether the server is about to leave the service.
    pub draining: bool,
    /// Id of the server within its service.
    pub server_id: String,
}

impl ServerState {
    /// Returns whether the server counts as capacity, regardless of ejections.
    #[must_use]
    pub const fn is_capacity(&self) -> bool {
        !self.cold && !self.draining
    }
}
