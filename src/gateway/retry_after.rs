//! When refused callers come back, and which requests cannot end in time.

/// Shortest time to come back after servers refused, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 150;

/// Tells whether not even the best server can end a request in time, as far as
/// its load is known.
///
/// Load pattern: servers twelve times slower than usual. A request that cannot
/// end in time is refused at once instead of taking a slot until its caller
/// leaves.
#[must_use]
pub fn cannot_meet_deadline(
    in_flight: u32,
    slot_count: u32,
    mean_run_ms: f64,
    left_ms: u64,
) -> bool {
    let turns = f64::from(in_flight + 1) / f64::from(slot_count.max(1));
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let left_ms = left_ms as f64;
    turns > 1.0 && mean_run_ms * turns > left_ms
}

/// Gives when a refused caller comes back, in milliseconds: about half a run
/// time later, when slots are free again.
///
/// Load pattern: all servers refuse half of their requests for some seconds.
/// Callers that return together would be refused together; `random_value`, a number in
/// `0.0..1.0`, spreads them.
#[must_use]
pub fn retry_after_ms(mean_run_ms: f64, random_value: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a run time is a small positive number"
    )]
    let half_ms = (mean_run_ms / 2.0) as u64;
    jittered_ms(half_ms.max(MIN_RETRY_AFTER_MS), random_value)
}

/// Gives a time around `base_ms`, from its half to one and a half of it, so
/// that callers do not return together.
#[must_use]
pub fn jittered_ms(base_ms: u64, random_value: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "come-back times are small positive numbers"
    )]
    let spread_ms = (random_value * base_ms as f64) as u64;
    base_ms / 2 + spread_ms
}
