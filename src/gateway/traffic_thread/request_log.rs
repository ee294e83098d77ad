//! What becomes of a request: log lines, counters, and evidence on its server.

use std::time;

use crate::gateway;
use crate::gateway::traffic_thread::answer;
use crate::gateway::traffic_thread::attempt;
use crate::gateway::traffic_thread::work;
use crate::verdict;

/// Notes a server's whole answer, and what it says of the server.
pub fn note_answer(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
    answered: &answer::Answer,
    ran_ms: u64,
    version: u64,
) {
    let status = answered.status();
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let latency_ms = ran_ms as f64;
    // A server's own 504 says that the request was long, not that it is bad.
    if status.is_server_error() && status != http::StatusCode::GATEWAY_TIMEOUT {
        shared.note_evidence(choice, gateway::Evidence::Failure);
    } else if !status.is_server_error() {
        let evidence = shared.board().note_run_time(work.service, latency_ms);
        shared.note_evidence(choice, evidence);
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
            "id={} route={} configuration={version} service={} server={} status={} ran_ms={ran_ms} \
             left_ms={} candidates={} server_in_flight={} suspicion={:.2} \
             is_probe={}",
            work.request_id,
            work.route.name,
            work.service,
            choice.backend.id,
            status.as_u16(),
            work.left_ms(),
            choice.candidate_count,
            choice.in_flight,
            choice.suspicion,
            choice.is_probe,
        )
    });
}

/// Notes an attempt without an answer, and what it says of the server.
pub fn note_failure(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
    failure: attempt::AttemptFailure,
    ran_ms: u64,
) {
    let is_overdue = failure.reason == verdict::RefusalReason::DeadlineExceeded;
    if failure.end == gateway::AttemptEnd::Unanswered && !is_overdue {
        shared.note_evidence(choice, gateway::Evidence::Failure);
    }
    if let Some(fingerprint) = work.fingerprint.filter(|_| failure.is_death) {
        shared.note_death(fingerprint, ran_ms, &choice.backend.id);
    }
    shared.metrics.counters.add("attempt.failed");
    shared.decision_log.record("attempt.failed", || {
        format!(
            "id={} route={} service={} server={} end={:?} reason={} ran_ms={ran_ms} left_ms={} \
             server_in_flight={} suspicion={:.2} is_probe={}",
            work.request_id,
            work.route.name,
            work.service,
            choice.backend.id,
            failure.end,
            failure.reason.as_str(),
            work.left_ms(),
            choice.in_flight,
            choice.suspicion,
            choice.is_probe,
        )
    });
}

/// Notes the final answer to a request that was given up.
pub fn note_refusal(
    shared: &gateway::Shared,
    request_id: &str,
    refusal: &verdict::Refusal,
    took: time::Duration,
) {
    shared.metrics.counters.add_refusal(refusal);
    shared.decision_log.record("request.refused", || {
        format!(
            "id={request_id} verdict={} reason={} retry_after_ms={} held_ms={}",
            refusal.verdict.as_str(),
            refusal.reason.as_str(),
            refusal.retry_after_ms,
            took.as_millis(),
        )
    });
}

/// Notes that not even the best server can end the request in time.
pub fn note_hopeless(shared: &gateway::Shared, work: &work::Work<'_>, choice: &gateway::Choice) {
    shared.decision_log.record("request.hopeless", || {
        format!(
            "id={} service={} best_server={} in_flight={} slots={} usual_ms={:.0} left_ms={}",
            work.request_id,
            work.service,
            choice.backend.id,
            choice.in_flight,
            choice.backend.slot_count,
            shared.board().mean_run_ms(work.service),
            work.left_ms(),
        )
    });
}

/// Notes that a request is sent to another server.
pub fn note_retry(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    room: &gateway::RetryRoom,
    reason: verdict::RetryReason,
) {
    shared.decision_log.record("retry.begun", || {
        format!(
            "id={} service={} reason={} arrivals={} max_attempts={} left_ms={} usual_ms={}",
            work.request_id,
            work.service,
            reason.as_str(),
            room.arrivals_count,
            room.max_attempts,
            room.left_ms,
            room.usual_run_ms,
        )
    });
}

/// Notes that a request is not sent to another server, and why.
pub fn note_no_retry(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    room: &gateway::RetryRoom,
    step: gateway::NextStep,
) {
    shared.decision_log.record("retry.denied", || {
        let cause = match step {
            gateway::NextStep::GiveUp => "not-allowed",
            _ => "budget-used-up",
        };
        format!(
            "id={} service={} cause={cause} may_repeat={} arrivals={} max_attempts={} left_ms={} \
             usual_ms={} slack_milli={}",
            work.request_id,
            work.service,
            room.may_repeat,
            room.arrivals_count,
            room.max_attempts,
            room.left_ms,
            room.usual_run_ms,
            shared.snapshot.load().retry_slack_milli,
        )
    });
}

/// Notes that no route matches.
pub fn note_no_route(
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
