//! Whether a server whose connection broke is dead.

/// Whether a server whose connection broke is dead.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashCheck {
    /// Whether it refuses connections.
    pub refuses_connections: bool,
    /// What the request asked for.
    pub fingerprint: u64,
    /// How long the request ran, in milliseconds.
    pub ran_ms: u64,
    /// The server.
    pub server_id: String,
    /// Its service.
    pub service: String,
}
