//! Resources of an entry VM.

/// Resources of an entry VM, as the platform states them. 0 stands for unknown.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct VmResources {
    /// Processor time, in permille of a core.
    pub cpu_permille: u64,
    /// Bandwidth of the VM's link, in kilobits per second.
    pub link_kbit_per_s: u64,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
}
