//! Graceful leave of the daemon.

use std::sync;
use std::time;

use tokio::signal::unix;

use crate::configs;
use crate::daemon;
use crate::telemetry;

/// Time for which neighbours may still return the address of a VM that has
/// withdrawn, in milliseconds. It covers the interval and the timeout of their
/// queries.
const WITHDRAWAL_DELAY_MS: u64 = 6_000;
/// Interval at which the number of requests in flight is checked, in
/// milliseconds.
const IN_FLIGHT_POLL_INTERVAL_MS: u64 = 20;

/// Waits for the signal to leave, then until the leave is complete.
///
/// The VM withdraws from the entry points at once. Until the lifetime of the
/// entry points is over, it serves callers that still hold its address. It then
/// accepts no new keys and has left when no request is in flight.
pub async fn wait_for_leave(
    settings: &configs::DaemonConfig,
    control: &daemon::ControlSender,
    traffic: &sync::Arc<daemon::TrafficHandler>,
) {
    wait_for_signal().await;
    let _ = control.send(daemon::ControlEvent::Leave).await;
    let address_in_use_ms = settings.entry_point_lifetime_ms + WITHDRAWAL_DELAY_MS;
    let address_in_use = time::Duration::from_millis(address_in_use_ms);
    tokio::time::sleep(address_in_use).await;
    traffic.home.leave();
    let deadline = time::Duration::from_millis(settings.leave_timeout_ms);
    let drained = tokio::time::timeout(deadline, wait_until_idle(traffic)).await;
    if drained.is_ok() {
        telemetry::Event::Left.info("left: nothing is in flight");
        return;
    }
    let count = traffic.in_flight_requests();
    let message = format!("left after the timeout with {count} requests in flight");
    telemetry::Event::LeaveTimedOut.error(&message);
}

async fn wait_until_idle(traffic: &daemon::TrafficHandler) {
    while traffic.in_flight_requests() > 0 {
        tokio::time::sleep(time::Duration::from_millis(IN_FLIGHT_POLL_INTERVAL_MS)).await;
    }
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() {
    let terminate = unix::signal(unix::SignalKind::terminate());
    let interrupt = unix::signal(unix::SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
