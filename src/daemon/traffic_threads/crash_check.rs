//! Check whether a server crashed after its connection was lost.

/// Result of checking whether a server crashed while it ran a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashCheck {
    /// Whether the server refuses new connections, as after a crash of its
    /// process.
    pub refuses_connections: bool,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Time that the request ran before the connection was lost, in
    /// milliseconds.
    pub ran_ms: u64,
    /// Id of the server.
    pub server_id: String,
    /// Name of the service.
    pub service: String,
}
