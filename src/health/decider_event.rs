//! What the decider learns.

use std::net;

use crate::health;

/// What the decider learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DeciderEvent {
    /// An entry VM asks for an ejection.
    Request {
        request: health::EjectionRequest,
        from: net::SocketAddr,
        message_id: u64,
    },
    /// This process's own lease record was read back from the log.
    ///
    /// `until_ms` is the moment just before the append was sent plus the
    /// lease's duration (see [`health::ClockMargin::shorten`]). Every record
    /// before the lease's own has been folded.
    LeaseHeld { term: u64, until_ms: u64 },
    /// Another process's lease record with a higher term was read.
    LeaseLost,
    /// Another process's lease may run until `at_ms`: the moment of reading
    /// its record plus its duration (see [`health::ClockMargin::lengthen`]).
    PreviousLeaseEnds { at_ms: u64 },
    /// The floor and the servers of the service that are up, all of them.
    /// Sent on each change and at least once in `state_max_age_ms`.
    ///
    /// `states_requested_ms` is the moment of asking for the oldest of these
    /// states: what has waited for a paused process to wake up is old news.
    ServiceChanged {
        floor_servers: u32,
        servers: Vec<health::ServerState>,
        states_requested_ms: u64,
    },
    /// Time has passed.
    Tick,
}
