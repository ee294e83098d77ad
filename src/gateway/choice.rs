//! Input and result of the choice of a backend server.

use std::sync;

use crate::gateway;
use crate::ports;

/// Criteria for the choice of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Availability zone of the entry VM.
    pub availability_zone: &'a str,
    /// Random value in `0.0..1.0` that decides between equal servers.
    pub random_value: f64,
    /// Incarnations of servers that the request has tried already.
    pub excluded: &'a [u64],
    /// Whether the request can still be served if this server fails it: it may run more
    /// than once, and attempts are left.
    pub may_retry: bool,
    /// Region of the entry VM.
    pub region: &'a str,
    /// Cost of a server in another region, in units of load: 1 is as much as all
    /// slots taken.
    pub region_cost: f64,
    /// Name of the service.
    pub service: &'a str,
    /// Cost of a server in another zone of the region, in units of load.
    pub zone_cost: f64,
}

/// The chosen backend server and the state that led to the choice.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The chosen server.
    pub backend: sync::Arc<ports::Backend>,
    /// Number of servers that the choice was made from.
    pub candidate_count: usize,
    /// Requests in flight on the server before this one, from this VM and all VMs
    /// that report to it.
    pub in_flight: u32,
    /// Whether the server is in the region of the entry VM.
    pub is_same_region: bool,
    /// Whether the server is suspect and was chosen only to keep the minimum share
    /// of servers in use.
    pub is_probe: bool,
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Notice of this request for the other VMs if the server has named a limit.
    pub limit_notice: Option<gateway::LimitNotice>,
    /// Probability that the server is failing.
    pub suspicion: f64,
}
