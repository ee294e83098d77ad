//! Violation of the fleet's guarantees.

use std::fmt;

/// Violation of the fleet's guarantees.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A caller accepted a response to a request that no server ran.
    ResponseWithoutRun {
        /// Id of the request.
        request_id: String,
        /// Name of the server in the response.
        server: String,
    },
    /// A request ran although it was refused as not run.
    NotRunButRan {
        /// Idempotency key, or the id of a request without a key.
        key: String,
        /// Names of the servers that ran the request.
        servers: Vec<String>,
    },
    /// A key ran more than once.
    RanTwice {
        /// Idempotency key of the request.
        key: String,
        /// Names of the servers that ran the key, with one entry per run.
        servers: Vec<String>,
    },
    /// A caller received a response that does not belong to its request.
    WrongResponse {
        /// Mismatch between the response and the request.
        reason: String,
        /// Id of the request.
        request_id: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ResponseWithoutRun { request_id, server } => {
                write!(
                    formatter,
                    "response without a run: {request_id} by {server}"
                )
            }
            Self::NotRunButRan { key, servers } => write!(
                formatter,
                "refused as not run, but ran: {key} on {}",
                servers.join(", ")
            ),
            Self::RanTwice { key, servers } => {
                write!(formatter, "ran twice: {key} on {}", servers.join(", "))
            }
            Self::WrongResponse { reason, request_id } => {
                write!(formatter, "wrong response: {request_id}: {reason}")
            }
        }
    }
}
