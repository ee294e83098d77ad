//! The consequences of a finished run.

use crate::claims;
use crate::verdict;

/// Returns the outcome for the attempts that waited for a run, and the reason
/// of their refusal if they are refused.
pub fn outcome_for_waiting(
    outcome: claims::RunOutcome,
) -> (claims::KeyOutcome, verdict::RefusalReason) {
    let reason = verdict::RefusalReason::KeyMayHaveRun;
    match outcome {
        claims::RunOutcome::Answered(response) => (claims::KeyOutcome::Answered(response), reason),
        claims::RunOutcome::AnsweredNotStored => (claims::KeyOutcome::MayHaveRun, reason),
        claims::RunOutcome::MayHaveRun(refusal) => (claims::KeyOutcome::MayHaveRun, refusal.reason),
        claims::RunOutcome::NotRun(refusal) => (claims::KeyOutcome::Closed, refusal.reason),
    }
}

/// Returns the outcome to store. A response that exceeds `limit_bytes`, or
/// whose request differs from the first one of the key, is not stored.
pub fn outcome_to_store(
    outcome: &claims::KeyOutcome,
    limit_bytes: usize,
    fingerprint: Option<u64>,
) -> claims::KeyOutcome {
    match outcome {
        claims::KeyOutcome::Answered(response)
            if response.size_bytes() > limit_bytes
                || Some(response.request_fingerprint) != fingerprint =>
        {
            claims::KeyOutcome::MayHaveRun
        }
        _ => outcome.clone(),
    }
}
