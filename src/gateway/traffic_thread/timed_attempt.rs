//! Attempt that is watched for a missing response.

use std::sync;
use std::time;

use crate::gateway;
use crate::gateway::traffic_thread::attempt;
use crate::gateway::traffic_thread::caller_body;
use crate::gateway::traffic_thread::routed_request;
use crate::verdict;

const MILLISECONDS_PER_S: f64 = 1_000.0;

/// Runs an attempt. If this VM is cut off from all servers meanwhile, an attempt that
/// may be repeated ends, so that another VM can make the next one.
async fn run_while_reached(
    shared: &sync::Arc<gateway::Shared>,
    routed: &routed_request::RoutedRequest<'_>,
    choice: &gateway::Choice,
    body: &mut caller_body::CallerBody,
) -> attempt::AttemptOutcome {
    let attempt = attempt::run(shared, routed, choice, body);
    if !routed.route.kind.may_repeat() {
        return attempt.await;
    }
    tokio::select! {
        outcome = attempt => outcome,
        () = shared.servers_lost.notified() => {
            let reason = verdict::RefusalReason::ServersUnreachable;
            attempt::AttemptOutcome::Failed(attempt::AttemptFailure::unanswered(reason))
        }
    }
}

/// Runs an attempt. If the response is long overdue by the service's usual run
/// time, records this as evidence of a failing server before the request's own
/// deadline.
pub async fn run(
    shared: &sync::Arc<gateway::Shared>,
    routed: &routed_request::RoutedRequest<'_>,
    choice: &gateway::Choice,
    body: &mut caller_body::CallerBody,
) -> attempt::AttemptOutcome {
    let begun_ms = shared.now_ms();
    let mut attempt = std::pin::pin!(run_while_reached(shared, routed, choice, body));
    let mean_run_ms = shared.backend_pool().mean_run_ms(routed.service);
    let overdue = time::Duration::from_secs_f64(
        mean_run_ms * shared.config.suspicion.slow_factor / MILLISECONDS_PER_S,
    );
    if let Ok(outcome) = tokio::time::timeout(overdue, attempt.as_mut()).await {
        return outcome;
    }
    // A VM that hears from no server is cut off, or knows nothing of this one.
    if shared.server_reach().has_response_since(begun_ms) {
        shared.record_evidence(choice, gateway::Evidence::Failure);
    }
    shared.metrics.counters.add("attempt.overdue");
    shared.decision_log.record("attempt.overdue", || {
        format!(
            "id={}{} service={} server={} after_ms={} usual_ms={mean_run_ms:.0} left_ms={}",
            routed.request_id,
            routed.organisation_fields(),
            routed.service,
            choice.backend.id,
            overdue.as_millis(),
            routed.time_left_ms()
        )
    });
    attempt.await
}
