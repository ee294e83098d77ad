//! Next step of a caller after an attempt.

/// Next step of a caller after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Ends the request with the outcome of the attempt.
    Finish,
    /// Resends the request under a new key.
    ResendNewKey {
        /// Time to wait first, in milliseconds.
        wait_ms: u64,
    },
    /// Resends the request under the same key, through another entry point.
    ResendSameKey {
        /// Time to wait first, in milliseconds.
        wait_ms: u64,
    },
}
