//! Request in the queue of a dispatcher.

/// Request that waits in a dispatcher for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct GrantRequest {
    /// Time at which the caller stops waiting.
    pub(crate) deadline_ms: u64,
    /// Id of a server that must not be chosen, such as one on which the request
    /// failed; `None` if any server may be chosen.
    pub(crate) excluded_server_id: Option<String>,
    /// Latest start time at which the request can still complete before its
    /// deadline.
    pub(crate) latest_start_ms: u64,
    /// Id of the message to reply to.
    pub(crate) message_id: u64,
}
