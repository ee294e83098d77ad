//! Retry delays for refused callers, and detection of requests that cannot meet
//! their deadline.

/// Minimum retry delay after servers refused a request, in milliseconds, before
/// jitter. A caller that returns earlier is decided on by the same load reports.
const MIN_RETRY_AFTER_MS: u64 = 150;

/// Returns whether a request cannot finish before its deadline even on the best
/// server, given the known load of that server.
///
/// Load pattern: servers run twelve times slower than usual. A request that
/// cannot finish in time is refused at once, because it would occupy a slot until
/// its caller disconnects.
#[must_use]
pub fn cannot_meet_deadline(
    in_flight: u32,
    slot_count: u32,
    mean_run_ms: f64,
    time_left_ms: u64,
) -> bool {
    let slot_rounds = f64::from(in_flight + 1) / f64::from(slot_count.max(1));
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let time_left_ms = time_left_ms as f64;
    slot_rounds > 1.0 && mean_run_ms * slot_rounds > time_left_ms
}

/// Returns the time after which a refused caller retries, in milliseconds.
///
/// It is about half a mean run time: the requests in the slots are halfway through on
/// average.
/// `random_value`, a number in `0.0..1.0`, spreads the retries.
///
/// Load pattern: all servers refuse half of their requests for several seconds.
/// Callers that retry at the same time would be refused together again.
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

/// Returns a time between half and one and a half times `base_ms`, so that
/// callers do not retry at the same time.
///
/// `random_value` is a number in `0.0..1.0`.
#[must_use]
pub fn jittered_ms(base_ms: u64, random_value: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "retry delays are small positive numbers"
    )]
    let spread_ms = (random_value * base_ms as f64) as u64;
    base_ms / 2 + spread_ms
}
