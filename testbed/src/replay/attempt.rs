//! One attempt of a request at one server.

use crate::replay::attempt_result;

/// One attempt of a request at one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// How it ends, once a server has it.
    pub(super) result: attempt_result::AttemptResult,
    /// Whether nobody waits for it any more.
    pub(super) is_over: bool,
    /// The incarnation that it was sent to.
    pub(super) incarnation: u64,
    /// One way to the server, in milliseconds.
    pub(super) one_way_ms: u64,
    /// The request.
    pub(super) request: usize,
    /// When it was sent.
    pub(super) sent_ms: u64,
    /// The server.
    pub(super) server: usize,
}
