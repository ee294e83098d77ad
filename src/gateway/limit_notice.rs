//! Notice of a backend server's limit to the other entry VMs.

/// Notice that a backend server has named a limit, or of a request that counts
/// towards it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LimitNotice {
    /// Whether the sender sends the server a request now.
    pub has_request: bool,
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Limit in thousandths of a request a second; `None` if the server names none any
    /// more.
    pub limit_milli: Option<u64>,
}
