//! Events that the decider handles.

use std::net;

use crate::health;

/// Events that the decider handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DeciderEvent {
    /// An entry VM requests an ejection.
    Request {
        request: health::EjectionRequest,
        from: net::SocketAddr,
        message_id: u64,
    },
    /// This process's own lease record was read back from the log.
    ///
    /// `until_ms` is the time just before the append was sent plus the lease's
    /// duration (see [`health::ClockMargin::shorten`]). Every record before the
    /// lease's own has been applied.
    LeaseHeld { term: u64, until_ms: u64 },
    /// Another process's lease record with a higher term was read.
    LeaseLost,
    /// Another process's lease may last until `at_ms`: the time of reading its
    /// record plus its duration (see [`health::ClockMargin::lengthen`]).
    PreviousLeaseEnds { at_ms: u64 },
    /// The floor and the complete list of the service's servers that are up.
    /// Sent on each change and at least once in `state_max_age_ms`.
    ///
    /// `states_requested_ms` is the time at which the oldest of these states
    /// was requested, not the time of their arrival: an event that waited for a
    /// paused process to resume carries outdated states.
    ServiceChanged {
        floor_servers: u32,
        servers: Vec<health::ServerState>,
        states_requested_ms: u64,
    },
    /// A scheduled wake-up is due.
    Tick,
}
