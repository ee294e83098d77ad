//! Interface of the policies' load balancers.

use foxtailwinch::gateway;

/// Server chosen for an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChosenServer {
    /// Requests in flight to the server before this one, as known to the VM.
    pub(super) in_flight: u32,
    /// Whether the attempt is a probe that keeps a suspected server in use.
    pub(super) is_probe: bool,
    /// Incarnation of the server.
    pub(super) incarnation: u64,
}

/// Load balancer of one entry VM.
pub(super) trait Balancer {
    /// Chooses a server for a request and counts the request as in flight to it.
    fn choose(&mut self, now_ms: u64, request: &gateway::ChoiceRequest<'_>)
    -> Option<ChosenServer>;

    /// Records that a request to a server is no longer in flight.
    fn record_request_end(&mut self, incarnation: u64);

    /// Returns the mean run time of a service, in milliseconds.
    fn mean_run_ms(&self, service: &str) -> f64;

    /// Records the run time of a response and returns it as evidence about the
    /// server.
    fn record_run_time(&mut self, service: &str, run_ms: f64) -> gateway::Evidence;

    /// Records evidence about a server. Returns whether to send it to the other VMs
    /// of the region.
    fn record_evidence(
        &mut self,
        now_ms: u64,
        incarnation: u64,
        evidence: gateway::Evidence,
    ) -> bool;

    /// Records evidence about a server from another VM.
    fn record_peer_evidence(&mut self, now_ms: u64, incarnation: u64, evidence: gateway::Evidence);

    /// Records that a request begins.
    fn record_begin(&mut self, now_ms: u64, service: &str);

    /// Records that a request was not served.
    fn record_unserved(&mut self, now_ms: u64, service: &str);

    /// Records that a server refused a request.
    fn record_shed(&mut self, now_ms: u64, incarnation: u64);

    /// Returns the load report for the other VMs and starts the next one. `None` if
    /// there is nothing to report.
    fn take_report(&mut self) -> Option<gateway::LoadReport>;

    /// Applies a load report of the VM with index `from`.
    fn apply_report(&mut self, now_ms: u64, from: usize, report: &gateway::LoadReport);
}
