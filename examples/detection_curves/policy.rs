//! Interface of the ejection policies.

use foxtailwinch::health;

/// Message of a policy to other VMs.
pub enum Message {
    RequestEjection {
        evidence: health::Evidence,
        server_id: String,
    },
    Summary(health::Summary),
}

/// Ejection policy of one entry VM.
pub trait Policy {
    /// Records the outcome of a request to the server with index `server`.
    fn observe(&mut self, now_ms: u64, server: usize, outcome: health::Outcome) -> Vec<Message>;

    /// Handles the timers that are due at `now_ms`.
    fn advance(&mut self, now_ms: u64) -> Vec<Message>;

    /// Returns the share of its usual requests that the server gets, in permille; 0
    /// means ejected.
    fn weight_permille(&self, now_ms: u64, server: usize) -> u32;

    /// Records the result of a health probe.
    fn probe(&mut self, _now_ms: u64, _server: usize, _is_ok: bool) {}

    /// Applies a summary of the VM with index `_from`.
    fn apply_summary(
        &mut self,
        _now_ms: u64,
        _from: usize,
        _summary: health::Summary,
    ) -> Vec<Message> {
        Vec::new()
    }

    /// Applies the decider's response to an ejection request.
    fn apply_response(
        &mut self,
        _now_ms: u64,
        _response: health::EjectionResponse,
    ) -> Vec<Message> {
        Vec::new()
    }

    /// Applies the states of the servers, such as which ones are cold.
    fn change_servers(&mut self, _now_ms: u64, _servers: &[health::ServerState]) {}
}
