//! The graceful end of this VM.

use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::watch;

use crate::gateway;
use crate::telemetry;

/// Part of the grace time for which requests are still accepted, in percent:
/// callers keep entry points for some seconds.
const ACCEPTING_PERCENT: u64 = 46;
/// Time before the end by force at which this VM ends by itself, in
/// milliseconds.
const END_MARGIN_MS: u64 = 500;
/// Time between two looks at what is in flight.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);
/// Time for the last answers and log lines to be written.
const FLUSH_TIME: time::Duration = time::Duration::from_millis(120);

/// Goes on serving for a while, then closes idle connections, then ends when
/// nothing is in flight any more, at the latest before the end by force.
pub async fn leave(shared: &sync::Arc<gateway::Shared>, closing: &watch::Sender<bool>) {
    let began = tokio::time::Instant::now();
    let grace_ms = shared.bounds.grace_ms;
    let in_flight = || shared.in_flight.load(atomic::Ordering::Relaxed);
    telemetry::Event::LeaveBegun.info(&format!(
        "name=leave.begun in_flight={} grace_ms={grace_ms}",
        in_flight()
    ));
    let accepting_ms = grace_ms * ACCEPTING_PERCENT / 100;
    tokio::time::sleep_until(began + time::Duration::from_millis(accepting_ms)).await;
    closing.send_replace(true);
    let end = began + time::Duration::from_millis(grace_ms.saturating_sub(END_MARGIN_MS));
    while in_flight() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let took_ms = began.elapsed().as_millis();
    let remaining = in_flight();
    if remaining == 0 {
        telemetry::Event::Left.info(&format!("name=leave.done took_ms={took_ms}"));
    } else {
        telemetry::Event::LeaveTimedOut.warn(&format!(
            "name=leave.timed-out in_flight={remaining} took_ms={took_ms}"
        ));
    }
    tokio::time::sleep(FLUSH_TIME).await;
}
