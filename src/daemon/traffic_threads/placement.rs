//! Location of an entry VM in the fleet.

/// Location of this entry VM and the number of entry VMs that share the
/// servers.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Availability zone of this entry VM.
    pub availability_zone: &'a str,
    /// Number of entry VMs that share the servers.
    pub entry_vm_count: u32,
    /// Region of this entry VM.
    pub region: &'a str,
}
