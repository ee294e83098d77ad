//! Interface of load-balancing policies.

use crate::balancing;

/// Load-balancing policy that picks the backend server of a request.
pub trait Picker: Send {
    /// Returns the name of the picker in settings, counters and logs.
    fn name(&self) -> &'static str;

    /// Records an event on a server.
    fn observe(&mut self, now_ms: u64, event: balancing::PickerEvent<'_>);

    /// Returns the index in `servers` of the server to use, or `None` when no
    /// server may receive the request.
    fn pick(
        &mut self,
        now_ms: u64,
        request: &balancing::PickRequest<'_>,
        servers: &[balancing::ServerView<'_>],
    ) -> Option<usize>;
}
