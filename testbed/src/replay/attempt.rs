//! An attempt of a request at one backend server.

use crate::replay::attempt_result;

/// An attempt of a request at one backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Result of the attempt; set when the server begins to run it.
    pub(super) result: attempt_result::AttemptResult,
    /// Whether the attempt has ended or its caller has timed out.
    pub(super) is_over: bool,
    /// Incarnation of the server.
    pub(super) incarnation: u64,
    /// One-way network latency to the server, in milliseconds.
    pub(super) one_way_ms: u64,
    /// Index of the request.
    pub(super) request: usize,
    /// Time at which the entry VM sent the attempt.
    pub(super) sent_ms: u64,
    /// Index of the server.
    pub(super) server: usize,
}
