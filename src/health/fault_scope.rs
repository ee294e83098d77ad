//! Whether all entry VMs observe a fault.

/// Whether all entry VMs observe a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FaultScope {
    /// All VMs with outcomes observe the fault, though not in each outcome.
    AllPaths,
    /// Some VMs observe hardly any normal outcomes, others no anomalous ones.
    SomePaths,
    /// Too few outcomes per VM to decide.
    Unknown,
}
