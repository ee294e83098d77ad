//! Size of the data under check.

/// Size of the data under check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Summary {
    /// Number of attempts that were answered.
    pub answered_attempts: usize,
    /// Number of attempts in the histories.
    pub attempts: usize,
    /// Number of keys that servers ran.
    pub keys_run: usize,
    /// Number of attempts that were refused as not run.
    pub not_run_attempts: usize,
    /// Number of runs in the run logs.
    pub runs: usize,
}
