//! Common interface of the modules that make decisions.

/// State machine without clock, socket, thread or global random generator.
///
/// The time is passed with each event, and random values come from a generator
/// that is seeded at construction, so that any run can be replayed.
pub trait StateMachine {
    /// Action that the caller of [`Self::handle`] carries out.
    type Action;
    /// Event that the state machine handles.
    type Event;

    /// Handles `event` at `now_ms` (milliseconds of a monotonic clock) and
    /// returns the actions to carry out, in order.
    fn handle(&mut self, now_ms: u64, event: Self::Event) -> Vec<Self::Action>;
}
