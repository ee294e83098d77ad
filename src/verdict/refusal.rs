//! Refusal of a request.

use crate::verdict;

/// Final response to a request that the fleet does not serve.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: verdict::RefusalReason,
    /// Delay after which the caller should retry, in milliseconds, with jitter.
    pub retry_after_ms: u64,
    /// Whether the request may have run.
    pub verdict: verdict::RunVerdict,
}

impl Refusal {
    /// Creates a refusal of a request that may have run.
    #[must_use]
    pub const fn may_have_run(reason: verdict::RefusalReason, retry_after_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms,
            verdict: verdict::RunVerdict::MayHaveRun,
        }
    }

    /// Creates a refusal of a request that did not run.
    #[must_use]
    pub const fn not_run(reason: verdict::RefusalReason, retry_after_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms,
            verdict: verdict::RunVerdict::NotRun,
        }
    }
}
