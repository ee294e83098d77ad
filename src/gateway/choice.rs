//! The choice of a backend server: what is asked, and what was chosen.

use std::sync;

use crate::ports;

/// What a server is looked for.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// The VM's availability zone.
    pub availability_zone: &'a str,
    /// A random_value in `0.0..1.0`, to break ties.
    pub random_value: f64,
    /// Incarnations that were tried.
    pub excluded: &'a [u64],
    /// The VM's region.
    pub region: &'a str,
    /// What another region costs, as load of a server.
    pub region_cost: f64,
    /// The service.
    pub service: &'a str,
    /// What another zone costs, as load of a server.
    pub zone_cost: f64,
}

/// The server that was chosen, and why.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The server.
    pub backend: sync::Arc<ports::Backend>,
    /// Candidates that it was chosen from.
    pub candidate_count: usize,
    /// Requests in flight on it before, from all VMs that report.
    pub in_flight: u32,
    /// Whether it is in the VM's region.
    pub is_same_region: bool,
    /// Whether it was chosen, though suspect, only to be seen in use.
    pub is_probe: bool,
    /// Names its incarnation.
    pub incarnation: u64,
    /// Probability that it is failing.
    pub suspicion: f64,
}
