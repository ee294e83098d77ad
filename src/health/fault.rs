//! Likely cause of the evidence against a server.

/// Likely cause of the evidence against a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    /// A cause that the servers of the service share.
    Common,
    /// The network path from some entry VMs to the server.
    Path,
    /// The server itself.
    Server,
    /// The evidence is not sufficient to decide.
    Unclear,
}
