//! Graceful shutdown of this VM.

use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::watch;

use crate::gateway;
use crate::telemetry;

/// Time between the end of the graceful shutdown and the forced termination by
/// the platform, in milliseconds.
const END_MARGIN_MS: u64 = 500;
/// Interval at which the number of requests in flight is polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);
/// Time that is left to callers, in a short grace time, to read the last responses.
const READING_TIME: time::Duration = time::Duration::from_secs(2);
/// Time for the last log lines and what the system has buffered to be written.
const FLUSH_TIME: time::Duration = time::Duration::from_millis(120);

/// Records that this VM begins to shut down.
pub fn begin(shared: &gateway::Shared) {
    let time_ms = shared.bounds.grace_ms.saturating_sub(END_MARGIN_MS);
    shared.leave.begin(shared.now_ms() + time_ms);
}

/// Shuts down this VM gracefully.
///
/// Keeps accepting requests for `accepting_time`, then closes idle connections, and returns
/// when no request is in flight and callers have acknowledged all responses. `END_MARGIN_MS`
/// before the forced termination, the requests that are still in flight get their final
/// responses.
pub async fn leave(shared: &sync::Arc<gateway::Shared>, closing: &watch::Sender<bool>) {
    let started_at = tokio::time::Instant::now();
    let grace_ms = shared.bounds.grace_ms;
    let in_flight = || shared.in_flight.load(atomic::Ordering::Relaxed);
    telemetry::Event::LeaveBegun.info(&format!(
        "name=leave.begun in_flight={} grace_ms={grace_ms}",
        in_flight()
    ));
    let accepting_time = accepting_time(shared.entry_point_lifetime_s(), grace_ms);
    tokio::time::sleep_until(started_at + accepting_time).await;
    closing.send_replace(true);
    let deadline = started_at + time::Duration::from_millis(grace_ms.saturating_sub(END_MARGIN_MS));
    wait_until_idle(shared, deadline).await;
    let took_ms = started_at.elapsed().as_millis();
    let remaining = in_flight();
    if remaining == 0 {
        telemetry::Event::Left.info(&format!("name=leave.done took_ms={took_ms}"));
    } else {
        shared.leave.end();
        telemetry::Event::LeaveTimedOut.warn(&format!(
            "name=leave.timed-out in_flight={remaining} took_ms={took_ms}"
        ));
        let end = started_at + time::Duration::from_millis(grace_ms);
        wait_until_idle(shared, end - FLUSH_TIME * 2).await;
    }
    tokio::time::sleep(FLUSH_TIME).await;
}

/// Returns the time for which requests are still accepted after the shutdown has begun.
///
/// Callers may use an address for the lifetime of the response that named it. A short grace
/// time must leave them the time to read the last responses.
#[must_use]
pub fn accepting_time(entry_point_lifetime_s: u64, grace_ms: u64) -> time::Duration {
    let lifetime = time::Duration::from_secs(entry_point_lifetime_s);
    let end = time::Duration::from_millis(grace_ms.saturating_sub(END_MARGIN_MS));
    lifetime.min(end.saturating_sub(READING_TIME))
}

/// Waits until no request is in flight and callers have acknowledged all responses, or until
/// `deadline`.
async fn wait_until_idle(shared: &gateway::Shared, deadline: tokio::time::Instant) {
    let mut idle_polls = 0;
    // Connections count as in flight again when they begin to close.
    while idle_polls < 2 && tokio::time::Instant::now() < deadline {
        let is_idle = shared.in_flight.load(atomic::Ordering::Relaxed) == 0;
        idle_polls = if is_idle { idle_polls + 1 } else { 0 };
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
