//! Whether all entry VMs see a fault.

/// Whether all entry VMs see a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FaultScope {
    /// All that reach the server see it, if not in each outcome.
    AllPaths,
    /// Some see little else, others nothing.
    SomePaths,
    /// Too few outcomes a VM to tell.
    Unknown,
}
