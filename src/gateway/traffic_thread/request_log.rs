//! Records the events of a request as log lines, counters and evidence of its
//! server's health.

use std::time;

use crate::gateway;
use crate::gateway::traffic_thread::attempt;
use crate::gateway::traffic_thread::response;
use crate::gateway::traffic_thread::routed_request;
use crate::verdict;

/// Records a server's response as evidence of the server's health.
///
/// Status 504 is no evidence: it shows that the request took long rather than
/// that the server is failing.
pub fn record_response(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    choice: &gateway::Choice,
    response: &response::Response,
    ran_ms: u64,
    version: u64,
) {
    let status = response.status();
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let latency_ms = ran_ms as f64;
    if status.is_server_error() && status != http::StatusCode::GATEWAY_TIMEOUT {
        shared.record_evidence(choice, gateway::Evidence::Failure);
    } else if !status.is_server_error() {
        shared.run_times().record(routed.route, ran_ms);
        let evidence = shared
            .backend_pool()
            .record_run_time(routed.service, latency_ms);
        shared.record_evidence(choice, evidence);
    }
    shared.metrics.record_ms("server.answer", ran_ms);
    let name = if status.is_server_error() {
        "request.server-failure"
    } else {
        "request.answered"
    };
    shared.metrics.counters.add(name);
    shared.decision_log.record(name, || {
        format!(
            "id={}{} route={} configuration={version} service={} server={} status={} ran_ms={ran_ms} \
             left_ms={} candidates={} server_in_flight={} suspicion={:.2} \
             is_probe={}",
            routed.request_id,
            routed.organisation_fields(),
            routed.route.name,
            routed.service,
            choice.backend.id,
            status.as_u16(),
            routed.time_left_ms(),
            choice.candidate_count,
            choice.in_flight,
            choice.suspicion,
            choice.is_probe,
        )
    });
}

/// Records an attempt without a usable response.
///
/// It is evidence that the server is failing, except when the request was not
/// sent, was refused, or has exceeded its deadline.
pub fn record_failure(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    choice: &gateway::Choice,
    failure: attempt::AttemptFailure,
    ran_ms: u64,
) {
    let is_overdue = failure.reason == verdict::RefusalReason::DeadlineExceeded;
    // What a VM loses that is cut off says nothing of the servers.
    let is_cut_off = shared.server_reach().is_cut_off();
    if failure.end == gateway::AttemptEnd::Unanswered && !is_overdue && !is_cut_off {
        shared.record_evidence(choice, gateway::Evidence::Failure);
    }
    let has_server_died = failure.has_server_died && !is_cut_off;
    if let Some(fingerprint) = routed.fingerprint.filter(|_| has_server_died) {
        shared.record_server_death(fingerprint, ran_ms, &choice.backend.id);
    }
    shared.metrics.counters.add("attempt.failed");
    shared.decision_log.record("attempt.failed", || {
        format!(
            "id={}{} route={} service={} server={} end={:?} reason={} ran_ms={ran_ms} left_ms={} \
             server_in_flight={} suspicion={:.2} is_probe={}",
            routed.request_id,
            routed.organisation_fields(),
            routed.route.name,
            routed.service,
            choice.backend.id,
            failure.end,
            failure.reason.as_str(),
            routed.time_left_ms(),
            choice.in_flight,
            choice.suspicion,
            choice.is_probe,
        )
    });
}

/// Records the refusal that a caller receives as final response, and the time
/// since the request was received.
pub fn record_refusal(
    shared: &gateway::Shared,
    request_id: &str,
    organisation: Option<&str>,
    refusal: &verdict::Refusal,
    elapsed: time::Duration,
) {
    shared.metrics.counters.add_refusal(refusal);
    shared.decision_log.record("request.refused", || {
        format!(
            "id={request_id}{} verdict={} reason={} retry_after_ms={} held_ms={}",
            routed_request::organisation_field(organisation),
            refusal.verdict.as_str(),
            refusal.reason.as_str(),
            refusal.retry_after_ms,
            elapsed.as_millis(),
        )
    });
}

/// Records that even the best server cannot finish the request by its deadline.
pub fn record_unmeetable_deadline(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    choice: &gateway::Choice,
) {
    shared.decision_log.record("request.hopeless", || {
        format!(
            "id={}{} service={} best_server={} in_flight={} slots={} usual_ms={:.0} left_ms={}",
            routed.request_id,
            routed.organisation_fields(),
            routed.service,
            choice.backend.id,
            choice.in_flight,
            choice.backend.slot_count,
            shared.backend_pool().mean_run_ms(routed.service),
            routed.time_left_ms(),
        )
    });
}

/// Records that a request waited for a free slot.
pub fn record_wait(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    waited_ms: u64,
) {
    shared.metrics.counters.add("request.waited");
    shared.decision_log.record("request.waited", || {
        format!(
            "id={}{} service={} waited_ms={waited_ms} left_ms={}",
            routed.request_id,
            routed.organisation_fields(),
            routed.service,
            routed.time_left_ms(),
        )
    });
}

/// Records that a request is retried on another server.
pub fn record_retry(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    context: &gateway::RetryContext,
    reason: verdict::RetryReason,
) {
    shared.decision_log.record("retry.begun", || {
        format!(
            "id={}{} service={} reason={} arrivals={} max_attempts={} left_ms={} usual_ms={}",
            routed.request_id,
            routed.organisation_fields(),
            routed.service,
            reason.as_str(),
            context.servers_reached_count,
            context.max_attempts,
            context.time_left_ms,
            context.mean_run_ms,
        )
    });
}

/// Records that a failed request is not retried, and the cause.
pub fn record_denied_retry(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    context: &gateway::RetryContext,
    decision: gateway::RetryDecision,
) {
    shared.decision_log.record("retry.denied", || {
        let cause = match decision {
            gateway::RetryDecision::GiveUp => "not-allowed",
            _ => "budget-used-up",
        };
        format!(
            "id={}{} service={} cause={cause} may_repeat={} arrivals={} max_attempts={} left_ms={} \
             usual_ms={} slack_milli={}",
            routed.request_id,
            routed.organisation_fields(),
            routed.service,
            context.may_repeat,
            context.servers_reached_count,
            context.max_attempts,
            context.time_left_ms,
            context.mean_run_ms,
            shared.snapshot.load().retry_slack_milli,
        )
    });
}

/// Records that no route matches a request.
pub fn record_no_route(
    shared: &gateway::Shared,
    request_id: &str,
    host: &str,
    uri: &http::Uri,
    routes: &gateway::RouteIndex,
) {
    shared.decision_log.record("request.no-route", || {
        format!(
            "id={request_id} host=\"{host}\" path=\"{}\" configuration={}",
            uri.path(),
            routes.configuration.version
        )
    });
}
