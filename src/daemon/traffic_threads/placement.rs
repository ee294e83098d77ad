//! Where an entry VM is.

/// Where this entry VM is, and how many entry VMs share the servers.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Its availability zone.
    pub availability_zone: &'a str,
    /// Entry VMs that share the servers.
    pub entry_vm_count: u32,
    /// Its region.
    pub region: &'a str,
}
