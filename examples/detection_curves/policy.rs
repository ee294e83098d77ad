//! What decides on one entry VM which servers get work.

use foxtailwinch::health;

/// What a policy wants to tell the others.
pub enum Message {
    RequestEjection {
        evidence: health::Evidence,
        server_id: String,
    },
    Summary(health::Summary),
}

/// Decides on one entry VM which servers get work.
pub trait Policy {
    /// Applies the outcome of a request to the server at position `server`.
    fn observe(&mut self, now_ms: u64, server: usize, outcome: health::Outcome) -> Vec<Message>;

    /// Lets time pass.
    fn advance(&mut self, now_ms: u64) -> Vec<Message>;

    /// Gives the share of its usual work that the server gets; 0 is ejected.
    fn weight_permille(&self, now_ms: u64, server: usize) -> u32;

    /// Applies the result of a health probe.
    fn probe(&mut self, _now_ms: u64, _server: usize, _is_ok: bool) {}

    /// Applies another VM's summary.
    fn apply_summary(
        &mut self,
        _now_ms: u64,
        _from: usize,
        _summary: health::Summary,
    ) -> Vec<Message> {
        Vec::new()
    }

    /// Applies the decider's answer.
    fn apply_response(
        &mut self,
        _now_ms: u64,
        _response: health::EjectionResponse,
    ) -> Vec<Message> {
        Vec::new()
    }

    /// Learns which servers are cold.
    fn change_servers(&mut self, _now_ms: u64, _servers: &[health::ServerState]) {}
}
