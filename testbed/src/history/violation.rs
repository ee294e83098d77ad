//! A promise that was broken.

use std::fmt;

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// An answer was taken whose request no server ran.
    ResponseWithoutRun {
        /// The request's id.
        request_id: String,
        /// Name of the server that is said to have answered.
        server: String,
    },
    /// A request ran that was said not to have run.
    NotRunButRan {
        /// The idempotency key, or the request's id if it has none.
        key: String,
        /// Names of the servers that ran it.
        servers: Vec<String>,
    },
    /// A key ran more than once.
    RanTwice {
        /// The idempotency key.
        key: String,
        /// Names of the servers that ran it, once a run.
        servers: Vec<String>,
    },
    /// A caller was given an answer that is not its own.
    WrongResponse {
        /// How the answer differs.
        reason: String,
        /// The request's id.
        request_id: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ResponseWithoutRun { request_id, server } => {
                write!(formatter, "answer without a run: {request_id} by {server}")
            }
            Self::NotRunButRan { key, servers } => write!(
                formatter,
                "said not to have run, but ran: {key} on {}",
                servers.join(", ")
            ),
            Self::RanTwice { key, servers } => {
                write!(formatter, "ran twice: {key} on {}", servers.join(", "))
            }
            Self::WrongResponse { reason, request_id } => {
                write!(formatter, "wrong answer: {request_id}: {reason}")
            }
        }
    }
}
