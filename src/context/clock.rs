//! Source of time.

/// Source of time for the code that runs the state machines.
pub trait Clock: Send + Sync {
    /// Returns the milliseconds since the start of the process, on a monotonic
    /// clock.
    fn now_ms(&self) -> u64;

    /// Returns the milliseconds since the Unix epoch.
    ///
    /// For reports only. Decisions use the monotonic clock.
    fn unix_ms(&self) -> u64;
}
