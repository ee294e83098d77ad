//! What a policy decides at one entry VM.

use foxtailwinch::gateway;

/// Where a request goes.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChosenServer {
    /// Requests in flight there, as far as the VM knows.
    pub(super) in_flight: u32,
    /// Whether the server was chosen only to be seen in use.
    pub(super) is_probe: bool,
    /// The incarnation that was chosen.
    pub(super) incarnation: u64,
}

/// What a policy decides at one entry VM, and what it is told.
pub(super) trait Balancer {
    /// Gives the server for a request and counts it as in flight there.
    fn choose(&mut self, now_ms: u64, request: &gateway::ChoiceRequest<'_>)
    -> Option<ChosenServer>;

    /// Notes that a request has left a server.
    fn record_end(&mut self, incarnation: u64);

    /// Gives the usual run time of a service, in milliseconds.
    fn mean_run_ms(&self, service: &str) -> f64;

    /// Notes the run time of an answer and gives what it says of its server.
    fn record_run_time(&mut self, service: &str, run_ms: f64) -> gateway::Evidence;

    /// Notes what a request says of its server; gives whether to tell others.
    fn record_evidence(
        &mut self,
        now_ms: u64,
        incarnation: u64,
        evidence: gateway::Evidence,
    ) -> bool;

    /// Notes what another VM's request says of its server.
    fn record_peer_evidence(&mut self, now_ms: u64, incarnation: u64, evidence: gateway::Evidence);

    /// Notes how a request has ended for its caller.
    fn record_outcome(&mut self, now_ms: u64, service: &str, is_served: bool);

    /// Notes that a server refused a request.
    fn record_shed(&mut self, now_ms: u64, incarnation: u64);

    /// Gives the VM's report to the others, and begins the next one.
    fn take_report(&mut self) -> Option<gateway::LoadReport>;

    /// Takes in another VM's report.
    fn apply_report(&mut self, now_ms: u64, from: usize, report: &gateway::LoadReport);
}
