//! Subset of servers that one entry VM connects to.

use crate::balancing::rendezvous;

/// Returns the `size` servers that the entry VM connects to, or all servers
/// when `size` is 0 or there are fewer.
///
/// Servers are ranked by rendezvous hashing with the VM id as key. On average
/// the VMs are spread evenly over the servers, and a server that leaves changes
/// only the subsets that contain it.
#[must_use]
pub fn subset<'a>(vm_id: &str, servers: &[&'a str], size: usize) -> Vec<&'a str> {
    if size == 0 {
        return servers.to_vec();
    }
    rendezvous::top(vm_id, servers, size)
}
