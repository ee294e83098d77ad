//! Refusals: reasons, retry delays and whether a refused request may have run.

mod refusal;
mod refusal_reason;
mod retry_reason;
mod run_verdict;

pub use refusal::Refusal;
pub use refusal_reason::RefusalReason;
pub use retry_reason::RetryReason;
pub use run_verdict::RunVerdict;
