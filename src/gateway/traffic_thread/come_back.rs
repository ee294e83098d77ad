//! When refused callers come back.

use crate::gateway;
use crate::gateway::traffic_thread::work;

/// Shortest time to come back after servers refused, in milliseconds.
const SHED_RETRY_MIN_MS: u64 = 150;

/// Gives when to come back if even the best server cannot end the request in
/// time, as far as its load is known.
pub fn hopeless_wait_ms(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
) -> Option<u64> {
    let slots = f64::from(choice.backend.slot_count.max(1));
    let turns = (f64::from(choice.in_flight + 1) / slots).max(1.0);
    let usual_ms = shared.board().mean_run_ms(work.service);
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let left_ms = work.left_ms() as f64;
    (turns > 1.0 && usual_ms * turns > left_ms).then(|| come_back_ms(shared, work))
}

/// Gives when a refused caller comes back: about half a run time later, when
/// slots are free again, spread so that callers do not return together.
pub fn come_back_ms(shared: &gateway::Shared, work: &work::Work<'_>) -> u64 {
    let usual_ms = shared.board().mean_run_ms(work.service);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a run time is a small positive number"
    )]
    let half_ms = (usual_ms / 2.0) as u64;
    jittered(shared, half_ms.max(SHED_RETRY_MIN_MS))
}

/// Gives a time around `base_ms`, drawn anew, so that callers do not return
/// together.
pub fn jittered(shared: &gateway::Shared, base_ms: u64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "come-back times are small positive numbers"
    )]
    let spread_ms = (shared.draw() * base_ms as f64) as u64;
    base_ms / 2 + spread_ms
}
